package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bergamotgrade/bergamotgrade"
)

// storeCall is one call to the platform's store that a peer makes for the calling VM.
// Exactly one operation is set; Keep and End hold the id of a lease.
type storeCall struct {
	peerCall
	Read     string                   `json:"read,omitempty"`
	Range    string                   `json:"range,omitempty"`
	Stale    bool                     `json:"stale,omitempty"`
	Commit   *bergamotgrade.KeyCommit `json:"commit,omitempty"`
	NewLease time.Duration            `json:"new_lease,omitempty"`
	Keep     int64                    `json:"keep,omitempty"`
	End      int64                    `json:"end,omitempty"`
}

// storeAnswer is the result of a storeCall, or the reason for its failure.
type storeAnswer struct {
	Entry   bergamotgrade.Entry        `json:"entry"`
	Entries []bergamotgrade.Entry      `json:"entries,omitempty"`
	At      int64                      `json:"at,omitempty"`
	Result  bergamotgrade.CommitResult `json:"result"`
	LeaseID int64                      `json:"lease_id,omitempty"`
	NoLease bool                       `json:"no_lease,omitempty"`
	Failure string                     `json:"failure,omitempty"`
	NotRun  bool                       `json:"not_run,omitempty"`
}

// executeStoreCall makes the call at the store on behalf of another VM.
func executeStoreCall(ctx context.Context, kv bergamotgrade.KeyValue, call storeCall) storeAnswer {
	var answer storeAnswer
	var err error
	switch {
	case call.Read != "":
		answer.Entry, err = kv.Read(ctx, call.Read, call.Stale)
	case call.Range != "":
		answer.Entries, answer.At, err = kv.Range(ctx, call.Range, call.Stale)
	case call.Commit != nil:
		answer.Result, err = kv.Commit(ctx, *call.Commit)
	case call.NewLease > 0:
		answer.LeaseID, err = kv.NewLease(ctx, call.NewLease)
	case call.Keep != 0:
		err = kv.KeepLease(ctx, call.Keep)
	case call.End != 0:
		err = kv.EndLease(ctx, call.End)
	}
	switch {
	case errors.Is(err, bergamotgrade.ErrNoLease):
		answer.NoLease = true
	case err != nil:
		answer.Failure, answer.NotRun = err.Error(), bergamotgrade.AsError(err).NotRun()
	}
	return answer
}

// storeProxy is the platform's store, called through another VM.
type storeProxy struct {
	node    *Node
	address string
}

var _ bergamotgrade.KeyValue = (*storeProxy)(nil)

func (s *storeProxy) call(ctx context.Context, call storeCall) (storeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, storeProxyTimeout)
	defer cancel()
	call.peerCall = s.node.asCaller()
	answer, err := callPeer[storeAnswer](ctx, s.node, s.address, methodStore, call)
	var refusal *jsonrpc2.Error
	switch {
	case errors.As(err, &refusal):
		return answer, storeProxyError(err).WithNotRun()
	case err != nil:
		return answer, storeProxyError(err)
	case answer.NoLease:
		return answer, bergamotgrade.ErrNoLease
	case answer.Failure != "" && answer.NotRun:
		return answer, storeProxyError(errors.New(answer.Failure)).WithNotRun()
	case answer.Failure != "":
		return answer, storeProxyError(errors.New(answer.Failure))
	}
	return answer, nil
}

func storeProxyError(cause error) *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the platform's store gave no answer through another VM", "try again").WithCause(cause)
}

// Read implements bergamotgrade.KeyValue.
func (s *storeProxy) Read(ctx context.Context, key string, stale bool) (bergamotgrade.Entry, error) {
	answer, err := s.call(ctx, storeCall{Read: key, Stale: stale})
	return answer.Entry, err
}

// Range implements bergamotgrade.KeyValue.
func (s *storeProxy) Range(ctx context.Context, prefix string, stale bool) ([]bergamotgrade.Entry, int64, error) {
	answer, err := s.call(ctx, storeCall{Range: prefix, Stale: stale})
	return answer.Entries, answer.At, err
}

// Changes implements bergamotgrade.KeyValue. It always fails: watches are not proxied.
func (s *storeProxy) Changes(context.Context, string, int64, time.Duration) ([]bergamotgrade.KeyChange, int64, error) {
	return nil, 0, storeProxyError(errors.New("watches cannot be made through another VM")).WithNotRun()
}

// Commit implements bergamotgrade.KeyValue.
func (s *storeProxy) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	answer, err := s.call(ctx, storeCall{Commit: &commit})
	return answer.Result, err
}

// NewLease implements bergamotgrade.KeyValue.
func (s *storeProxy) NewLease(ctx context.Context, term time.Duration) (int64, error) {
	answer, err := s.call(ctx, storeCall{NewLease: term})
	return answer.LeaseID, err
}

// KeepLease implements bergamotgrade.KeyValue.
func (s *storeProxy) KeepLease(ctx context.Context, leaseID int64) error {
	_, err := s.call(ctx, storeCall{Keep: leaseID})
	return err
}

// EndLease implements bergamotgrade.KeyValue.
func (s *storeProxy) EndLease(ctx context.Context, leaseID int64) error {
	_, err := s.call(ctx, storeCall{End: leaseID})
	return err
}
