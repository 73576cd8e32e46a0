package bergamotgrade

import (
	"context"
	"time"
)

// Entry is one value of the platform's key-value service.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the service-wide counter at the entry's last write; a
	// missing entry has revision zero.
	Revision int64 `json:"revision"`
}

// Platform is the operators' key-value service: the only thing that agrees or
// keeps. Every method fails with KindPlatformDown when the service gave no
// answer; the call may have taken effect then.
type Platform interface {
	// Get returns the entry of the key; a missing one has revision zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes the value if the entry's revision is the expected
	// one (zero: the entry must be missing) and returns the new revision. A
	// lost comparison is KindConflict. A non-empty lease ties the entry's life
	// to the lease.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected int64, leaseID string) (int64, error)
	// Delete removes the entry if its revision is the expected one.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch waits until an entry below the prefix changes after the revision
	// or the context ends, and returns the changed entries.
	Watch(ctx context.Context, prefix string, after int64) ([]Entry, error)
	// GrantLease creates a lease that lapses after the term unless renewed.
	GrantLease(ctx context.Context, leaseID string, term time.Duration) error
	// RenewLease extends the lease by its term; a lapsed lease is KindConflict.
	RenewLease(ctx context.Context, leaseID string) error
	// RevokeLease ends the lease and deletes its entries.
	RevokeLease(ctx context.Context, leaseID string) error
}
