package limit

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Static gives each of a fixed number of VMs an equal part of every rate and
// burst. It is the baseline for comparisons with the other limiters.
type Static struct {
	clock bergamotgrade.Clock
	vms   float64

	mu      sync.Mutex
	buckets map[string]*Bucket
}

var _ bergamotgrade.Limiter = (*Static)(nil)

// NewStatic returns a limiter for one VM of a fleet of the given number of VMs.
func NewStatic(clock bergamotgrade.Clock, vms int) *Static {
	return &Static{clock: clock, vms: float64(vms), buckets: map[string]*Bucket{}}
}

// Admit implements bergamotgrade.Limiter.
func (s *Static) Admit(_ context.Context, team bergamotgrade.Team) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	rate, capacity := team.Rate/s.vms, team.Burst/s.vms
	bucket, ok := s.buckets[team.TeamID]
	if !ok {
		full := NewBucket(now, rate, capacity, capacity)
		bucket = &full
		s.buckets[team.TeamID] = bucket
	}
	bucket.Resize(now, rate, capacity)
	if bucket.Take(now, 1) {
		return nil
	}
	readyAt, ok := bucket.ReadyAt(now, 1)
	if !ok {
		readyAt = now.Add(time.Duration(float64(time.Second) / team.Rate))
	}
	return Exceeded(team, readyAt)
}

// AdmitBatch implements bergamotgrade.Limiter.
func (s *Static) AdmitBatch(ctx context.Context, team bergamotgrade.Team) error {
	for {
		err := s.Admit(ctx, team)
		if err == nil {
			return nil
		}
		if !bergamotgrade.Sleep(ctx, staticRetryInterval) {
			return context.Cause(ctx)
		}
	}
}

// Exceeded returns the KindRateExceeded error of a request that is beyond the rate
// of its team.
func Exceeded(team bergamotgrade.Team, retryAt time.Time) error {
	return bergamotgrade.NewError(bergamotgrade.KindRateExceeded,
		"team "+team.TeamID+" is beyond its rate", "send fewer requests or try again after the time in Retry-After").
		WithNotRun().WithRetryAt(retryAt)
}
