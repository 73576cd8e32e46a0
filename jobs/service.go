package jobs

import (
	"context"
	"log/slog"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Service answers the callers of batch jobs.
type Service struct {
	clock      bergamotgrade.Clock
	repository *Repository
	ledger     *Ledger
	// assign names the process that is to run a new job; empty leaves it open.
	assign func(jobID string) (vmID string, incarnation int64)
	log    *slog.Logger
}

// NewService returns a service.
func NewService(clock bergamotgrade.Clock, repository *Repository, ledger *Ledger, assign func(string) (string, int64), log *slog.Logger) *Service {
	return &Service{clock: clock, repository: repository, ledger: ledger, assign: assign, log: log}
}

// Submission is a job that a caller hands in.
type Submission struct {
	JobID string
	Team  string
	Host  string
	Path  string
	Route *bergamotgrade.FleetRoute
	Items []Item
	// SameRoute reports whether another job came by the same route.
	SameRoute func(host, path string) bool
	Deadline  time.Time
}

// Submit accepts the job once; a job that was accepted before is accepted again.
// An error that does not say not run leaves open whether the job was accepted.
func (s *Service) Submit(ctx context.Context, submission Submission) error {
	id := submission.JobID
	if head, ok, _ := s.ledger.Head(id); ok {
		return s.accepted(submission, head)
	}
	tokens := int64(0)
	for _, item := range submission.Items {
		tokens += item.Tokens
	}
	if limit := submission.Route.MaxWaitingTokens; limit > 0 {
		waiting := s.ledger.WaitingTokens(submission.Team, func(h Head) bool { return submission.SameRoute(h.Host, h.Path) })
		if waiting+tokens > limit {
			// The job may have been accepted by another VM just now.
			if head, ok, err := s.repository.Reload(ctx, id); err == nil && ok {
				return s.accepted(submission, head)
			} else if err != nil {
				return unknownOutcome(err)
			}
			s.log.Info("job refused", "job", id, "team", submission.Team, "tokens", tokens, "waiting_tokens", waiting, "limit", limit)
			return bergamotgrade.NewError(bergamotgrade.KindRateExceeded, "the team's waiting batch items are at their limit", "try again once items are done").
				WithNotRun().WithRetryAt(s.clock.Now().Add(refusedRetry))
		}
	}
	return s.create(ctx, submission, tokens)
}

// accepted answers a job that is there already.
func (s *Service) accepted(submission Submission, head Head) error {
	if head.Team != submission.Team {
		return bergamotgrade.NewError(bergamotgrade.KindConflict, "another team's batch job has this id", "choose another id").WithNotRun()
	}
	return nil
}

func (s *Service) create(ctx context.Context, submission Submission, tokens int64) error {
	now := s.clock.Now()
	head := Head{
		Team: submission.Team, Host: submission.Host, Path: submission.Path,
		SubmittedAt: now.UnixMilli(), DueAt: now.Add(submission.Route.RunObjective).UnixMilli(),
		KeepUntil: now.Add(submission.Route.Retention).UnixMilli(),
		Items:     len(submission.Items), WaitingTokens: tokens,
	}
	head.Owner, head.OwnerIncarnation = s.assign(submission.JobID)
	patience := now.Add(submitPatience)
	if submission.Deadline.Before(patience) {
		patience = submission.Deadline
	}
	notStored := true
	for {
		stored, created, err := s.repository.Create(ctx, submission.JobID, head, submission.Items)
		if err == nil {
			if created {
				s.log.Info("job accepted", "job", submission.JobID, "team", submission.Team, "items", len(submission.Items), "tokens", tokens, "owner", head.Owner)
				return nil
			}
			return s.accepted(submission, stored)
		}
		failure := bergamotgrade.AsError(err)
		if !failure.NotRun() {
			notStored = false
			if found, ok, err := s.repository.Reload(ctx, submission.JobID); err == nil && ok {
				return s.accepted(submission, found)
			}
		}
		if s.clock.Now().Add(storeRetry).After(patience) || !bergamotgrade.Sleep(ctx, storeRetry) {
			s.log.Warn("job not accepted", "job", submission.JobID, "not_stored", notStored, "cause", err.Error())
			if notStored {
				return failure.WithRetryAt(s.clock.Now().Add(refusedRetry))
			}
			return unknownOutcome(err)
		}
	}
}

// unknownOutcome is the failure of a call that may have taken effect.
func unknownOutcome(cause error) error {
	return bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the platform's store did not answer", "send the same batch job again").WithCause(cause)
}

// storeAway is the failure of a read while the store does not answer.
func storeAway(cause error) error {
	return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the platform's store does not answer", "try again").WithCause(cause).WithNotRun()
}

func unknownJob() error {
	return bergamotgrade.NewError(bergamotgrade.KindRouteUnknown, "the team has no such batch job", "check the id")
}

// find returns the head of the team's job.
func (s *Service) find(ctx context.Context, team, jobID string) (Head, error) {
	head, ok, err := s.repository.Find(ctx, jobID)
	if err != nil {
		return Head{}, storeAway(err)
	}
	if !ok || head.Team != team {
		return Head{}, unknownJob()
	}
	return head, nil
}

// Results returns the job's number of items and its results from a position on.
// Where there is none yet it waits until the deadline.
func (s *Service) Results(ctx context.Context, team, jobID string, from int, waitUntil time.Time) (total int, results []Result, err error) {
	head, err := s.find(ctx, team, jobID)
	if err != nil {
		return 0, nil, err
	}
	head = s.await(ctx, jobID, head, from, waitUntil)
	if from >= head.Listed && head.Listed < head.Items {
		// The ledger may lag behind what a caller has read at another VM.
		if head, _, err = s.repository.Reload(ctx, jobID); err != nil {
			return 0, nil, storeAway(err)
		}
		if head.Revision == 0 {
			return 0, nil, unknownJob()
		}
	}
	if from >= head.Listed {
		return head.Items, nil, nil
	}
	results, err = s.repository.Results(ctx, jobID, head, from)
	if err != nil || len(results) == 0 {
		return 0, nil, storeAway(err)
	}
	return head.Items, results, nil
}

// await waits until a result is listed at the position or none will come.
func (s *Service) await(ctx context.Context, jobID string, head Head, from int, until time.Time) Head {
	wait := until.Sub(s.clock.Now())
	if wait <= 0 || from < head.Listed || !head.Open() {
		return head
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		next, ok, changed := s.ledger.Head(jobID)
		if ok {
			head = next
		}
		if from < head.Listed || !head.Open() {
			return head
		}
		select {
		case <-changed:
		case <-timer.C:
			return head
		case <-ctx.Done():
			return head
		}
	}
}

// ItemBody returns the body of an item of an open job.
func (s *Service) ItemBody(ctx context.Context, team, jobID, itemID string) ([]byte, error) {
	head, err := s.find(ctx, team, jobID)
	if err != nil {
		return nil, err
	}
	if head.Ended {
		return nil, unknownJob()
	}
	items, err := s.repository.Items(ctx, jobID, head)
	if err != nil {
		return nil, storeAway(err)
	}
	for _, item := range items {
		if item.ItemID == itemID {
			return item.Body, nil
		}
	}
	return nil, bergamotgrade.NewError(bergamotgrade.KindRouteUnknown, "the batch job has no such item", "check the item's id")
}

// End ends the job; results that are listed stay.
func (s *Service) End(ctx context.Context, team, jobID string) error {
	head, err := s.find(ctx, team, jobID)
	if err != nil {
		return err
	}
	for tries := 0; ; tries++ {
		if head.Ended {
			return nil
		}
		next := head
		next.Ended = true
		current, applied, err := s.repository.ReplaceHead(ctx, jobID, next)
		switch {
		case err == nil && applied:
			s.log.Info("job ended by its caller", "job", jobID, "listed", head.Listed, "items", head.Items)
			return nil
		case err == nil && current.Revision == 0:
			return unknownJob()
		case err == nil:
			head = current
		case tries >= maxEndTries || !bergamotgrade.Sleep(ctx, storeRetry):
			return unknownOutcome(err)
		}
	}
}
