package bergamotgrade

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
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
	// ResumeAfter is the id of the last event received so far; if it is empty, the
	// stream starts with the first event.
	ResumeAfter string
	// Deadline is forwarded to the server; zero forwards none.
	Deadline time.Time
	// ResponseHeaderTimeout is the maximum wait for the response header; zero is unbounded.
	ResponseHeaderTimeout time.Duration
	// StallTimeout is the maximum pause within the response; zero is unbounded.
	StallTimeout time.Duration
	// MayMove is asked when one of these two times has passed in silence: while it returns false, no other
	// server can go on with the request, and the exchange waits on until the deadline. Nil always moves.
	MayMove func() bool
	// Repeatable marks a request that may run more than once; its attempts may use a
	// connection that has been idle for long.
	Repeatable bool
	// MaySend is called right before the first byte is written, with the connection open; its error
	// ends the attempt as not sent. It may be nil.
	MaySend func() error
}

// ErrUnsendable is wrapped by the error of an attempt that cannot be written as one HTTP
// request; it was not sent, and no server can run it.
var ErrUnsendable = errors.New("the request cannot be written as one HTTP request")

// ErrServerLeaving is wrapped by the error of an attempt that was not sent because its server leaves,
// drains or is no longer registered.
var ErrServerLeaving = errors.New("the server leaves")

// ErrServerEvacuated is wrapped by the error of an attempt that was not sent because the data centre of
// its server is evacuated.
var ErrServerEvacuated = errors.New("the data centre of the server is evacuated")

// IsServerIneligible reports whether the attempt was not sent because its server has become
// ineligible, which is no failure of the server.
func IsServerIneligible(err error) bool {
	return errors.Is(err, ErrServerLeaving) || errors.Is(err, ErrServerEvacuated)
}

// RateLimit is the limit that a server names in an answer: the requests per second that it
// takes from all VMs together.
type RateLimit struct {
	// Named is set if the answer names a limit.
	Named     bool
	PerSecond float64
}

// ServerRate is the limit of one server as of an answer that arrived Age ago.
type ServerRate struct {
	ServerID string
	RateLimit
	Age time.Duration
}

// Answer is a backend server's response; the body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body length in bytes, or -1 if the response does not state it.
	Length int64
	Body   io.ReadCloser
	// EndsWithConnection is set if the response states neither a length nor chunks: its end
	// looks like that of the server's process.
	EndsWithConnection bool
	// NotRun is set if the server states that it has not run the request.
	NotRun bool
	// ServerLeaving is set if the server states that it leaves.
	ServerLeaving bool
	// RateLimit is the limit that the response names.
	RateLimit RateLimit
	// ColdRemaining is how much longer the server stays cold; it holds only if ColdNamed is set, which
	// tells that the response says so.
	ColdRemaining time.Duration
	ColdNamed     bool
	// Signed is set if the response carries the server's signature header.
	Signed bool
	// OnProgress is called by MadeProgress; it may be nil.
	OnProgress func()
}

// MadeProgress tells that a complete part of the body has been received and handled. Bytes
// alone are no progress: a stalled server may send some now and then.
func (a *Answer) MadeProgress() {
	if a.OnProgress != nil {
		a.OnProgress()
	}
}

// Exchanger sends opaque requests to backend servers. It returns errors of type
// *DispatchError.
type Exchanger interface {
	Exchange(ctx context.Context, server ServerRecord, attempt Attempt) (*Answer, error)
}
