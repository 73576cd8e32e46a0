package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// storeCall is one call of the platform's store that another VM makes.
type storeCall struct {
	Read     string                   `json:"read,omitempty"`
	Range    string                   `json:"range,omitempty"`
	Stale    bool                     `json:"stale,omitempty"`
	Commit   *bergamotgrade.KeyCommit `json:"commit,omitempty"`
	NewLease time.Duration            `json:"new_lease,omitempty"`
	Keep     int64                    `json:"keep,omitempty"`
	End      int64                    `json:"end,omitempty"`
}

// storeAnswer is the answer of the store, or how the call failed.
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

// makeStoreCall makes the call of another VM.
func makeStoreCall(ctx context.Context, kv bergamotgrade.KeyValue, call storeCall) storeAnswer {
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

// storeThrough is the platform's store as another VM reaches it.
type storeThrough struct {
	peers   *vm.Peers
	address string
}

var _ bergamotgrade.KeyValue = (*storeThrough)(nil)

func (s *storeThrough) call(ctx context.Context, call storeCall) (storeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, throughTimeout)
	defer cancel()
	answer, err := vm.Call[storeAnswer](ctx, s.peers, s.address, methodStore, call)
	var refusal *jsonrpc2.Error
	switch {
	case errors.As(err, &refusal):
		return answer, throughFailed(err).WithNotRun()
	case err != nil:
		return answer, throughFailed(err)
	case answer.NoLease:
		return answer, bergamotgrade.ErrNoLease
	case answer.Failure != "" && answer.NotRun:
		return answer, throughFailed(errors.New(answer.Failure)).WithNotRun()
	case answer.Failure != "":
		return answer, throughFailed(errors.New(answer.Failure))
	}
	return answer, nil
}

func throughFailed(cause error) *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the platform's store gave no answer through another VM", "try again").WithCause(cause)
}

// Read implements bergamotgrade.KeyValue.
func (s *storeThrough) Read(ctx context.Context, key string, stale bool) (bergamotgrade.Entry, error) {
	answer, err := s.call(ctx, storeCall{Read: key, Stale: stale})
	return answer.Entry, err
}

// Range implements bergamotgrade.KeyValue.
func (s *storeThrough) Range(ctx context.Context, prefix string, stale bool) ([]bergamotgrade.Entry, int64, error) {
	answer, err := s.call(ctx, storeCall{Range: prefix, Stale: stale})
	return answer.Entries, answer.At, err
}

// Changes implements bergamotgrade.KeyValue; watches do not go through others.
func (s *storeThrough) Changes(context.Context, string, int64, time.Duration) ([]bergamotgrade.KeyChange, int64, error) {
	return nil, 0, throughFailed(errors.New("watches go to the store only")).WithNotRun()
}

// Commit implements bergamotgrade.KeyValue.
func (s *storeThrough) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	answer, err := s.call(ctx, storeCall{Commit: &commit})
	return answer.Result, err
}

// NewLease implements bergamotgrade.KeyValue.
func (s *storeThrough) NewLease(ctx context.Context, term time.Duration) (int64, error) {
	answer, err := s.call(ctx, storeCall{NewLease: term})
	return answer.LeaseID, err
}

// KeepLease implements bergamotgrade.KeyValue.
func (s *storeThrough) KeepLease(ctx context.Context, leaseID int64) error {
	_, err := s.call(ctx, storeCall{Keep: leaseID})
	return err
}

// EndLease implements bergamotgrade.KeyValue.
func (s *storeThrough) EndLease(ctx context.Context, leaseID int64) error {
	_, err := s.call(ctx, storeCall{End: leaseID})
	return err
}
