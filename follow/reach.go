package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Reach is a store that knows whether it can be reached. All calls of a VM go
// through one, so that an outage is noticed by whichever call meets it first.
type Reach struct {
	kv    bergamotgrade.KeyValue
	clock bergamotgrade.Clock
	log   *slog.Logger

	mu sync.Mutex
	// failingSince is when calls began to fail; zero while they succeed.
	failingSince time.Time
	returnedAt   time.Time
	// regained is closed and replaced when the store is back after an outage.
	regained chan struct{}
}

var _ bergamotgrade.KeyValue = (*Reach)(nil)

// NewReach returns the store with its reach.
func NewReach(kv bergamotgrade.KeyValue, clock bergamotgrade.Clock, log *slog.Logger) *Reach {
	return &Reach{kv: kv, clock: clock, log: log, regained: make(chan struct{})}
}

// Away reports whether the last call failed.
func (r *Reach) Away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failingSince.IsZero()
}

// InGrace reports whether the store has returned so lately that entries which
// lapsed in its absence may still come back.
func (r *Reach) InGrace(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	away := !r.failingSince.IsZero() && now.Sub(r.failingSince) >= outageAfter
	return away || (!r.returnedAt.IsZero() && now.Before(r.returnedAt.Add(returnGrace)))
}

// Regained returns a channel that is closed when the store is next back after an
// outage.
func (r *Reach) Regained() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.regained
}

// note takes the outcome of one call.
func (r *Reach) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // the call was given up here
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) {
		if r.failingSince.IsZero() {
			r.failingSince = now
			r.log.Warn("store lost", "cause", err.Error())
		}
		return
	}
	if r.failingSince.IsZero() {
		return
	}
	away := now.Sub(r.failingSince)
	r.failingSince = time.Time{}
	r.log.Info("store regained", "away", away.String())
	if away >= outageAfter {
		r.returnedAt = now
		close(r.regained)
		r.regained = make(chan struct{})
	}
}

// Read implements bergamotgrade.KeyValue.
func (r *Reach) Read(ctx context.Context, key string, stale bool) (bergamotgrade.Entry, error) {
	entry, err := r.kv.Read(ctx, key, stale)
	r.note(ctx, err)
	return entry, err
}

// Range implements bergamotgrade.KeyValue.
func (r *Reach) Range(ctx context.Context, prefix string, stale bool) ([]bergamotgrade.Entry, int64, error) {
	entries, at, err := r.kv.Range(ctx, prefix, stale)
	r.note(ctx, err)
	return entries, at, err
}

// Changes implements bergamotgrade.KeyValue.
func (r *Reach) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bergamotgrade.KeyChange, int64, error) {
	changes, at, err := r.kv.Changes(ctx, prefix, after, wait)
	r.note(ctx, err)
	return changes, at, err
}

// Commit implements bergamotgrade.KeyValue.
func (r *Reach) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	result, err := r.kv.Commit(ctx, commit)
	r.note(ctx, err)
	return result, err
}

// NewLease implements bergamotgrade.KeyValue.
func (r *Reach) NewLease(ctx context.Context, term time.Duration) (int64, error) {
	id, err := r.kv.NewLease(ctx, term)
	r.note(ctx, err)
	return id, err
}

// KeepLease implements bergamotgrade.KeyValue.
func (r *Reach) KeepLease(ctx context.Context, leaseID int64) error {
	err := r.kv.KeepLease(ctx, leaseID)
	r.note(ctx, err)
	return err
}

// EndLease implements bergamotgrade.KeyValue.
func (r *Reach) EndLease(ctx context.Context, leaseID int64) error {
	err := r.kv.EndLease(ctx, leaseID)
	r.note(ctx, err)
	return err
}
