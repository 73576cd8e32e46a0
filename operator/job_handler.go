package operator

import (
	"context"
	"io"
	"net/http"

	"github.com/bergamotgrade/bergamotgrade/batch"
)

// JobService stores batch jobs. An empty team ID stands for all teams.
type JobService interface {
	Jobs(ctx context.Context, teamID string) ([]batch.Job, error)
	Job(ctx context.Context, teamID, jobID string) (batch.Job, int64, error)
	Ranges(ctx context.Context, job batch.Job) ([]batch.Range, error)
	Cancel(ctx context.Context, teamID, jobID string) (batch.Job, error)
	WriteResults(ctx context.Context, job batch.Job, failed bool, w io.Writer) error
}

// JobHandler serves the batch jobs of all teams.
type JobHandler struct {
	service  JobService
	announce func(jobID string, cancelled bool)
}

// NewJobHandler returns a handler that calls announce for each job it cancels.
func NewJobHandler(service JobService, announce func(jobID string, cancelled bool)) *JobHandler {
	return &JobHandler{service: service, announce: announce}
}

// JobProgress is a job with the numbers of its succeeded and failed items.
type JobProgress struct {
	Job       batch.Job `json:"job"`
	Succeeded int       `json:"succeeded"`
	Failed    int       `json:"failed"`
}

func (h *JobHandler) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /jobs", h.list)
	mux.HandleFunc("GET /jobs/{id}", h.show)
	mux.HandleFunc("POST /jobs/{id}/cancel", h.cancel)
	mux.HandleFunc("GET /jobs/{id}/results", h.results)
}

func (h *JobHandler) list(w http.ResponseWriter, req *http.Request) {
	jobs, err := h.service.Jobs(req.Context(), "")
	if err != nil {
		WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, jobs)
}

func (h *JobHandler) show(w http.ResponseWriter, req *http.Request) {
	job, _, err := h.service.Job(req.Context(), "", req.PathValue("id"))
	h.writeProgress(w, req, job, err)
}

func (h *JobHandler) cancel(w http.ResponseWriter, req *http.Request) {
	job, err := h.service.Cancel(req.Context(), "", req.PathValue("id"))
	if err == nil && job.Status == batch.JobCancelled {
		h.announce(job.JobID, true)
	}
	h.writeProgress(w, req, job, err)
}

// writeProgress writes the job with its progress, or the error if err is not nil.
func (h *JobHandler) writeProgress(w http.ResponseWriter, req *http.Request, job batch.Job, err error) {
	progress := JobProgress{Job: job}
	var ranges []batch.Range
	if err == nil {
		ranges, err = h.service.Ranges(req.Context(), job)
	}
	if err != nil {
		WriteError(w, err)
		return
	}
	for _, r := range ranges {
		progress.Succeeded += r.Succeeded
		progress.Failed += r.Failed
	}
	writeJSON(w, http.StatusOK, progress)
}

func (h *JobHandler) results(w http.ResponseWriter, req *http.Request) {
	job, _, err := h.service.Job(req.Context(), "", req.PathValue("id"))
	if err != nil {
		WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	if err := h.service.WriteResults(req.Context(), job, req.URL.Query().Has("errors"), w); err != nil {
		// Abort the connection, so that the client sees that the results are incomplete.
		panic(http.ErrAbortHandler)
	}
}
