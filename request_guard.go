package bergamotgrade

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// RequestTraits are what a request may have in common with others, so that servers may end
// under all of them.
type RequestTraits struct {
	// PromptParts holds the ids of the parts of the prompt, in order.
	PromptParts []string
	// Fingerprint is that of the request and its repeats; empty for batch items, which no
	// caller repeats.
	Fingerprint string
}

// RequestGuard keeps requests away from the backend servers if several servers have ended
// under requests with one of their traits.
type RequestGuard interface {
	// Check fails with KindPromptQuarantined or KindRequestQuarantined and the time of the
	// next trial if one of the traits is quarantined.
	Check(traits RequestTraits) error
	// IsQuarantined reports whether one of the traits is quarantined, trial or not.
	IsQuarantined(traits RequestTraits) bool
	// Admit is called right before a request is sent to a server. It fails as Check does,
	// but one request of the fleet is let through when the time of a trial has come.
	Admit(ctx context.Context, traits RequestTraits) error
	// ConnectionLost records that the connection to the server broke during a request that
	// was sent to it at sentAt.
	ConnectionLost(server ServerRecord, traits RequestTraits, sentAt time.Time)
	// Served records that a request was answered completely.
	Served(traits RequestTraits)
}

// ServerProber probes backend servers.
type ServerProber interface {
	// HasEnded reports whether the address of the server refuses connections, as it does
	// once the process has ended.
	HasEnded(ctx context.Context, server ServerRecord) bool
}

// IsConnectionLoss reports whether the error says that the server, or something on the way to
// it, closed the connection before the answer was complete.
func IsConnectionLoss(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
