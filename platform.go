package bergamotgrade

import (
	"context"
	"time"
)

// Entry is one entry of the platform's key-value store.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store-wide counter at the entry's last write; a missing entry
	// has revision zero.
	Revision int64 `json:"revision"`
}

// Platform gives access to single entries and named leases of the key-value store that
// the operators run. The VMs rely on this store alone for consensus and durable storage.
// Every method fails with KindPlatformDown if the store sent no response; the call may
// then have taken effect.
type Platform interface {
	// Get returns the entry of the key; a missing entry has revision zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes the value if the entry has the expected revision (zero: the
	// entry must not exist) and returns the new revision. It fails with KindConflict
	// if the revision differs or the lease has ended. An entry written with a lease is
	// deleted with the lease.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected int64, leaseID string) (int64, error)
	// Delete removes the entry if it has the expected revision, and otherwise fails with
	// KindConflict.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch waits until an entry below the prefix is written after the revision, and
	// returns the written entries; removals do not end the wait. It returns no entries
	// if the context ends, and all entries below the prefix if the store no longer
	// keeps the changes since the revision.
	Watch(ctx context.Context, prefix string, after int64) ([]Entry, error)
	// GrantLease creates a lease that expires after the term unless it is renewed.
	GrantLease(ctx context.Context, leaseID string, term time.Duration) error
	// RenewLease extends the lease by its term. It fails with KindConflict if the lease
	// has expired.
	RenewLease(ctx context.Context, leaseID string) error
	// RevokeLease ends the lease and deletes its entries.
	RevokeLease(ctx context.Context, leaseID string) error
}
