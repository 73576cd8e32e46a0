// Package operator implements the HTTP API for operators, which is served on a separate
// address, and its client.
package operator

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// Status is the state of a VM and its view of the other members.
type Status struct {
	VMID       string `json:"vm_id"`
	DataCentre string `json:"data_centre"`
	Revision   int64  `json:"revision"`
	Ready      bool   `json:"ready"`
	// Reason is why the VM is not ready; empty if it is ready.
	Reason   string `json:"reason,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	InFlight int    `json:"in_flight"`
	Waiting  int    `json:"waiting"`
	Teams    int    `json:"teams"`
	Keys     int    `json:"keys"`
	Slots    []int  `json:"slots"`
	// RatesSettled reports whether all rate shares are assigned to VMs and this VM's
	// shares are pledged to the brokers.
	RatesSettled bool     `json:"rates_settled"`
	Members      []Member `json:"members"`
}

// Member is another VM, or this one, as this VM sees it.
type Member struct {
	bergamotgrade.VMRecord
	// Revision is the newest configuration revision that it has reported to this VM.
	Revision int64 `json:"revision"`
	// HeardAgoMilliseconds is the time since this VM sent the last heartbeat that the
	// member answered. It is zero for this VM and for a member that has answered none yet.
	HeardAgoMilliseconds int64 `json:"heard_ago_milliseconds"`
}

// EvictRequest asks for the removal of a VM that no longer runs.
type EvictRequest struct {
	VMID        string `json:"vm_id"`
	Incarnation string `json:"incarnation"`
}

// Evictor removes a VM from the member table without the vote of the other VMs.
type Evictor interface {
	ForceEvict(ctx context.Context, vmID, incarnation string) error
}

// Handler returns the handler of a VM's operator API.
func Handler(status func() Status, ring *timeline.Ring, notes *NoteHandler, jobs *JobHandler, evictor Evictor) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("GET /timeline", ring)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if current := status(); !current.Ready {
			http.Error(w, current.Reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, status())
	})
	mux.HandleFunc("POST /members/evict", func(w http.ResponseWriter, req *http.Request) {
		var eviction EvictRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxNoteBody)).Decode(&eviction); err != nil {
			WriteError(w, bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "the request cannot be read", "send vm_id and incarnation").WithCause(err))
			return
		}
		if err := evictor.ForceEvict(req.Context(), eviction.VMID, eviction.Incarnation); err != nil {
			WriteError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, eviction)
	})
	notes.register(mux)
	jobs.register(mux)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
