package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// MonitoredStore wraps the store and tracks whether it is reachable. A VM makes all its
// store calls through one instance, so that the first failing call of any kind reveals an
// outage. While the store is unreachable from this VM, all calls except watches go
// through a peer that reaches it. It is safe for concurrent use.
type MonitoredStore struct {
	kv    bergamotgrade.KeyValue
	clock bergamotgrade.Clock
	log   *slog.Logger
	// peerStore returns a store whose calls go through a peer that may see data with the homes, or
	// nil if no such peer reaches the store.
	peerStore PeerStore

	mu sync.Mutex
	// failingSince is when calls began to fail; zero while they succeed.
	failingSince time.Time
	// answerTime is the moving average of the time that the store takes for an answer; zero before the first.
	answerTime time.Duration
	// nextCallAt and nextRenewalAt are the times of the next call, and renewal of a lease, while calls are
	// suspended.
	nextCallAt, nextRenewalAt time.Time
	// peersReachSince is since when other VMs have reached the store although calls fail here;
	// zero while none does.
	peersReachSince time.Time
	// succeededAt is when a call last succeeded.
	succeededAt time.Time
	// recoveredAt is when the last outage of the store of at least outageThreshold ended.
	recoveredAt time.Time
	// historyLostAt is when a call to Changes last found that the store had discarded
	// its history and the watches were restarted.
	historyLostAt time.Time
	// stateChanged is the channel that StateChanged returns; it is closed and replaced
	// on each state change.
	stateChanged chan struct{}
}

var _ bergamotgrade.KeyValue = (*MonitoredStore)(nil)

// PeerStore returns a store whose calls go through a peer that may see data with the homes, or nil if
// no such peer reaches the store.
type PeerStore func(homes bergamotgrade.Homes) bergamotgrade.KeyValue

// NewMonitoredStore returns a wrapper of the store, whose calls go through peerStore while the store is
// unreachable.
func NewMonitoredStore(kv bergamotgrade.KeyValue, clock bergamotgrade.Clock, peerStore PeerStore, log *slog.Logger) *MonitoredStore {
	return &MonitoredStore{kv: kv, clock: clock, peerStore: peerStore, log: log, stateChanged: make(chan struct{})}
}

// Unreachable reports whether the last call failed: the store gave no answer or refused
// the call.
func (s *MonitoredStore) Unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failingSince.IsZero()
}

// SinceSuccess returns how long ago a call last succeeded.
func (s *MonitoredStore) SinceSuccess(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.succeededAt)
}

// InGracePeriod reports whether the store has been away for at least outageThreshold, or came
// back from such an outage less than recoveryGracePeriod ago. Until the period ends, owners may
// write their expired entries again. While other VMs reach the store, it is away for this VM
// only: entries do not expire for that.
func (s *MonitoredStore) InGracePeriod(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recoveredAt := s.recoveredAt
	if !s.failingSince.IsZero() {
		end, isOutage := s.outageEnd(now)
		switch {
		case isOutage && s.peersReachSince.IsZero():
			return true
		case isOutage:
			recoveredAt = end
		}
	}
	return !recoveredAt.IsZero() && now.Before(recoveredAt.Add(recoveryGracePeriod))
}

// outageEnd returns until when no VM has reached the store since calls began to fail, which may
// be now, and whether that was an outage. The caller holds the lock.
func (s *MonitoredStore) outageEnd(now time.Time) (end time.Time, isOutage bool) {
	end = now
	if !s.peersReachSince.IsZero() {
		end = s.peersReachSince
	}
	return end, end.Sub(s.failingSince) >= outageThreshold
}

// observePeers records whether other VMs reach the store while calls fail here.
func (s *MonitoredStore) observePeers() {
	reached := s.peerStore(bergamotgrade.Homes{}) != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.failingSince.IsZero():
	case !reached:
		s.peersReachSince = time.Time{}
	case s.peersReachSince.IsZero():
		s.peersReachSince = s.clock.Now()
	}
}

// StateChanged returns a channel that is closed when the store next becomes unreachable
// or reachable again, or is found to have discarded its history.
func (s *MonitoredStore) StateChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateChanged
}

// signalStateChange closes the channel and replaces it. The caller holds the lock.
func (s *MonitoredStore) signalStateChange() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// Probe checks whether the store answers, by renewing the lease. No answer within the
// timeout counts as a failed call.
func (s *MonitoredStore) Probe(ctx context.Context, leaseID int64, timeout time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.recordResult(ctx, s.kv.KeepLease(callCtx, leaseID))
}

// recordResult updates the reachability by the result of one call.
func (s *MonitoredStore) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // the caller cancelled the call, which says nothing about the store
	}
	if bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) {
		s.recordFailure(err)
		s.observePeers()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if errors.Is(err, bergamotgrade.ErrHistoryLost) && now.Sub(s.historyLostAt) > historyLostInterval {
		// Other watches may be waiting for changes that were discarded with the history.
		s.historyLostAt = now
		s.signalStateChange()
	}
	s.succeededAt = now
	if s.failingSince.IsZero() {
		return
	}
	end, isOutage := s.outageEnd(now)
	if isOutage {
		s.recoveredAt = end
	}
	s.log.Info("store reachable again", "outage", now.Sub(s.failingSince).String(), "reached_by_no_vm", end.Sub(s.failingSince).String())
	s.failingSince, s.peersReachSince = time.Time{}, time.Time{}
	s.signalStateChange()
}

// recordFailure records a call that the store did not answer or refused.
func (s *MonitoredStore) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failingSince.IsZero() {
		return
	}
	s.failingSince = s.clock.Now()
	s.signalStateChange()
	s.log.Warn("store unreachable; mirrors keep serving their last copies", "cause", err.Error())
}

// Direct returns the wrapped store, whose calls never go through a peer.
func (s *MonitoredStore) Direct() bergamotgrade.KeyValue { return s.kv }

// callOptions are the options of a call to the store.
type callOptions struct {
	// homes are those of the data that the call carries; a peer that makes the call may see it.
	homes bergamotgrade.Homes
	// patience bounds a direct call while a peer reaches the store; zero sets no bound.
	patience time.Duration
	// isRenewal is set for the renewal of a lease.
	isRenewal bool
}

// callStore makes one call, through a peer while the store is unreachable from this VM,
// else directly. A call that failed at the peer is only repeated directly if it
// certainly had no effect on the store. In an outage that lasts, most calls are suspended: they fail
// as not run.
func callStore[A any](ctx context.Context, s *MonitoredStore, options callOptions, call func(ctx context.Context, kv bergamotgrade.KeyValue) (A, error)) (A, error) {
	if s.Unreachable() {
		if peer := s.peerStore(options.homes); peer != nil {
			answer, err := call(ctx, peer)
			if err == nil || !bergamotgrade.AsError(err).NotRun() {
				return answer, err
			}
		}
	}
	if err := s.suspended(options.isRenewal); err != nil {
		var none A
		return none, err
	}
	startedAt := s.clock.Now()
	callCtx, cancel := s.withPatience(ctx, options.patience)
	defer cancel()
	answer, err := call(callCtx, s.kv)
	s.recordResult(ctx, err)
	s.recordAnswerTime(err, s.clock.Now().Sub(startedAt))
	return answer, err
}

// Read implements bergamotgrade.KeyValue.
func (s *MonitoredStore) Read(ctx context.Context, key string, stale bool) (bergamotgrade.Entry, error) {
	return s.readWithin(ctx, bergamotgrade.Homes{}, key, stale)
}

// rangeResult holds the two results of Range.
type rangeResult struct {
	entries  []bergamotgrade.Entry
	revision int64
}

// Range implements bergamotgrade.KeyValue.
func (s *MonitoredStore) Range(ctx context.Context, prefix string, stale bool) ([]bergamotgrade.Entry, int64, error) {
	return s.rangeWithin(ctx, bergamotgrade.Homes{}, prefix, stale)
}

// Changes implements bergamotgrade.KeyValue. It never goes through a peer.
func (s *MonitoredStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bergamotgrade.KeyChange, int64, error) {
	if err := s.suspended(false); err != nil {
		return nil, 0, err
	}
	changes, revision, err := s.kv.Changes(ctx, prefix, after, wait)
	s.recordResult(ctx, err)
	return changes, revision, err
}

// Commit implements bergamotgrade.KeyValue.
func (s *MonitoredStore) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	return s.commitWithin(ctx, bergamotgrade.Homes{}, commit)
}

// NewLease implements bergamotgrade.KeyValue.
func (s *MonitoredStore) NewLease(ctx context.Context, term time.Duration) (int64, error) {
	return callStore(ctx, s, callOptions{patience: patienceFor(0)}, func(ctx context.Context, kv bergamotgrade.KeyValue) (int64, error) { return kv.NewLease(ctx, term) })
}

// KeepLease implements bergamotgrade.KeyValue.
func (s *MonitoredStore) KeepLease(ctx context.Context, leaseID int64) error {
	_, err := callStore(ctx, s, callOptions{patience: patienceFor(0), isRenewal: true}, func(ctx context.Context, kv bergamotgrade.KeyValue) (struct{}, error) {
		return struct{}{}, kv.KeepLease(ctx, leaseID)
	})
	return err
}

// EndLease implements bergamotgrade.KeyValue.
func (s *MonitoredStore) EndLease(ctx context.Context, leaseID int64) error {
	_, err := callStore(ctx, s, callOptions{patience: patienceFor(0)}, func(ctx context.Context, kv bergamotgrade.KeyValue) (struct{}, error) {
		return struct{}{}, kv.EndLease(ctx, leaseID)
	})
	return err
}
