// Package idempotency keeps the records by which a resent request finds the
// first one, whichever VM it reaches.
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
)

// State is how far the first request has got.
type State string

// The states of a record.
const (
	StateRunning State = "running"
	StateDone    State = "done"
	// StateUnknown marks a request that may have run and gave no answer.
	StateUnknown State = "unknown"
)

// Record is the platform's memory of one request with an Idempotency-Key.
type Record struct {
	State     State     `json:"state"`
	RequestID string    `json:"request_id"`
	BodyHash  string    `json:"body_hash"`
	Deadline  time.Time `json:"deadline"`
	// Answer is nil unless the request is done and its answer was small enough.
	Answer *bergamotgrade.ServiceAnswer `json:"answer,omitempty"`
}

// CallFunc dispatches a request.
type CallFunc func(context.Context, dispatch.ServiceAsk) (bergamotgrade.ServiceAnswer, error)

// Store claims and settles records in the platform's service.
type Store struct {
	platform bergamotgrade.Platform
	clock    bergamotgrade.Clock

	mu      sync.Mutex
	granted string
}

// New returns a store on the platform's service.
func New(platform bergamotgrade.Platform, clock bergamotgrade.Clock) *Store {
	return &Store{platform: platform, clock: clock}
}

// Do dispatches the request unless its key has a record. A record of the same
// request is answered from; one of another request is refused.
func (s *Store) Do(ctx context.Context, teamID, key string, ask dispatch.ServiceAsk, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	entryKey := keyPrefix + digest(teamID+"\x00"+key)
	claim := Record{State: StateRunning, RequestID: ask.RequestID, BodyHash: digest(ask.Method + ask.Path + "\x00" + string(ask.Body)), Deadline: ask.Deadline}
	revision, err := s.claim(ctx, entryKey, claim)
	if bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return s.answerFrom(ctx, entryKey, claim, ask, call)
	}
	if err != nil {
		return s.withoutRecord(ctx, err, ask, call)
	}
	return s.run(ctx, entryKey, revision, claim, ask, call)
}

// withoutRecord serves a request that could not be recorded: one that may not
// be repeated is refused, since a resend could not find it.
func (s *Store) withoutRecord(ctx context.Context, err error, ask dispatch.ServiceAsk, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	if ask.Idempotent {
		return call(ctx, ask)
	}
	return bergamotgrade.ServiceAnswer{}, bergamotgrade.NewError(bergamotgrade.KindPlatformDown,
		"the Idempotency-Key cannot be recorded now", "send the request again later with the same key").
		WithNotRun().WithRetryAt(s.clock.Now().Add(inProgressPause)).WithCause(err)
}

// claim creates the record. After a lost answer it reads back whose it is.
func (s *Store) claim(ctx context.Context, entryKey string, record Record) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	leaseID, err := s.lease(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := s.platform.CompareAndSwap(ctx, entryKey, value, 0, leaseID)
	if err == nil {
		return revision, nil
	}
	if bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) {
		if !bergamotgrade.Sleep(ctx, readBackPause) {
			return 0, err
		}
	}
	found, entryRevision, readErr := s.read(ctx, entryKey)
	if readErr != nil {
		return 0, readErr
	}
	if found.RequestID == record.RequestID {
		return entryRevision, nil
	}
	return 0, err
}

func (s *Store) read(ctx context.Context, entryKey string) (Record, int64, error) {
	entry, err := s.platform.Get(ctx, entryKey)
	if err != nil || entry.Revision == 0 {
		return Record{}, 0, err
	}
	var record Record
	err = json.Unmarshal(entry.Value, &record)
	return record, entry.Revision, err
}

// answerFrom serves a resend from the record of the first request.
func (s *Store) answerFrom(ctx context.Context, entryKey string, claim Record, ask dispatch.ServiceAsk, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	var none bergamotgrade.ServiceAnswer
	record, revision, err := s.read(ctx, entryKey)
	if err != nil {
		return s.withoutRecord(ctx, err, ask, call)
	}
	if record.BodyHash != claim.BodyHash {
		return none, bergamotgrade.NewError(bergamotgrade.KindKeyReused, "the Idempotency-Key belongs to another request", "use a new key for a new request").WithNotRun()
	}
	switch {
	case record.State == StateDone && record.Answer != nil:
		return *record.Answer, nil
	case record.State == StateRunning && s.clock.Now().Before(record.Deadline):
		return none, bergamotgrade.NewError(bergamotgrade.KindRequestInProgress, "the first request with this Idempotency-Key still runs", "send it again after the time in Retry-After").WithRetryAt(s.clock.Now().Add(inProgressPause))
	case ask.Idempotent:
		return s.takeOver(ctx, entryKey, revision, claim, ask, call)
	case record.State == StateDone:
		return none, bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the first request has run but its answer was too large to keep", "read its effect from the service")
	}
	return none, bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the first request with this Idempotency-Key may have run", "check its effect before sending it with a new key")
}

// takeOver runs a repeatable request whose first VM is gone.
func (s *Store) takeOver(ctx context.Context, entryKey string, revision int64, claim Record, ask dispatch.ServiceAsk, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	revision, err := s.write(ctx, entryKey, claim, revision)
	if err != nil {
		return s.withoutRecord(ctx, err, ask, call)
	}
	return s.run(ctx, entryKey, revision, claim, ask, call)
}

// run dispatches the request and settles its record.
func (s *Store) run(ctx context.Context, entryKey string, revision int64, claim Record, ask dispatch.ServiceAsk, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	answer, err := call(ctx, ask)
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err != nil {
		s.settleFailure(settleCtx, entryKey, revision, claim, err)
		return answer, err
	}
	claim.State = StateDone
	if len(answer.Body) <= maxAnswerBytes {
		claim.Answer = &answer
	}
	// An outcome that cannot be written leaves the record running; a resend
	// then gets the truth that the request may have run.
	_, _ = s.write(settleCtx, entryKey, claim, revision)
	return answer, nil
}

func (s *Store) settleFailure(ctx context.Context, entryKey string, revision int64, claim Record, err error) {
	if bergamotgrade.AsError(err).NotRun() {
		_ = s.platform.Delete(ctx, entryKey, revision)
		return
	}
	claim.State = StateUnknown
	_, _ = s.write(ctx, entryKey, claim, revision)
}

func (s *Store) write(ctx context.Context, entryKey string, record Record, revision int64) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	leaseID, err := s.lease(ctx)
	if err != nil {
		return 0, err
	}
	return s.platform.CompareAndSwap(ctx, entryKey, value, revision, leaseID)
}

// lease returns the lease that ends the records of the current time span.
func (s *Store) lease(ctx context.Context) (string, error) {
	leaseID := keyPrefix + s.clock.Now().UTC().Truncate(bucket).Format("2006-01-02T15")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.granted == leaseID {
		return leaseID, nil
	}
	if err := s.platform.GrantLease(ctx, leaseID, recordLife+bucket); err != nil {
		return "", err
	}
	s.granted = leaseID
	return leaseID, nil
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
