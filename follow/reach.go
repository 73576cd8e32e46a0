package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// Reach is a store that knows whether it can be reached. All calls of a VM go
// through one, so that an outage is noticed by whichever call meets it first.
// While this VM alone is cut off, its calls other than watches go through VMs
// that are not.
type Reach struct {
	kv    bergamotgrade.KeyValue
	clock bergamotgrade.Clock
	log   *slog.Logger
	// through returns the store as another VM reaches it, or nil.
	through func() bergamotgrade.KeyValue

	mu sync.Mutex
	// failingSince is when calls began to fail; zero while they succeed.
	failingSince time.Time
	returnedAt   time.Time
	// historyLostAt is when a watch last found that the history was dropped.
	historyLostAt time.Time
	// turned is closed and replaced when calls begin to fail, and when the store is
	// back.
	turned chan struct{}
}

var _ bergamotgrade.KeyValue = (*Reach)(nil)

// NewReach returns the store with its reach; through returns the store as
// another VM reaches it, or nil.
func NewReach(kv bergamotgrade.KeyValue, clock bergamotgrade.Clock, through func() bergamotgrade.KeyValue, log *slog.Logger) *Reach {
	return &Reach{kv: kv, clock: clock, through: through, log: log, turned: make(chan struct{})}
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

// Turned returns a channel that is closed when calls next begin to fail, when the
// store is back, or when it has dropped its history.
func (r *Reach) Turned() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.turned
}

// turn closes the channel; the caller holds the lock.
func (r *Reach) turn() {
	close(r.turned)
	r.turned = make(chan struct{})
}

// Probe finds out by a cheap call whether the store answers. It fails after the
// timeout.
func (r *Reach) Probe(ctx context.Context, leaseID int64, timeout time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.note(ctx, r.kv.KeepLease(callCtx, leaseID))
}

// note takes the outcome of one call.
func (r *Reach) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // the call was given up here
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if errors.Is(err, bergamotgrade.ErrHistoryLost) && now.Sub(r.historyLostAt) > historyPause {
		// Other watches may wait for changes that were dropped with the history.
		r.historyLostAt = now
		r.turn()
	}
	if bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) {
		if r.failingSince.IsZero() {
			r.failingSince = now
			r.turn()
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
	}
	r.turn()
}

// Direct returns the store without the way through other VMs.
func (r *Reach) Direct() bergamotgrade.KeyValue { return r.kv }

// route makes one call: through another VM while this one is cut off, else
// directly. A call that another VM's answer leaves open is not repeated.
func route[A any](ctx context.Context, r *Reach, call func(kv bergamotgrade.KeyValue) (A, error)) (A, error) {
	if r.Away() {
		if other := r.through(); other != nil {
			answer, err := call(other)
			if err == nil || !bergamotgrade.AsError(err).NotRun() {
				return answer, err
			}
		}
	}
	answer, err := call(r.kv)
	r.note(ctx, err)
	return answer, err
}

// Read implements bergamotgrade.KeyValue.
func (r *Reach) Read(ctx context.Context, key string, stale bool) (bergamotgrade.Entry, error) {
	return route(ctx, r, func(kv bergamotgrade.KeyValue) (bergamotgrade.Entry, error) { return kv.Read(ctx, key, stale) })
}

// page is the answer of Range.
type page struct {
	entries []bergamotgrade.Entry
	at      int64
}

// Range implements bergamotgrade.KeyValue.
func (r *Reach) Range(ctx context.Context, prefix string, stale bool) ([]bergamotgrade.Entry, int64, error) {
	answer, err := route(ctx, r, func(kv bergamotgrade.KeyValue) (page, error) {
		entries, at, err := kv.Range(ctx, prefix, stale)
		return page{entries, at}, err
	})
	return answer.entries, answer.at, err
}

// Changes implements bergamotgrade.KeyValue. It always asks the store itself.
func (r *Reach) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bergamotgrade.KeyChange, int64, error) {
	changes, at, err := r.kv.Changes(ctx, prefix, after, wait)
	r.note(ctx, err)
	return changes, at, err
}

// Commit implements bergamotgrade.KeyValue.
func (r *Reach) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	return route(ctx, r, func(kv bergamotgrade.KeyValue) (bergamotgrade.CommitResult, error) { return kv.Commit(ctx, commit) })
}

// NewLease implements bergamotgrade.KeyValue.
func (r *Reach) NewLease(ctx context.Context, term time.Duration) (int64, error) {
	return route(ctx, r, func(kv bergamotgrade.KeyValue) (int64, error) { return kv.NewLease(ctx, term) })
}

// KeepLease implements bergamotgrade.KeyValue.
func (r *Reach) KeepLease(ctx context.Context, leaseID int64) error {
	_, err := route(ctx, r, func(kv bergamotgrade.KeyValue) (struct{}, error) { return struct{}{}, kv.KeepLease(ctx, leaseID) })
	return err
}

// EndLease implements bergamotgrade.KeyValue.
func (r *Reach) EndLease(ctx context.Context, leaseID int64) error {
	_, err := route(ctx, r, func(kv bergamotgrade.KeyValue) (struct{}, error) { return struct{}{}, kv.EndLease(ctx, leaseID) })
	return err
}
