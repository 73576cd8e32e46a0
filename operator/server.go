// Package operator serves operators over HTTP on an address of its own.
package operator

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// Status is what a VM tells of itself.
type Status struct {
	VMID       string `json:"vm_id"`
	DataCentre string `json:"data_centre"`
	Revision   int64  `json:"revision"`
	Ready      bool   `json:"ready"`
	// Reason says why the VM is not ready.
	Reason   string `json:"reason,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	InFlight int    `json:"in_flight"`
	Waiting  int    `json:"waiting"`
	Teams    int    `json:"teams"`
	Keys     int    `json:"keys"`
	Slots    []int  `json:"slots"`
	// RatesSettled says that all standing shares are held and lent.
	RatesSettled bool     `json:"rates_settled"`
	Members      []Member `json:"members"`
}

// Member is one VM as this VM knows it.
type Member struct {
	bergamotgrade.VMRecord
	// Revision is the newest configuration that it has reported to this VM.
	Revision int64 `json:"revision"`
	// HeardAgo is the time since its last heartbeat, zero for this VM.
	HeardAgoMilliseconds int64 `json:"heard_ago_milliseconds"`
}

// EvictRequest names a VM that is known to be gone.
type EvictRequest struct {
	VMID        string `json:"vm_id"`
	Incarnation string `json:"incarnation"`
}

// Evictor takes a VM out of the member table on an operator's word.
type Evictor interface {
	ForceEvict(ctx context.Context, vmID, incarnation string) error
}

// Handler returns the operators' interface of a VM.
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
		var wanted EvictRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxNoteBody)).Decode(&wanted); err != nil {
			WriteError(w, bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "the request cannot be read", "send vm_id and incarnation").WithCause(err))
			return
		}
		if err := evictor.ForceEvict(req.Context(), wanted.VMID, wanted.Incarnation); err != nil {
			WriteError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, wanted)
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
