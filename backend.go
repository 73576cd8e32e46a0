package bergamotgrade

import (
	"context"
	"net/http"
	"time"
)

// Completion is one model request on its way to a backend server.
type Completion struct {
	// RequestID identifies the caller's request over all its attempts.
	RequestID string
	// AttemptID identifies one dispatch; the server echoes it in each chunk.
	AttemptID string
	// Path is the path of the OpenAI-compatible interface.
	Path string
	// Body is the JSON request with streaming switched on.
	Body []byte
	// ResumeOffset is the number of tokens that the caller already has.
	ResumeOffset int
	Deadline     time.Time
}

// Chunk is one token of a streamed completion.
type Chunk struct {
	// Index is the token's position in the whole answer, from zero.
	Index int
	// Choices is the JSON array of the chunk's choices.
	Choices []byte
	// Usage is the JSON usage object of the last chunk, or nil.
	Usage []byte
	// Finished is set on the chunk that carries the finish reason.
	Finished bool
}

// ChunkStream yields the chunks of one attempt.
type ChunkStream interface {
	// Next returns the next chunk, io.EOF after a complete answer, or the
	// error kind of a broken one.
	Next() (Chunk, error)
	// Close releases the connection; an unfinished attempt is cancelled.
	Close() error
}

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	RequestID  string
	AttemptID  string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	Deadline   time.Time
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// LoadReport is a backend server's own account of its load; it lags.
type LoadReport struct {
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Slots      int       `json:"slots"`
	MeasuredAt time.Time `json:"measured_at"`
}

// OrderKind names what an order tells an engine to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// EngineOrder tells an engine to load or unload a model version.
type EngineOrder struct {
	Kind    OrderKind `json:"kind"`
	ModelID string    `json:"model_id"`
	Version string    `json:"version,omitempty"`
	// Fence rises with each order-giver of the engine.
	Fence int64 `json:"fence"`
}

// EngineState is what an engine has loaded: versions by model.
type EngineState struct {
	Fence  int64             `json:"fence"`
	Loaded map[string]string `json:"loaded"`
}

// EngineOrders gives orders to engines.
type EngineOrders interface {
	// EngineState reads what the engine has loaded.
	EngineState(ctx context.Context, server BackendServer) (EngineState, error)
	// Order gives one order; an old fence is KindConflict.
	Order(ctx context.Context, server BackendServer, order EngineOrder) error
}

// Backend reaches backend servers.
type Backend interface {
	// Complete starts one attempt. An error is a DispatchError.
	Complete(ctx context.Context, server BackendServer, completion Completion) (ChunkStream, error)
	// Call sends one request to a plain service and returns its whole answer.
	// An error is a DispatchError.
	Call(ctx context.Context, server BackendServer, call ServiceCall) (ServiceAnswer, error)
	// Cancel stops an attempt on an engine; unknown attempts are no error.
	Cancel(ctx context.Context, server BackendServer, attemptID string) error
	// Load probes the server over a new connection.
	Load(ctx context.Context, server BackendServer) (LoadReport, error)
}

// DispatchError is the failure of one attempt at a backend server.
type DispatchError struct {
	maybeRan bool
	cause    error
}

// NotSent returns the failure of an attempt of which no byte left the VM.
func NotSent(cause error) *DispatchError { return &DispatchError{cause: cause} }

// MaybeRan returns the failure of an attempt that the server may have run.
func MaybeRan(cause error) *DispatchError { return &DispatchError{maybeRan: true, cause: cause} }

// MaybeRan reports whether the server may have run the request.
func (e *DispatchError) MaybeRan() bool { return e.maybeRan }

// Error returns the cause with its class.
func (e *DispatchError) Error() string {
	if e.maybeRan {
		return "attempt may have run: " + e.cause.Error()
	}
	return "attempt was not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *DispatchError) Unwrap() error { return e.cause }
