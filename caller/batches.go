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

// batchObject is a batch job in the OpenAI convention.
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

// Metadata fields with a meaning.
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

// describe adds the progress to a job.
func (s *Server) describe(x *exchange, job batch.Job) (batchObject, error) {
	ranges, err := s.deps.Batches.Ranges(x.req.Context(), job)
	counts := requestCounts{Total: job.Items}
	for _, progress := range ranges {
		counts.Completed += progress.Succeeded
		counts.Failed += progress.Failed
	}
	return newBatchObject(job, counts), err
}

// createBatch accepts a job. The answer means that the job survives the loss of
// any one VM.
func (s *Server) createBatch(x *exchange) error {
	who, err := s.authorize(x)
	if err != nil {
		return err
	}
	body, err := s.readBody(x)
	if err != nil {
		return err
	}
	var request batchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return invalid("the body is no batch request", "send input_file_id, endpoint and completion_window").WithCause(err)
	}
	file, err := s.deps.Batches.File(x.req.Context(), who.team.TeamID, request.InputFileID)
	if err != nil {
		return err
	}
	job, err := s.newJob(x, who, request, file)
	if err != nil {
		return err
	}
	job.RequestHash = bergamotgrade.HashKey(string(body))
	if job, err = s.deps.Batches.Accept(x.req.Context(), job); err != nil {
		return err
	}
	s.deps.Announce(job.JobID, false)
	object, err := s.describe(x, job)
	if err != nil {
		return err
	}
	return writeJSON(x.w, object)
}

func (s *Server) newJob(x *exchange, who identity, request batchRequest, file batch.File) (batch.Job, error) {
	now := s.deps.Clock.Now().UTC()
	job := batch.Job{
		JobID:  submitID("batch_", who.team.TeamID, x.req.Header.Get(headerIdempotencyKey)),
		TeamID: who.team.TeamID, KeyHash: who.keyHash, FileID: file.FileID, Endpoint: request.Endpoint,
		Status: batch.JobInProgress, CreatedAt: now, Items: file.Items, Metadata: request.Metadata,
	}
	var err error
	if job.DueAt, err = dueAt(now, request); err != nil {
		return job, err
	}
	if text := request.Metadata[metadataWeight]; text != "" {
		if job.Weight, err = strconv.ParseFloat(text, 64); err != nil || job.Weight <= 0 || job.Weight > batch.MaxWeight {
			return job, invalid("metadata.weight is no number above 0 and up to 100", "leave it out or send one")
		}
	}
	return job, nil
}

// dueAt reads the due date from the metadata or the completion window.
func dueAt(now time.Time, request batchRequest) (time.Time, error) {
	if text := request.Metadata[metadataDue]; text != "" {
		due, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return due, invalid("metadata.due_at is no RFC 3339 time", "send a time like 2006-01-02T15:04:05Z")
		}
		return due, nil
	}
	if request.CompletionWindow == "" {
		return now.Add(batch.DefaultWindow), nil
	}
	window, err := time.ParseDuration(request.CompletionWindow)
	if err != nil || window <= 0 {
		return now, invalid("completion_window is no time span", "send one like 24h")
	}
	return now.Add(window), nil
}

// showBatch answers with a job and its progress.
func (s *Server) showBatch(x *exchange) error {
	who, err := s.authorize(x)
	if err != nil {
		return err
	}
	job, _, err := s.deps.Batches.Job(x.req.Context(), who.team.TeamID, x.params("id"))
	if err != nil {
		return err
	}
	object, err := s.describe(x, job)
	if err != nil {
		return err
	}
	return writeJSON(x.w, object)
}

// listBatches answers with the team's jobs, without their progress.
func (s *Server) listBatches(x *exchange) error {
	who, err := s.authorize(x)
	if err != nil {
		return err
	}
	jobs, err := s.deps.Batches.Jobs(x.req.Context(), who.team.TeamID)
	if err != nil {
		return err
	}
	list := batchList{Object: "list", Data: []batchObject{}}
	for _, job := range jobs {
		list.Data = append(list.Data, newBatchObject(job, requestCounts{Total: job.Items}))
	}
	return writeJSON(x.w, list)
}

// cancelBatch ends a job for good.
func (s *Server) cancelBatch(x *exchange) error {
	who, err := s.authorize(x)
	if err != nil {
		return err
	}
	job, err := s.deps.Batches.Cancel(x.req.Context(), who.team.TeamID, x.params("id"))
	if err != nil {
		return err
	}
	if job.Status == batch.JobCancelled {
		s.deps.Announce(job.JobID, true)
	}
	object, err := s.describe(x, job)
	if err != nil {
		return err
	}
	return writeJSON(x.w, object)
}
