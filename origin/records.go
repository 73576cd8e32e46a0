package origin

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// records holds the records of streams, at most maxRecords.
type records struct {
	byKey map[uint64]storedRecord
	// ring holds the keys in the order in which they were added, from next on.
	ring []uint64
	next int
}

// storedRecord is a record with the time of its arrival; own is set for streams of this VM.
type storedRecord struct {
	bergamotgrade.StreamRecord
	at  time.Time
	own bool
}

func newRecords() *records {
	return &records{byKey: map[uint64]storedRecord{}, ring: make([]uint64, maxRecords)}
}

// add adds a record, in place of the oldest one if there are too many. Of the records of one
// request the one of the last attempt counts.
func (r *records) add(record storedRecord) {
	known, ok := r.byKey[record.Key]
	if ok && known.Attempt > record.Attempt {
		return
	}
	if !ok {
		delete(r.byKey, r.ring[r.next])
		r.ring[r.next] = record.Key
		r.next = (r.next + 1) % len(r.ring)
	}
	r.byKey[record.Key] = record
}

// get returns the record of the key unless it is older than the retention time.
func (r *records) get(now time.Time, key uint64) (storedRecord, bool) {
	record, ok := r.byKey[key]
	return record, ok && now.Sub(record.at) <= retention
}
