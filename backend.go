package bergamotgrade

import (
	"context"
	"net/http"
	"time"
)

// Completion is one attempt of a model request at a backend server.
type Completion struct {
	// RequestID identifies the caller's request; all its attempts share it.
	RequestID string
	// AttemptID identifies one dispatch; the server echoes it in each chunk.
	AttemptID string
	// Path is the URL path in the OpenAI-compatible API.
	Path string
	// Body is the JSON request with streaming enabled.
	Body []byte
	// ResumeOffset is the number of tokens that the caller has already received.
	ResumeOffset int
	Deadline     time.Time
}

// Chunk is one token of a streamed completion.
type Chunk struct {
	// Index is the zero-based position of the token in the whole response; -1 marks
	// a chunk without a token.
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
	// Next returns the next chunk, io.EOF after a complete response, or a
	// DispatchError if the stream broke off or is invalid.
	Next() (Chunk, error)
	// Close releases the connection and cancels an unfinished attempt.
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

// ServiceAnswer is the complete response of a plain service.
type ServiceAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// LoadReport is the load that a backend server reports about itself; it lags behind
// the actual load.
type LoadReport struct {
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Slots      int       `json:"slots"`
	MeasuredAt time.Time `json:"measured_at"`
}

// OrderKind is the action that an order requests from a model engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// EngineOrder tells a model engine to load or unload a model version.
type EngineOrder struct {
	Kind    OrderKind `json:"kind"`
	ModelID string    `json:"model_id"`
	Version string    `json:"version,omitempty"`
	// Fence is the fencing number of the controller that sends the order; each new
	// controller of an engine uses a higher one.
	Fence int64 `json:"fence"`
}

// EngineState is the highest fence that a model engine has seen and the versions that
// it has loaded, by model id.
type EngineState struct {
	Fence  int64             `json:"fence"`
	Loaded map[string]string `json:"loaded"`
}

// EngineOrders sends orders to model engines.
type EngineOrders interface {
	// EngineState reads the engine's fence and loaded versions.
	EngineState(ctx context.Context, server BackendServer) (EngineState, error)
	// Order sends one order. It fails with KindConflict if the engine has seen a
	// higher fence.
	Order(ctx context.Context, server BackendServer, order EngineOrder) error
}

// Backend sends requests to backend servers.
type Backend interface {
	// Complete starts one attempt. It returns errors of type *DispatchError.
	Complete(ctx context.Context, server BackendServer, completion Completion) (ChunkStream, error)
	// Call sends one request to a plain service and returns the complete response.
	// It returns errors of type *DispatchError.
	Call(ctx context.Context, server BackendServer, call ServiceCall) (ServiceAnswer, error)
	// Cancel stops an attempt on a model engine. An attempt that the engine does not
	// know is not an error.
	Cancel(ctx context.Context, server BackendServer, attemptID string) error
	// Load requests the server's load report.
	Load(ctx context.Context, server BackendServer) (LoadReport, error)
}

// DispatchError is the failure of one attempt at a backend server. It records whether
// the server may have run the request.
type DispatchError struct {
	maybeRan bool
	cause    error
}

// NotSent returns the error of an attempt that sent no byte to the server.
func NotSent(cause error) *DispatchError { return &DispatchError{cause: cause} }

// MaybeRan returns the error of an attempt that the server may have run.
func MaybeRan(cause error) *DispatchError { return &DispatchError{maybeRan: true, cause: cause} }

// MaybeRan reports whether the server may have run the request.
func (e *DispatchError) MaybeRan() bool { return e.maybeRan }

// Error returns the cause, preceded by whether the attempt may have run.
func (e *DispatchError) Error() string {
	if e.maybeRan {
		return "attempt may have run: " + e.cause.Error()
	}
	return "attempt was not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *DispatchError) Unwrap() error { return e.cause }
