package quarantine

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// partKey identifies a prompt part in records; it has a fixed length, unlike the ids that
// callers send.
type partKey string

func newPartKey(id string) partKey { return partKey(fmt.Sprintf("%016x", xxhash.Sum64String(id))) }

// Key prefixes of the three kinds of records; the server's start and the VM, or the part,
// follow.
const (
	endPrefix    = Prefix + "end/"
	servedPrefix = Prefix + "served/"
	trialPrefix  = Prefix + "trial/"
)

// endRecord says that a server ended while it ran requests of one VM.
type endRecord struct {
	At time.Time `json:"at"`
	// Parts holds the parts of the prompts of these requests, with their positions.
	Parts map[partKey]int `json:"parts"`
	// revision is the revision of the store at which the record was written; zero while it
	// is not.
	revision int64
}

// servedRecord says that a part was served after servers had ended under it.
type servedRecord struct {
	At time.Time `json:"at"`
	// Through is the revision of the newest end that the writer knew of.
	Through int64 `json:"through"`
}

// trialRecord says when a request with a quarantined part was last let through.
type trialRecord struct {
	At time.Time `json:"at"`
	// Count is the number of trials so far.
	Count int `json:"count"`

	revision int64
}

// serverStart names one process of a server.
func serverStart(server bergamotgrade.ServerRecord) string {
	return fmt.Sprintf("%s.%d", server.ServerID, server.StartedAt.UnixMilli())
}

func endKey(start, vmID string) string       { return endPrefix + start + "/" + vmID }
func servedKey(part partKey) string          { return servedPrefix + string(part) }
func trialKey(part partKey) string           { return trialPrefix + string(part) }
func encode(record any) ([]byte, error)      { return json.Marshal(record) }
func isOld(now time.Time, at time.Time) bool { return now.Sub(at) > retention }

// records holds the decoded records of the store.
type records struct {
	// ends holds the records by server start and VM.
	ends   map[string]map[string]endRecord
	served map[partKey]servedRecord
	trials map[partKey]trialRecord
	// times holds when each record was written, by key.
	times map[string]time.Time
	// revision is the newest revision of an end.
	revision int64
}

func newRecords() records {
	return records{ends: map[string]map[string]endRecord{}, served: map[partKey]servedRecord{}, trials: map[partKey]trialRecord{}, times: map[string]time.Time{}}
}

// decodeRecords decodes the entries below Prefix. It returns the keys of those that cannot be
// decoded.
func decodeRecords(entries map[string]bergamotgrade.Entry) (decoded records, invalid []string) {
	decoded = newRecords()
	for key, entry := range entries {
		if err := decoded.add(key, entry); err != nil {
			invalid = append(invalid, key)
		}
	}
	return decoded, invalid
}

func (r *records) add(key string, entry bergamotgrade.Entry) error {
	switch {
	case strings.HasPrefix(key, endPrefix):
		var record endRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return err
		}
		start, vmID, _ := strings.Cut(strings.TrimPrefix(key, endPrefix), "/")
		record.revision = entry.Revision
		r.addEnd(start, vmID, record)
		r.times[key] = record.At
		r.revision = max(r.revision, entry.Revision)
	case strings.HasPrefix(key, servedPrefix):
		var record servedRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return err
		}
		r.served[partKey(strings.TrimPrefix(key, servedPrefix))] = record
		r.times[key] = record.At
	case strings.HasPrefix(key, trialPrefix):
		var record trialRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return err
		}
		record.revision = entry.Revision
		r.trials[partKey(strings.TrimPrefix(key, trialPrefix))] = record
		r.times[key] = record.At
	}
	return nil
}

func (r *records) addEnd(start, vmID string, record endRecord) {
	if r.ends[start] == nil {
		r.ends[start] = map[string]endRecord{}
	}
	r.ends[start][vmID] = record
}
