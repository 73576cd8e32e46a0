package jobs

import (
	"context"
	"log/slog"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Service implements the calls on batch jobs: submit, read results and items, cancel.
type Service struct {
	clock      bergamotgrade.Clock
	repository *Repository
	headCache  *HeadCache
	// assign returns the process that should run a new job; an empty vmID leaves the
	// job without an owner.
	assign func(jobID string) (vmID string, incarnation int64)
	// refresh brings headCache up to date and reports whether it had all changes up to
	// maxAge ago.
	refresh func(ctx context.Context, maxAge time.Duration) bool
	log     *slog.Logger
}

// NewService returns a service; assign chooses the owner of a new job. refresh brings
// headCache up to date without a store call and reports whether it had all changes up to
// maxAge ago.
func NewService(clock bergamotgrade.Clock, repository *Repository, headCache *HeadCache, assign func(string) (string, int64), refresh func(ctx context.Context, maxAge time.Duration) bool, log *slog.Logger) *Service {
	return &Service{clock: clock, repository: repository, headCache: headCache, assign: assign, refresh: refresh, log: log}
}

// Submission is a job that a caller submits.
type Submission struct {
	JobID string
	Team  string
	Host  string
	Path  string
	Route *bergamotgrade.FleetRoute
	Items []Item
	// SameRoute reports whether the host and path of another job select this job's route.
	SameRoute func(host, path string) bool
	Deadline  time.Time
}

// Submit stores the job and is idempotent: it succeeds again for a job id that the
// team has submitted before. After an error without the not-run mark the job may or
// may not have been accepted.
func (s *Service) Submit(ctx context.Context, submission Submission) error {
	id := submission.JobID
	if head, ok, _ := s.headCache.Head(id); ok {
		return s.resolveExisting(submission, head)
	}
	tokens := int64(0)
	for _, item := range submission.Items {
		tokens += item.Tokens
	}
	if limit := submission.Route.MaxWaitingTokens; limit > 0 {
		waiting := s.headCache.WaitingTokens(submission.Team, func(h Head) bool { return submission.SameRoute(h.Host, h.Path) })
		if waiting+tokens > limit {
			// Another VM may just have accepted the job, and the cache may not show it yet.
			if head, ok, err := s.repository.Reload(ctx, id); err == nil && ok {
				return s.resolveExisting(submission, head)
			} else if err != nil {
				return unknownOutcome(err)
			}
			s.log.Info("job refused: waiting tokens of the team would exceed the limit", "job", id, "team", submission.Team, "tokens", tokens, "waiting_tokens", waiting, "limit", limit)
			return bergamotgrade.NewError(bergamotgrade.KindRateExceeded, "the team's waiting batch items are at their limit", "try again once items are done").
				WithNotRun().WithRetryAt(s.clock.Now().Add(refusalRetryAfter))
		}
	}
	return s.create(ctx, submission, tokens)
}

// resolveExisting returns the outcome of submitting a job whose id is already in
// use: success for the same team, otherwise a conflict.
func (s *Service) resolveExisting(submission Submission, head Head) error {
	if head.Team != submission.Team {
		return bergamotgrade.NewError(bergamotgrade.KindConflict, "another team's batch job has this id", "choose another id").WithNotRun()
	}
	return nil
}

// create stores the job and retries for up to submitTimeout while the store fails.
func (s *Service) create(ctx context.Context, submission Submission, tokens int64) error {
	now := s.clock.Now()
	head := Head{
		Team: submission.Team, Host: submission.Host, Path: submission.Path,
		SubmittedAt: now.UnixMilli(), DueAt: now.Add(submission.Route.RunObjective).UnixMilli(),
		KeepUntil: now.Add(submission.Route.Retention).UnixMilli(),
		Items:     len(submission.Items), WaitingTokens: tokens,
	}
	head.Owner, head.OwnerIncarnation = s.assign(submission.JobID)
	giveUpAt := now.Add(submitTimeout)
	if submission.Deadline.Before(giveUpAt) {
		giveUpAt = submission.Deadline
	}
	nothingStored := true
	for {
		stored, created, err := s.repository.Create(ctx, submission.JobID, head, submission.Items)
		if err == nil {
			if created {
				s.log.Info("job accepted", "job", submission.JobID, "team", submission.Team, "items", len(submission.Items), "tokens", tokens, "owner", head.Owner)
				return nil
			}
			return s.resolveExisting(submission, stored)
		}
		failure := bergamotgrade.AsError(err)
		if !failure.NotRun() {
			nothingStored = false
			if found, ok, err := s.repository.Reload(ctx, submission.JobID); err == nil && ok {
				return s.resolveExisting(submission, found)
			}
		}
		if s.clock.Now().Add(storeRetryDelay).After(giveUpAt) || !bergamotgrade.Sleep(ctx, storeRetryDelay) {
			s.log.Warn("failed to store new job", "job", submission.JobID, "not_stored", nothingStored, "cause", err.Error())
			if nothingStored {
				return failure.WithRetryAt(s.clock.Now().Add(refusalRetryAfter))
			}
			return unknownOutcome(err)
		}
	}
}

// unknownOutcome returns the error of a write that may have taken effect.
func unknownOutcome(cause error) error {
	return bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the platform's store did not answer", "send the same batch job again").WithCause(cause)
}

// storeUnavailable returns the error of a read that failed because the store does
// not answer.
func storeUnavailable(cause error) error {
	return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the platform's store does not answer", "try again").WithCause(cause).WithNotRun()
}

func unknownJob() error {
	return bergamotgrade.NewError(bergamotgrade.KindRouteUnknown, "the team has no such batch job", "check the id")
}

// find returns the head of the team's job, or an error if the team has no such job.
func (s *Service) find(ctx context.Context, team, jobID string) (Head, error) {
	head, ok, err := s.repository.Find(ctx, jobID)
	if err != nil {
		return Head{}, storeUnavailable(err)
	}
	if !ok || head.Team != team {
		return Head{}, unknownJob()
	}
	return head, nil
}

// Results returns the job's number of items and its results from position from on.
// If there is none yet it waits for one until waitUntil.
func (s *Service) Results(ctx context.Context, team, jobID string, from int, waitUntil time.Time) (total int, results []Result, err error) {
	head, err := s.find(ctx, team, jobID)
	if err != nil {
		return 0, nil, err
	}
	head = s.waitForResult(ctx, jobID, head, from, waitUntil)
	if from == head.Listed && head.Open() && s.refresh(ctx, maxHeadAge) {
		if refreshed, ok, _ := s.headCache.Head(jobID); ok {
			head = refreshed
		}
	} else if from >= head.Listed && head.Listed < head.Items {
		// The cached head may be older than results that the caller has read at
		// another VM.
		if head, _, err = s.repository.Reload(ctx, jobID); err != nil {
			return 0, nil, storeUnavailable(err)
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
		return 0, nil, storeUnavailable(err)
	}
	return head.Items, results, nil
}

// waitForResult waits until a result is stored at position from, the job needs no
// more results, or the time is up. It returns the latest cached head.
func (s *Service) waitForResult(ctx context.Context, jobID string, head Head, from int, until time.Time) Head {
	wait := until.Sub(s.clock.Now())
	if wait <= 0 || from < head.Listed || !head.Open() {
		return head
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		next, ok, changed := s.headCache.Head(jobID)
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

// ItemBody returns the body of an item of a job that was not cancelled.
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
		return nil, storeUnavailable(err)
	}
	for _, item := range items {
		if item.ItemID == itemID {
			return item.Body, nil
		}
	}
	return nil, bergamotgrade.NewError(bergamotgrade.KindRouteUnknown, "the batch job has no such item", "check the item's id")
}

// End cancels the job; results that are already stored stay readable. It succeeds
// again for a cancelled job.
func (s *Service) End(ctx context.Context, team, jobID string) error {
	head, err := s.find(ctx, team, jobID)
	if err != nil {
		return err
	}
	for retries := 0; ; retries++ {
		if head.Ended {
			return nil
		}
		next := head
		next.Ended = true
		current, applied, err := s.repository.ReplaceHead(ctx, jobID, next)
		switch {
		case err == nil && applied:
			s.log.Info("job cancelled by its caller", "job", jobID, "listed", head.Listed, "items", head.Items)
			return nil
		case err == nil && current.Revision == 0:
			return unknownJob()
		case err == nil:
			head = current
		case retries >= maxEndRetries || !bergamotgrade.Sleep(ctx, storeRetryDelay):
			return unknownOutcome(err)
		}
	}
}
