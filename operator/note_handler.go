package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/release"
)

const (
	// maxNoteBody bounds a request body in bytes.
	maxNoteBody = 1 << 20
	// submitTimeout bounds the submission of a note.
	submitTimeout = 20 * time.Second
)

// NoteService submits release notes and returns accepted ones.
type NoteService interface {
	// Submit accepts or refuses the note as a whole and returns the revision of an
	// accepted note.
	Submit(ctx context.Context, note release.Note) (int64, error)
	// State returns the state in force on this VM.
	State() *release.State
	// History returns the accepted notes above the revision, newest last.
	History(ctx context.Context, above int64) ([]release.AcceptedNote, error)
}

// NoteHandler serves the HTTP endpoints for release notes and the configuration.
type NoteHandler struct {
	service NoteService
}

// NewNoteHandler returns a handler that uses the service.
func NewNoteHandler(service NoteService) *NoteHandler {
	return &NoteHandler{service: service}
}

// CheckAnswer is the result of validating a note: its faults, and the changes that it
// would make on top of the revision.
type CheckAnswer struct {
	Revision int64           `json:"revision"`
	Faults   []release.Fault `json:"faults"`
	Changes  []string        `json:"changes"`
}

// SubmitAnswer is the response to an accepted note.
type SubmitAnswer struct {
	Revision int64 `json:"revision"`
}

// ErrorAnswer is the body of an error response.
type ErrorAnswer struct {
	Kind    bergamotgrade.ErrorKind `json:"kind"`
	Message string                  `json:"message"`
	Remedy  string                  `json:"remedy"`
}

func (h *NoteHandler) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /notes/check", h.check)
	mux.HandleFunc("POST /notes", h.submit)
	mux.HandleFunc("GET /notes", h.history)
	mux.HandleFunc("GET /config", h.config)
}

func (h *NoteHandler) check(w http.ResponseWriter, req *http.Request) {
	note, err := DecodeNote(w, req)
	if err != nil {
		WriteError(w, err)
		return
	}
	state := h.service.State()
	writeJSON(w, http.StatusOK, CheckAnswer{Revision: state.Revision(), Faults: release.Check(state, note), Changes: release.Diff(state, note)})
}

func (h *NoteHandler) submit(w http.ResponseWriter, req *http.Request) {
	note, err := DecodeNote(w, req)
	if err != nil {
		WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), submitTimeout)
	defer cancel()
	revision, err := h.service.Submit(ctx, note)
	if err != nil {
		WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, SubmitAnswer{Revision: revision})
}

func (h *NoteHandler) history(w http.ResponseWriter, req *http.Request) {
	above, _ := strconv.ParseInt(req.URL.Query().Get("above"), 10, 64)
	notes, err := h.service.History(req.Context(), above)
	if err != nil {
		WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, notes)
}

func (h *NoteHandler) config(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.service.State().Records())
}

// DecodeNote reads a note from a request body. It refuses unknown fields and bodies
// larger than 1 MiB.
func DecodeNote(w http.ResponseWriter, req *http.Request) (release.Note, error) {
	var note release.Note
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxNoteBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&note); err != nil {
		return note, bergamotgrade.NewError(bergamotgrade.KindNoteInvalid, "the note cannot be read", "send a JSON note of at most 1 MiB with known fields only").WithCause(err)
	}
	return note, nil
}

// WriteError writes an error response with the kind, message and remedy of err. An
// internal error is written with its cause, since only operators see it.
func WriteError(w http.ResponseWriter, err error) {
	failure := bergamotgrade.AsError(err)
	message := failure.Message()
	if failure.Kind() == bergamotgrade.KindInternal {
		message = failure.Error()
	}
	writeJSON(w, failure.Status(), ErrorAnswer{Kind: failure.Kind(), Message: message, Remedy: failure.Remedy()})
}
