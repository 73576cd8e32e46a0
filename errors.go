package bergamotgrade

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrorKind is the class of a failure; callers and operators match on its text.
type ErrorKind string

// The error kinds of the system.
const (
	KindInvalidRequest     ErrorKind = "invalid_request"
	KindRequestTooLarge    ErrorKind = "request_too_large"
	KindRequestTimeout     ErrorKind = "request_timeout"
	KindKeyMissing         ErrorKind = "key_missing"
	KindKeyUnknown         ErrorKind = "key_unknown"
	KindKeyWithdrawn       ErrorKind = "key_withdrawn"
	KindRouteUnknown       ErrorKind = "route_unknown"
	KindModelUnknown       ErrorKind = "model_unknown"
	KindRateExceeded       ErrorKind = "rate_exceeded"
	KindOverloaded         ErrorKind = "overloaded"
	KindDeadlineExceeded   ErrorKind = "deadline_exceeded"
	KindNoBackendServer    ErrorKind = "no_backend_server"
	KindBackendFailed      ErrorKind = "backend_failed"
	KindOutcomeUnknown     ErrorKind = "outcome_unknown"
	KindRequestInProgress  ErrorKind = "request_in_progress"
	KindKeyReused          ErrorKind = "idempotency_key_reused"
	KindConflict           ErrorKind = "conflict"
	KindPlatformDown       ErrorKind = "platform_unavailable"
	KindNoteInvalid        ErrorKind = "note_invalid"
	KindNotReady           ErrorKind = "not_ready"
	KindTooManyConns       ErrorKind = "too_many_connections"
	KindOriginUnknown      ErrorKind = "stream_origin_unknown"
	KindPromptQuarantined  ErrorKind = "prompt_quarantined"
	KindRequestQuarantined ErrorKind = "request_quarantined"
	KindInternal           ErrorKind = "internal"
)

// kindStatus maps each kind to the HTTP status of the response to the caller.
var kindStatus = map[ErrorKind]int{
	KindInvalidRequest:     http.StatusBadRequest,
	KindRequestTooLarge:    http.StatusRequestEntityTooLarge,
	KindRequestTimeout:     http.StatusRequestTimeout,
	KindKeyMissing:         http.StatusUnauthorized,
	KindKeyUnknown:         http.StatusUnauthorized,
	KindKeyWithdrawn:       http.StatusUnauthorized,
	KindRouteUnknown:       http.StatusNotFound,
	KindModelUnknown:       http.StatusNotFound,
	KindRateExceeded:       http.StatusTooManyRequests,
	KindOverloaded:         http.StatusServiceUnavailable,
	KindDeadlineExceeded:   http.StatusGatewayTimeout,
	KindNoBackendServer:    http.StatusServiceUnavailable,
	KindBackendFailed:      http.StatusBadGateway,
	KindOutcomeUnknown:     http.StatusBadGateway,
	KindRequestInProgress:  http.StatusConflict,
	KindKeyReused:          http.StatusUnprocessableEntity,
	KindConflict:           http.StatusConflict,
	KindPlatformDown:       http.StatusServiceUnavailable,
	KindNoteInvalid:        http.StatusUnprocessableEntity,
	KindNotReady:           http.StatusServiceUnavailable,
	KindTooManyConns:       http.StatusServiceUnavailable,
	KindOriginUnknown:      http.StatusServiceUnavailable,
	KindPromptQuarantined:  http.StatusServiceUnavailable,
	KindRequestQuarantined: http.StatusServiceUnavailable,
	KindInternal:           http.StatusInternalServerError,
}

// Error is a failure with a kind, a message, a remedy for the caller or operator, and
// whether the request is known not to have run.
type Error struct {
	kind    ErrorKind
	message string
	remedy  string
	notRun  bool
	retryAt time.Time
	cause   error
}

// NewError returns an error of the kind whose text is the message followed by
// the remedy.
func NewError(kind ErrorKind, message, remedy string) *Error {
	return &Error{kind: kind, message: message, remedy: remedy}
}

// WithNotRun returns a copy that states that the request was not run.
func (e *Error) WithNotRun() *Error {
	next := *e
	next.notRun = true
	return &next
}

// WithoutNotRun returns a copy that does not state whether the request was run.
func (e *Error) WithoutNotRun() *Error {
	next := *e
	next.notRun = false
	return &next
}

// WithRetryAt returns a copy that states the earliest time for a retry.
func (e *Error) WithRetryAt(at time.Time) *Error {
	next := *e
	next.retryAt = at
	return &next
}

// WithCause returns a copy that wraps the cause.
func (e *Error) WithCause(cause error) *Error {
	next := *e
	next.cause = cause
	return &next
}

// Kind returns the class of the failure.
func (e *Error) Kind() ErrorKind { return e.kind }

// Message returns the description of the failure, without the remedy.
func (e *Error) Message() string { return e.message }

// Remedy returns what the caller or operator can do about the failure.
func (e *Error) Remedy() string { return e.remedy }

// NotRun reports whether the request is known not to have run.
func (e *Error) NotRun() bool { return e.notRun }

// RetryAt returns the earliest time for a retry; zero if it is not known.
func (e *Error) RetryAt() time.Time { return e.retryAt }

// Status returns the HTTP status of the kind; 500 for an unknown kind.
func (e *Error) Status() int {
	if status, ok := kindStatus[e.kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Error returns the message, the remedy and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s; %s", e.message, e.remedy)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// AsError returns the first Error in the chain of err; without one it wraps err in an
// Error of KindInternal.
func AsError(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return NewError(KindInternal, "internal error", "report it with the request id").WithCause(err)
}

// IsKind reports whether the first Error in the chain of err has the kind.
func IsKind(err error, kind ErrorKind) bool {
	var found *Error
	return errors.As(err, &found) && found.kind == kind
}
