package caller

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/batch"
)

// batchRequest is the body of POST /v1/batches.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// batchObject is a batch job in the format of the OpenAI API.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           batch.JobStatus   `json:"status"`
	OutputFileID     string            `json:"output_file_id"`
	ErrorFileID      string            `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

type batchList struct {
	Object  string        `json:"object"`
	Data    []batchObject `json:"data"`
	HasMore bool          `json:"has_more"`
}

// Metadata fields that the system evaluates.
const (
	metadataDue    = "due_at"
	metadataWeight = "weight"
)

func newBatchObject(job batch.Job, counts requestCounts) batchObject {
	object := batchObject{
		ID: job.JobID, Object: "batch", Endpoint: job.Endpoint, InputFileID: job.FileID, CompletionWindow: job.DueAt.Sub(job.CreatedAt).String(),
		Status: job.Status, OutputFileID: outputPrefix + job.JobID, ErrorFileID: errorPrefix + job.JobID,
		CreatedAt: job.CreatedAt.Unix(), ExpiresAt: job.DueAt.Unix(), RequestCounts: counts, Metadata: job.Metadata,
	}
	switch job.Status {
	case batch.JobCompleted:
		object.CompletedAt = job.EndedAt.Unix()
	case batch.JobCancelled:
		object.CancelledAt = job.EndedAt.Unix()
	}
	return object
}

// batchWithProgress returns the batch object of a job with its progress.
func (s *Server) batchWithProgress(x *exchange, job batch.Job) (batchObject, error) {
	ranges, err := s.deps.Batches.Ranges(x.req.Context(), job)
	counts := requestCounts{Total: job.Items}
	for _, progress := range ranges {
		counts.Completed += progress.Succeeded
		counts.Failed += progress.Failed
	}
	return newBatchObject(job, counts), err
}

// createBatch accepts a job. It responds only after the job has been stored such that
// it survives the loss of any single VM.
func (s *Server) createBatch(x *exchange) error {
	caller, err := s.authorize(x)
	if err != nil {
		return err
	}
	body, err := s.readBody(x)
	if err != nil {
		return err
	}
	var request batchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return invalidRequest("the body is no batch request", "send input_file_id, endpoint and completion_window").WithCause(err)
	}
	file, err := s.deps.Batches.File(x.req.Context(), caller.team.TeamID, request.InputFileID)
	if err != nil {
		return err
	}
	job, err := s.newJob(x, caller, request, file)
	if err != nil {
		return err
	}
	job.RequestHash = bergamotgrade.HashKey(string(body))
	if job, err = s.deps.Batches.CreateJob(x.req.Context(), job); err != nil {
		return err
	}
	s.deps.AnnounceJob(job.JobID, false)
	object, err := s.batchWithProgress(x, job)
	if err != nil {
		return err
	}
	return writeJSON(x.w, object)
}

func (s *Server) newJob(x *exchange, caller identity, request batchRequest, file batch.File) (batch.Job, error) {
	now := s.deps.Clock.Now().UTC()
	job := batch.Job{
		JobID:  idempotentID("batch_", caller.team.TeamID, x.req.Header.Get(headerIdempotencyKey)),
		TeamID: caller.team.TeamID, KeyHash: caller.keyHash, FileID: file.FileID, Endpoint: request.Endpoint,
		Status: batch.JobInProgress, CreatedAt: now, Items: file.Items, Metadata: request.Metadata,
		StateRevision: max(file.StateRevision, s.deps.Source.State().Revision()),
	}
	var err error
	if job.DueAt, err = dueAt(now, request); err != nil {
		return job, err
	}
	if text := request.Metadata[metadataWeight]; text != "" {
		if job.Weight, err = strconv.ParseFloat(text, 64); err != nil || job.Weight <= 0 || job.Weight > batch.MaxWeight {
			return job, invalidRequest("metadata.weight is no number above 0 and up to 100", "leave it out or send one")
		}
	}
	return job, nil
}

// dueAt returns the due time from the metadata or the completion window.
func dueAt(now time.Time, request batchRequest) (time.Time, error) {
	if text := request.Metadata[metadataDue]; text != "" {
		due, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return due, invalidRequest("metadata.due_at is no RFC 3339 time", "send a time like 2006-01-02T15:04:05Z")
		}
		return due, nil
	}
	if request.CompletionWindow == "" {
		return now.Add(batch.DefaultCompletionWindow), nil
	}
	window, err := time.ParseDuration(request.CompletionWindow)
	if err != nil || window <= 0 {
		return now, invalidRequest("completion_window is no time span", "send one like 24h")
	}
	return now.Add(window), nil
}

// showBatch responds with a job and its progress.
func (s *Server) showBatch(x *exchange) error {
	caller, err := s.authorize(x)
	if err != nil {
		return err
	}
	job, _, err := s.deps.Batches.Job(x.req.Context(), caller.team.TeamID, x.params("id"))
	if err != nil {
		return err
	}
	object, err := s.batchWithProgress(x, job)
	if err != nil {
		return err
	}
	return writeJSON(x.w, object)
}

// listBatches responds with the team's jobs, without their progress.
func (s *Server) listBatches(x *exchange) error {
	caller, err := s.authorize(x)
	if err != nil {
		return err
	}
	jobs, err := s.deps.Batches.Jobs(x.req.Context(), caller.team.TeamID)
	if err != nil {
		return err
	}
	list := batchList{Object: "list", Data: []batchObject{}}
	for _, job := range jobs {
		list.Data = append(list.Data, newBatchObject(job, requestCounts{Total: job.Items}))
	}
	return writeJSON(x.w, list)
}

// cancelBatch cancels a job permanently.
func (s *Server) cancelBatch(x *exchange) error {
	caller, err := s.authorize(x)
	if err != nil {
		return err
	}
	job, err := s.deps.Batches.Cancel(x.req.Context(), caller.team.TeamID, x.params("id"))
	if err != nil {
		return err
	}
	if job.Status == batch.JobCancelled {
		s.deps.AnnounceJob(job.JobID, true)
	}
	object, err := s.batchWithProgress(x, job)
	if err != nil {
		return err
	}
	return writeJSON(x.w, object)
}
