// Package idempotency records requests with an Idempotency-Key in the platform's store, so
// that a repeated request finds the first one on whichever VM it arrives.
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

// State is the progress of the first request with an Idempotency-Key.
type State string

// The states of a record.
const (
	StateRunning State = "running"
	StateDone    State = "done"
	// StateUnknown marks a request that may have run and returned no response.
	StateUnknown State = "unknown"
)

// Record is the stored state of one request with an Idempotency-Key.
type Record struct {
	State     State     `json:"state"`
	RequestID string    `json:"request_id"`
	BodyHash  string    `json:"body_hash"`
	Deadline  time.Time `json:"deadline"`
	// Answer is the stored response. It is nil unless the request is done and the body had at
	// most maxStoredAnswerBytes bytes.
	Answer *bergamotgrade.ServiceAnswer `json:"answer,omitempty"`
}

// CallFunc dispatches a request.
type CallFunc func(context.Context, dispatch.ServiceRequest) (bergamotgrade.ServiceAnswer, error)

// Store keeps the records in the platform's store.
type Store struct {
	platform bergamotgrade.Platform
	clock    bergamotgrade.Clock

	mu             sync.Mutex
	grantedLeaseID string
}

// New returns a store that keeps its records in the platform's store.
func New(platform bergamotgrade.Platform, clock bergamotgrade.Clock) *Store {
	return &Store{platform: platform, clock: clock}
}

// Do dispatches the request with call unless its key has a record. With a record of the
// same request, it returns the stored outcome, or reruns an idempotent request that has
// none. A key that was used for another request is refused with KindKeyReused.
func (s *Store) Do(ctx context.Context, teamID, key string, request dispatch.ServiceRequest, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	entryKey := keyPrefix + digest(teamID+"\x00"+key)
	claim := Record{State: StateRunning, RequestID: request.RequestID, BodyHash: digest(request.Method + request.Path + "\x00" + string(request.Body)), Deadline: request.Deadline}
	revision, err := s.claim(ctx, entryKey, claim)
	if bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return s.answerFromRecord(ctx, entryKey, claim, request, call)
	}
	if err != nil {
		return s.callUnrecorded(ctx, err, request, call)
	}
	return s.callAndRecord(ctx, entryKey, revision, claim, request, call)
}

// callUnrecorded handles a request that could not be recorded. It dispatches an idempotent
// request without a record and refuses any other, since a repeated request would find no
// record and run again.
func (s *Store) callUnrecorded(ctx context.Context, err error, request dispatch.ServiceRequest, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	if request.Idempotent {
		return call(ctx, request)
	}
	return bergamotgrade.ServiceAnswer{}, bergamotgrade.NewError(bergamotgrade.KindPlatformDown,
		"the Idempotency-Key cannot be recorded now", "send the request again later with the same key").
		WithNotRun().WithRetryAt(s.clock.Now().Add(retryAfter)).WithCause(err)
}

// claim creates the record. If the write fails, it reads the record back to find out
// whether this request created it, because the response may have been lost.
func (s *Store) claim(ctx context.Context, entryKey string, record Record) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	leaseID, err := s.currentLease(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := s.platform.CompareAndSwap(ctx, entryKey, value, 0, leaseID)
	if err == nil {
		return revision, nil
	}
	if bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) {
		if !bergamotgrade.Sleep(ctx, readBackDelay) {
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

// answerFromRecord answers a repeated request from the record of the first request.
func (s *Store) answerFromRecord(ctx context.Context, entryKey string, claim Record, request dispatch.ServiceRequest, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	var noAnswer bergamotgrade.ServiceAnswer
	record, revision, err := s.read(ctx, entryKey)
	if err != nil {
		return s.callUnrecorded(ctx, err, request, call)
	}
	if record.BodyHash != claim.BodyHash {
		return noAnswer, bergamotgrade.NewError(bergamotgrade.KindKeyReused, "the Idempotency-Key belongs to another request", "use a new key for a new request").WithNotRun()
	}
	switch {
	case record.State == StateDone && record.Answer != nil:
		return *record.Answer, nil
	case record.State == StateRunning && s.clock.Now().Before(record.Deadline):
		return noAnswer, bergamotgrade.NewError(bergamotgrade.KindRequestInProgress, "the first request with this Idempotency-Key still runs", "send it again after the time in Retry-After").WithRetryAt(s.clock.Now().Add(retryAfter))
	case request.Idempotent:
		return s.rerun(ctx, entryKey, revision, claim, request, call)
	case record.State == StateDone:
		return noAnswer, bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the first request has run but its answer was too large to keep", "read its effect from the service")
	}
	return noAnswer, bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the first request with this Idempotency-Key may have run", "check its effect before sending it with a new key")
}

// rerun claims the record of an idempotent request that has no usable outcome and
// dispatches the request again.
func (s *Store) rerun(ctx context.Context, entryKey string, revision int64, claim Record, request dispatch.ServiceRequest, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	revision, err := s.write(ctx, entryKey, claim, revision)
	if err != nil {
		return s.callUnrecorded(ctx, err, request, call)
	}
	return s.callAndRecord(ctx, entryKey, revision, claim, request, call)
}

// callAndRecord dispatches the request and records its outcome.
func (s *Store) callAndRecord(ctx context.Context, entryKey string, revision int64, claim Record, request dispatch.ServiceRequest, call CallFunc) (bergamotgrade.ServiceAnswer, error) {
	answer, err := call(ctx, request)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeWriteTimeout)
	defer cancel()
	if err != nil {
		s.recordFailure(recordCtx, entryKey, revision, claim, err)
		return answer, err
	}
	claim.State = StateDone
	if len(answer.Body) <= maxStoredAnswerBytes {
		claim.Answer = &answer
	}
	// If the outcome cannot be written, the record stays in StateRunning. After the deadline
	// a repeated request that is not idempotent is told that the first may have run.
	_, _ = s.write(recordCtx, entryKey, claim, revision)
	return answer, nil
}

// recordFailure deletes the record of a request that has not run, and marks any other as
// StateUnknown.
func (s *Store) recordFailure(ctx context.Context, entryKey string, revision int64, claim Record, err error) {
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
	leaseID, err := s.currentLease(ctx)
	if err != nil {
		return 0, err
	}
	return s.platform.CompareAndSwap(ctx, entryKey, value, revision, leaseID)
}

// currentLease returns the id of the lease of the current time span and grants the lease
// on first use. The lease's term, recordRetention plus leaseSpan, keeps each record of
// the span for at least recordRetention.
func (s *Store) currentLease(ctx context.Context) (string, error) {
	leaseID := keyPrefix + s.clock.Now().UTC().Truncate(leaseSpan).Format("2006-01-02T15")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grantedLeaseID == leaseID {
		return leaseID, nil
	}
	if err := s.platform.GrantLease(ctx, leaseID, recordRetention+leaseSpan); err != nil {
		return "", err
	}
	s.grantedLeaseID = leaseID
	return leaseID, nil
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
