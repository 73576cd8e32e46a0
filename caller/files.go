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
)

const (
	// uploadTimeout bounds the upload of one file.
	uploadTimeout = 10 * time.Minute
	// maxFieldBytes bounds a form field other than the file.
	maxFieldBytes = 1024
	// Prefixes of the ids of result files, before the id of their batch.
	outputPrefix = "out-"
	errorPrefix  = "err-"
)

// fileObject is a file in the OpenAI convention.
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

// lineFaults is the refusal of a file with bad lines.
type lineFaults struct {
	Error struct {
		errorDetail
		Lines []batch.LineFault `json:"lines"`
	} `json:"error"`
}

// uploadFile takes an input file for batch jobs.
func (s *Server) uploadFile(x *exchange) error {
	who, err := s.authorize(x)
	if err != nil {
		return err
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(uploadTimeout))
	reader, err := x.req.MultipartReader()
	if err != nil {
		return invalid("the body is no multipart form", "send the fields purpose and file as multipart/form-data").WithCause(err)
	}
	file := batch.File{FileID: "file-" + uuid.NewString(), TeamID: who.team.TeamID, CreatedAt: s.deps.Clock.Now().UTC()}
	accepted := false
	for {
		part, err := reader.NextPart()
		if err == io.EOF {
			break
		}
		if err != nil {
			return invalid("the form was cut short", "send it again").WithCause(err)
		}
		switch part.FormName() {
		case "purpose":
			value, _ := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if string(value) != "batch" {
				return invalid("the field purpose is not \"batch\"", "send purpose=batch")
			}
		case "file":
			faults, err := s.storeFile(x, part, &file)
			if err != nil {
				return err
			}
			if len(faults) > 0 {
				return s.refuseLines(x, faults)
			}
			accepted = true
		}
	}
	if !accepted {
		return invalid("the form has no file", "send the field file")
	}
	return writeJSON(x.w, newFileObject(file))
}

func (s *Server) storeFile(x *exchange, part *multipart.Part, file *batch.File) ([]batch.LineFault, error) {
	file.Name = path.Base(part.FileName())
	stored, faults, err := s.deps.Batches.Upload(x.req.Context(), *file, part, s.deps.Executor.Check, s.deps.Executor.Once)
	*file = stored
	return faults, err
}

// refuseLines answers with every bad line.
func (s *Server) refuseLines(x *exchange, faults []batch.LineFault) error {
	failure := invalid("the file has bad lines, and nothing of it was accepted", "mend the listed lines and send the file again")
	var body lineFaults
	body.Error.errorDetail = newErrorBody(failure, x.requestID).Error
	body.Error.Lines = faults
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set(headerNotRun, "true")
	x.w.WriteHeader(failure.Status())
	return json.NewEncoder(x.w).Encode(body)
}

// showFile answers with the description of a file.
func (s *Server) showFile(x *exchange) error {
	who, err := s.authorize(x)
	if err != nil {
		return err
	}
	id := x.params("id")
	if job, _, ok := resultFile(id); ok {
		if _, _, err := s.deps.Batches.Job(x.req.Context(), who.team.TeamID, job); err != nil {
			return err
		}
		return writeJSON(x.w, fileObject{ID: id, Object: "file", Filename: id + ".jsonl", Purpose: "batch_output", Status: "processed"})
	}
	file, err := s.deps.Batches.File(x.req.Context(), who.team.TeamID, id)
	if err != nil {
		return err
	}
	return writeJSON(x.w, newFileObject(file))
}

// resultFile splits the id of a result file into its batch and its kind.
func resultFile(id string) (jobID string, failed, ok bool) {
	if job, found := strings.CutPrefix(id, outputPrefix); found {
		return job, false, true
	}
	job, found := strings.CutPrefix(id, errorPrefix)
	return job, true, found
}

// readFile answers with the content of a file; results stand in input order.
func (s *Server) readFile(x *exchange) error {
	who, err := s.authorize(x)
	if err != nil {
		return err
	}
	ctx, id := x.req.Context(), x.params("id")
	jobID, failed, isResult := resultFile(id)
	var job batch.Job
	var file batch.File
	if isResult {
		job, _, err = s.deps.Batches.Job(ctx, who.team.TeamID, jobID)
	} else {
		file, err = s.deps.Batches.File(ctx, who.team.TeamID, id)
	}
	if err != nil {
		return err
	}
	// The first part is gathered before the header goes out, so that a store
	// that does not answer leads to an error status.
	w := &lateWriter{w: x.w}
	if isResult {
		err = s.deps.Batches.WriteResults(ctx, job, failed, w)
	} else {
		err = s.deps.Batches.WriteFile(ctx, file, w)
	}
	if err != nil && w.begun {
		// A cut connection is the only honest end of a part of the content.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return err
	}
	return w.finish()
}

// lateWriter holds the header back until enough content is there.
type lateWriter struct {
	w      http.ResponseWriter
	begun  bool
	buffer bytes.Buffer
}

// lateWriterBytes is the content that is gathered before the header goes out.
const lateWriterBytes = 64 << 10

// Write implements io.Writer.
func (l *lateWriter) Write(p []byte) (int, error) {
	l.buffer.Write(p)
	if l.buffer.Len() < lateWriterBytes {
		return len(p), nil
	}
	return len(p), l.finish()
}

func (l *lateWriter) finish() error {
	if !l.begun {
		l.begun = true
		l.w.Header().Set("Content-Type", "application/jsonl")
	}
	_, err := l.buffer.WriteTo(l.w)
	return err
}

var _ io.Writer = (*lateWriter)(nil)

// submitID returns an id that is the same for each resend of a request.
func submitID(prefix, teamID, key string) string {
	if key == "" {
		return prefix + uuid.NewString()
	}
	return prefix + bergamotgrade.HashKey(teamID + "\x00" + key)[:32]
}
