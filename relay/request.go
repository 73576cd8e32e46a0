package relay

import (
	"net/http"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Request is an opaque request that is proxied to a backend server.
type Request struct {
	RequestID string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	Team      string
	// PromptParts holds the ids of the parts of the prompt in order; other requests may
	// share them.
	PromptParts []string
	// Fingerprint is what the request has in common with its repeats.
	Fingerprint string
	Service     string
	// Services holds the services that may run requests of the route.
	Services []string
	// Homes are the regions of the servers that may run the request.
	Homes bergamotgrade.Homes
	// Streams marks a request whose response is an event stream.
	Streams bool
	// Repeatable allows the request to run more than once; a repeatable stream is
	// resumed at another server.
	Repeatable bool
	// MaxAttempts bounds the servers that may run the request.
	MaxAttempts int
	// Cost is the expected work in tokens.
	Cost float64
	// LatestStart is the latest start that still meets the route's objective.
	LatestStart time.Time
	// Deadline ends the request; it is the earlier of the caller's and the route's.
	Deadline time.Time
	// Timeout is the route's limit for a request, from the arrival of its first attempt to its deadline; zero if unknown.
	Timeout time.Duration
	// GapObjective is the route's objective for the pause between two events.
	GapObjective time.Duration
	// ResumeAfter is the id of the last event that the caller has received; empty
	// starts with the first event.
	ResumeAfter string
	// Resumes is the id of the request that brought the caller the first event.
	Resumes string
	// MayBegin is asked before a server runs the request for the first time; its error ends the request as
	// not run. It may be nil.
	MayBegin func() error
}

func (req *Request) traits() bergamotgrade.RequestTraits {
	return bergamotgrade.RequestTraits{PromptParts: req.PromptParts, Fingerprint: req.Fingerprint}
}

// Responder sends the response of one request to the caller.
type Responder interface {
	// Begin sends status and headers; length is -1 if the body's length is unknown.
	Begin(status int, header http.Header, length int64) error
	// Write sends and flushes a part of the body.
	Write(data []byte) error
}
