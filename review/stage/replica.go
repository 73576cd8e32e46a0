package stage

import (
	"net/http"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// Replica is a stand-in replica that records when requests reach it.
type Replica struct {
	ID      string
	Address string

	engine *standin.Engine
	record *Record

	mu       sync.Mutex
	arrivals []Arrival
}

// Arrival is a request that has reached a replica.
type Arrival struct {
	ReplicaID, RequestID, Path string
	At                         time.Time
}

func newReplica(id, zone string, slots int, eventTime time.Duration, record *Record) *Replica {
	return &Replica{ID: id, record: record, engine: standin.NewEngine(standin.EngineConfig{
		ServerID: id, Service: Service, DataCentre: zone, Slots: slots, EventTime: eventTime,
	})}
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Bergamotgrade-Attempt-Id")
	r.mu.Lock()
	r.arrivals = append(r.arrivals, Arrival{ReplicaID: r.ID, RequestID: id, Path: req.URL.Path, At: time.Now()})
	r.mu.Unlock()
	r.record.Add("replica %s gets request %s (after event %q)", r.ID, id, req.Header.Get("Last-Event-Id"))
	r.engine.ServeHTTP(w, req)
	r.record.Add("replica %s ends request %s", r.ID, id)
}

// Arrivals returns the requests that have reached the replica.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// Runs returns the requests that the replica has begun to run.
func (r *Replica) Runs() []standin.Run { return r.engine.Runs() }

// Arrivals returns the requests that have reached any replica.
func (f *Fleet) Arrivals() []Arrival {
	var arrivals []Arrival
	for _, replica := range f.Replicas {
		arrivals = append(arrivals, replica.Arrivals()...)
	}
	return arrivals
}

// HasRun reports whether a replica has begun to run the request.
func (f *Fleet) HasRun(arrival Arrival) bool {
	for _, replica := range f.Replicas {
		if replica.ID != arrival.ReplicaID {
			continue
		}
		for _, run := range replica.Runs() {
			if run.RequestID == arrival.RequestID && !run.At.Before(arrival.At) {
				return true
			}
		}
	}
	return false
}
