package bergamotgrade

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Attempt is one dispatch of an opaque request to a backend server.
type Attempt struct {
	RequestID string
	Method    string
	// Target is the request's path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's end-to-end headers.
	Header http.Header
	Body   []byte
	// Team is the team for which the request runs; empty for none.
	Team string
	// ResumeAfter is the id of the last event that is already there; empty starts
	// from the first.
	ResumeAfter string
	// Deadline is handed on to the server; zero hands on none.
	Deadline time.Time
	// HeadLimit ends an attempt whose answer has not begun after it; zero allows
	// any wait.
	HeadLimit time.Duration
	// StallLimit ends an answer that pauses for longer; zero allows any pause.
	StallLimit time.Duration
	// Repeatable attempts may use a connection that has been idle for longer.
	Repeatable bool
}

// Answer is a backend server's answer whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length; -1 where it is not announced.
	Length int64
	Body   io.ReadCloser
	// NotRun is set where the server says that it has not run the request.
	NotRun bool
	// Signed is set where the answer bears the server's signature.
	Signed bool
}

// Exchanger sends opaque requests to backend servers. An error is a
// DispatchError.
type Exchanger interface {
	Exchange(ctx context.Context, server ServerRecord, attempt Attempt) (*Answer, error)
}
