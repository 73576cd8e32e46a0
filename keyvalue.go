package bergamotgrade

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryLost is returned by Changes if the store no longer keeps the changes since
// the requested revision; the prefix has to be listed again.
var ErrHistoryLost = errors.New("platform store no longer keeps the changes since the revision; list the prefix again")

// ErrNoLease is returned by calls that use a lease that has ended.
var ErrNoLease = errors.New("platform lease has ended; create a new one")

// KeyChange is the write or removal of one entry.
type KeyChange struct {
	Entry
	Removed bool
}

// KeyWrite is one entry that a commit writes.
type KeyWrite struct {
	Key   string
	Value []byte
	// LeaseID is the lease with which the entry is removed; zero for no lease.
	LeaseID int64
}

// KeyCommit is a set of writes and deletes that is applied atomically.
type KeyCommit struct {
	// Expected maps keys to the revisions that they must have; zero requires that the
	// key does not exist.
	Expected map[string]int64
	Writes   []KeyWrite
	Deletes  []string
}

// CommitResult is the outcome of a commit.
type CommitResult struct {
	// Revision is the revision of the writes; zero if an expectation failed.
	Revision int64
	// Current holds the current entries of the expected keys if an expectation failed.
	Current map[string]Entry
}

// Applied reports whether the commit took effect.
func (r CommitResult) Applied() bool { return r.Revision > 0 }

// KeyValue is the platform's key-value store. Calls fail with KindPlatformDown if the
// store sent no response; a commit may then have taken effect, or may still do so.
type KeyValue interface {
	// Read returns the entry of the key; a missing entry has revision zero. A stale
	// read is cheaper and may return data that is seconds old.
	Read(ctx context.Context, key string, stale bool) (Entry, error)
	// Range returns all entries below the prefix and a revision from which
	// Changes continues.
	Range(ctx context.Context, prefix string, stale bool) ([]Entry, int64, error)
	// Changes waits up to the given time for changes below the prefix after the
	// revision. It returns the changes and the revision to continue from.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]KeyChange, int64, error)
	// Commit applies the writes and deletes if all expectations hold.
	Commit(ctx context.Context, commit KeyCommit) (CommitResult, error)
	// NewLease creates a lease of about the given term.
	NewLease(ctx context.Context, term time.Duration) (int64, error)
	// KeepLease renews the lease, or fails with ErrNoLease.
	KeepLease(ctx context.Context, leaseID int64) error
	// EndLease ends the lease and removes its entries.
	EndLease(ctx context.Context, leaseID int64) error
}
