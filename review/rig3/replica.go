package rig3

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// ReplicaConfig describes a model replica.
type ReplicaConfig struct {
	ID, Service, Zone string
	// Slots is the number of requests that run at once, Queue the number that wait.
	Slots, Queue int
	// Events is the number of events of an answer, or 0 for one for each output token; EventBytes is the bytes of the
	// data of one.
	Events, EventBytes int
	// EventTime is the time for one event; Burst is the number of events that are sent together, 0 for one.
	EventTime time.Duration
	Burst     int
}

// Replica is a sound model replica.
type Replica struct {
	ReplicaConfig
	rig     *Rig
	address string
	end     func()
	slots   chan struct{}

	mu       sync.Mutex
	waiting  int
	running  map[string]int
	runs     map[string]int
	lastBusy map[string]time.Time
	// lastEndAt is when a run was last completed.
	lastEndAt time.Time
}

// AddReplica starts a replica and registers it.
func (r *Rig) AddReplica(config ReplicaConfig) (*Replica, error) {
	replica := &Replica{ReplicaConfig: config, rig: r, slots: make(chan struct{}, config.Slots), running: map[string]int{}, runs: map[string]int{}, lastBusy: map[string]time.Time{}}
	var err error
	if replica.address, replica.end, err = r.Listen(replica); err != nil {
		return nil, err
	}
	return replica, replica.Register()
}

// Register writes the entry of the replica.
func (e *Replica) Register() error {
	value, err := json.Marshal(map[string]any{
		"service": e.Service, "address": e.address, "zone": e.Zone, "version": "v1", "slots": e.Slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
		"born": e.rig.began.UnixMilli(),
	})
	if err != nil {
		return err
	}
	_, err = e.rig.Store.Commit(context.Background(), bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{{Key: "servers/" + e.ID, Value: value}}})
	return err
}

// Crash ends the replica for good; its entry is removed after three heartbeats of 1.2 s.
func (e *Replica) Crash() {
	e.end()
	e.rig.Say("replica %s has crashed for good", e.ID)
	time.Sleep(3600 * time.Millisecond)
	_, _ = e.rig.Store.Commit(context.Background(), bergamotgrade.KeyCommit{Deletes: []string{"servers/" + e.ID}})
	e.rig.Say("the entry of replica %s is removed", e.ID)
}

// EventData returns the data of an event of a request.
func EventData(id string, n, size int) string {
	text := fmt.Sprintf("%s/%d ", id, n)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

// Text returns the whole output of a request.
func Text(id string, events, size int) string {
	lines := make([]string, events)
	for n := range events {
		lines[n] = EventData(id, n+1, size)
	}
	return strings.Join(lines, "\n")
}

// ServeHTTP implements http.Handler.
func (e *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Bergamotgrade-Attempt-Id")
	header := w.Header()
	header.Set("Bergamotgrade-Attempt-Id", id)
	header.Set("Bergamotgrade-Instance-Id", e.ID)
	if expected := req.Header.Get("Bergamotgrade-Expect-Instance"); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.mu.Lock()
	full := e.waiting >= e.Queue
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
		header.Set("Bergamotgrade-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-req.Context().Done():
	}
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	if req.Context().Err() != nil {
		return
	}
	defer func() { <-e.slots }()
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	e.mark(id, 1)
	defer e.mark(id, -1)
	e.rig.Log("replica %s runs %s after event %d, path %s, tenant %s", e.ID, id, from, req.URL.Path, req.Header.Get("Bergamotgrade-Tenant"))
	header.Set("Bergamotgrade-Server-Seal", "seal-"+id)
	header.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	burst, events := max(1, e.Burst), e.Events
	if events == 0 {
		_, output, _ := strings.Cut(req.Header.Get("Bergamotgrade-Token-Usage"), ",")
		events, _ = strconv.Atoi(output)
	}
	for n := from + 1; n <= events; n++ {
		if n%burst == 0 {
			_ = control.Flush()
			select {
			case <-req.Context().Done():
				return
			case <-time.After(time.Duration(burst) * e.EventTime):
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(id, n, e.EventBytes)); err != nil {
			return
		}
	}
	e.mu.Lock()
	e.lastEndAt = time.Now()
	e.mu.Unlock()
}

func (e *Replica) mark(id string, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id] += change
	e.lastBusy[id] = time.Now()
	if change > 0 {
		e.runs[id]++
	}
}

// Runs returns how often the replica began to work on the request.
func (e *Replica) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// BusyWith reports whether the replica had the request at any time since.
func (e *Replica) BusyWith(id string, since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id] > 0 || e.lastBusy[id].After(since)
}

// LastEnd returns when the replica last completed a run.
func (e *Replica) LastEnd() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastEndAt
}

// Load returns the number of requests that run.
func (e *Replica) Load() int { return len(e.slots) }
