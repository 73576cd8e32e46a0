package timeline

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
)

// Ring is a ring buffer with the most recent events of a process. It is safe for
// concurrent use.
type Ring struct {
	clock   bergamotgrade.Clock
	process string

	mu           sync.Mutex
	events       []Event
	lastSequence uint64
}

// New returns an empty ring for the process.
func New(clock bergamotgrade.Clock, process string) *Ring {
	return &Ring{clock: clock, process: process, events: make([]Event, 0, 64)}
}

// Record appends an event and drops the oldest one when the ring is full.
func (r *Ring) Record(kind Kind, requestID, subject, detail string) {
	at := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSequence++
	event := Event{Sequence: r.lastSequence, At: at, Process: r.process, Kind: kind, RequestID: requestID, Subject: subject, Detail: detail}
	if len(r.events) < ringCapacity {
		r.events = append(r.events, event)
		return
	}
	r.events[(r.lastSequence-1)%ringCapacity] = event
}

// After returns the events in the ring with a sequence above the given one.
func (r *Ring) After(sequence uint64) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := Page{Process: r.process, Now: r.clock.Now(), Events: []Event{}}
	oldest := uint64(1)
	if r.lastSequence > ringCapacity {
		oldest = r.lastSequence - ringCapacity + 1
	}
	first := sequence + 1
	if first < oldest {
		page.Lost = oldest - first
		first = oldest
	}
	for s := first; s <= r.lastSequence; s++ {
		page.Events = append(page.Events, r.events[(s-1)%ringCapacity])
	}
	return page
}

// ServeHTTP writes the events above the sequence in the query parameter after.
func (r *Ring) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.After(after))
}
