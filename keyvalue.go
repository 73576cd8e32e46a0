package bergamotgrade

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryLost is the failure of Changes when the asked revision is no longer
// kept; the prefix has to be listed again.
var ErrHistoryLost = errors.New("the platform no longer keeps the changes since that revision; list the prefix again")

// ErrNoLease is the failure of a call that names a lease that has ended.
var ErrNoLease = errors.New("the platform's lease has ended; take a new one")

// KeyChange is one change of an entry.
type KeyChange struct {
	Entry
	Removed bool
}

// KeyWrite is one entry that a commit writes.
type KeyWrite struct {
	Key   string
	Value []byte
	// LeaseID ties the entry's life to a lease; zero is none.
	LeaseID int64
}

// KeyCommit is a set of writes that happens whole or not at all.
type KeyCommit struct {
	// Expected maps keys to the revisions they must have; zero: must be missing.
	Expected map[string]int64
	Writes   []KeyWrite
	Deletes  []string
}

// CommitResult is the outcome of a commit.
type CommitResult struct {
	// Revision of the writes; zero when an expectation failed.
	Revision int64
	// Current holds the expected keys as they are, when an expectation failed.
	Current map[string]Entry
}

// Applied reports whether the commit took effect.
func (r CommitResult) Applied() bool { return r.Revision > 0 }

// KeyValue is the platform's store. Calls fail with KindPlatformDown where no
// answer came; a commit may have taken effect then, or may do so later.
type KeyValue interface {
	// Read returns the entry; a missing one has revision zero. A stale read is
	// cheaper and may be seconds old.
	Read(ctx context.Context, key string, stale bool) (Entry, error)
	// Range returns all entries below the prefix and a revision from which
	// Changes continues.
	Range(ctx context.Context, prefix string, stale bool) ([]Entry, int64, error)
	// Changes waits up to the given time for changes below the prefix after the
	// revision, and returns the revision to continue from.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]KeyChange, int64, error)
	// Commit applies the writes if all expectations hold.
	Commit(ctx context.Context, commit KeyCommit) (CommitResult, error)
	// NewLease takes a lease of about the term.
	NewLease(ctx context.Context, term time.Duration) (int64, error)
	// KeepLease renews the lease, or fails with ErrNoLease.
	KeepLease(ctx context.Context, leaseID int64) error
	// EndLease removes the lease and its entries.
	EndLease(ctx context.Context, leaseID int64) error
}
