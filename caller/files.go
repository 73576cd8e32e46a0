package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/batch"
	"github.com/bergamotgrade/bergamotgrade/memory"
)

const (
	// uploadTimeout is the maximum duration of the upload of one file.
	uploadTimeout = 10 * time.Minute
	// uploadHeldBytes is held of a file whose lines are read: the longest line, decoded, and the
	// lines that wait for their segment.
	uploadHeldBytes = 2 * batch.MaxLineBytes
	// maxFieldBytes is the maximum number of bytes read of a form field other than the
	// file.
	maxFieldBytes = 1024
	// Prefixes of the ids of result files; the id of the batch job follows.
	outputPrefix = "out-"
	errorPrefix  = "err-"
)

// fileObject is a file in the format of the OpenAI API.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileObject(file batch.File) fileObject {
	return fileObject{ID: file.FileID, Object: "file", Bytes: file.Bytes, CreatedAt: file.CreatedAt.Unix(), Filename: file.Name, Purpose: "batch", Status: "processed"}
}

// lineErrorsBody is the error body for an input file with invalid lines.
type lineErrorsBody struct {
	Error struct {
		errorDetail
		Lines []batch.LineError `json:"lines"`
	} `json:"error"`
}

// uploadFile stores an input file for batch jobs.
func (s *Server) uploadFile(x *exchange) error {
	caller, err := s.authorize(x)
	if err != nil {
		return err
	}
	holding, done := s.deps.Bodies.Holding(x.req)
	x.releases = append(x.releases, done)
	if err := s.hold(x, holding, uploadHeldBytes); err != nil {
		x.w.Header().Set("Connection", "close")
		return noRoomError(s.deps.Clock.Now(), err)
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(uploadTimeout))
	reader, err := x.req.MultipartReader()
	if err != nil {
		return invalidRequest("the body is no multipart form", "send the fields purpose and file as multipart/form-data").WithCause(err)
	}
	file := batch.File{FileID: "file-" + uuid.NewString(), TeamID: caller.team.TeamID, CreatedAt: s.deps.Clock.Now().UTC()}
	accepted := false
	for {
		part, err := reader.NextPart()
		if err == io.EOF {
			break
		}
		if err != nil {
			return invalidRequest("the form was cut short", "send it again").WithCause(err)
		}
		switch part.FormName() {
		case "purpose":
			value, _ := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if string(value) != "batch" {
				return invalidRequest("the field purpose is not \"batch\"", "send purpose=batch")
			}
		case "file":
			lineErrors, err := s.storeFile(x, part, &file)
			if err != nil {
				return err
			}
			if len(lineErrors) > 0 {
				return s.rejectFile(x, lineErrors)
			}
			accepted = true
		}
	}
	if !accepted {
		return invalidRequest("the form has no file", "send the field file")
	}
	return writeJSON(x.w, newFileObject(file))
}

func (s *Server) storeFile(x *exchange, part *multipart.Part, file *batch.File) ([]batch.LineError, error) {
	file.Name = path.Base(part.FileName())
	state := s.deps.Source.State()
	file.StateRevision = state.Revision()
	executor := s.deps.Executor.withState(state)
	stored, lineErrors, err := s.deps.Batches.Upload(x.req.Context(), *file, part, executor.Check, executor.AtMostOnce)
	*file = stored
	return lineErrors, err
}

// rejectFile responds with the errors of all invalid lines.
func (s *Server) rejectFile(x *exchange, lineErrors []batch.LineError) error {
	failure := invalidRequest("the file has bad lines, and nothing of it was accepted", "mend the listed lines and send the file again")
	var body lineErrorsBody
	body.Error.errorDetail = newErrorBody(failure, x.requestID).Error
	body.Error.Lines = lineErrors
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set(headerNotRun, "true")
	x.w.WriteHeader(failure.Status())
	return json.NewEncoder(x.w).Encode(body)
}

// showFile responds with the file object of a file.
func (s *Server) showFile(x *exchange) error {
	caller, err := s.authorize(x)
	if err != nil {
		return err
	}
	id := x.params("id")
	if jobID, _, ok := parseResultFileID(id); ok {
		if _, _, err := s.deps.Batches.Job(x.req.Context(), caller.team.TeamID, jobID); err != nil {
			return err
		}
		return writeJSON(x.w, fileObject{ID: id, Object: "file", Filename: id + ".jsonl", Purpose: "batch_output", Status: "processed"})
	}
	file, err := s.deps.Batches.File(x.req.Context(), caller.team.TeamID, id)
	if err != nil {
		return err
	}
	return writeJSON(x.w, newFileObject(file))
}

// parseResultFileID parses the id of a result file; failed is true for the file of failed
// items.
func parseResultFileID(id string) (jobID string, failed, ok bool) {
	if jobID, found := strings.CutPrefix(id, outputPrefix); found {
		return jobID, false, true
	}
	jobID, found := strings.CutPrefix(id, errorPrefix)
	return jobID, true, found
}

// readFile responds with the content of a file; results are in input order.
func (s *Server) readFile(x *exchange) error {
	caller, err := s.authorize(x)
	if err != nil {
		return err
	}
	ctx, id := x.req.Context(), x.params("id")
	jobID, failed, isResult := parseResultFileID(id)
	var job batch.Job
	var file batch.File
	if isResult {
		job, _, err = s.deps.Batches.Job(ctx, caller.team.TeamID, jobID)
	} else {
		file, err = s.deps.Batches.File(ctx, caller.team.TeamID, id)
	}
	if err != nil {
		return err
	}
	// The writer buffers the first part of the content before it sends the header, so
	// that an unreachable store still leads to an error status.
	w := &delayedHeaderWriter{w: x.w}
	if isResult {
		err = s.deps.Batches.WriteResults(ctx, job, failed, w)
	} else {
		err = s.deps.Batches.WriteFile(ctx, file, w)
	}
	if err != nil && w.started {
		// The status has been sent; aborting the connection is the only way to tell the
		// caller that the content is incomplete.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return err
	}
	return w.flush()
}

// delayedHeaderWriter delays the response header until enough content is buffered.
type delayedHeaderWriter struct {
	w       http.ResponseWriter
	started bool
	buffer  bytes.Buffer
}

// headerDelayBytes is the size of the content that is buffered before the header is sent.
const headerDelayBytes = 64 << 10

// Write implements io.Writer.
func (d *delayedHeaderWriter) Write(p []byte) (int, error) {
	d.buffer.Write(p)
	if d.buffer.Len() < headerDelayBytes {
		return len(p), nil
	}
	return len(p), d.flush()
}

func (d *delayedHeaderWriter) flush() error {
	if !d.started {
		d.started = true
		d.w.Header().Set("Content-Type", "application/jsonl")
	}
	defer d.buffer.Reset()
	return memory.WritePieces(d.w, d.buffer.Bytes(), writeTimeout)
}

var _ io.Writer = (*delayedHeaderWriter)(nil)

// idempotentID returns an id derived from the team and the idempotency key, so that a
// retried request gets the same id; without a key it returns a random id.
func idempotentID(prefix, teamID, key string) string {
	if key == "" {
		return prefix + uuid.NewString()
	}
	return prefix + bergamotgrade.HashKey(teamID + "\x00" + key)[:32]
}
