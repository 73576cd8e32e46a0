package jobs

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// Service implements the calls on batch jobs: submit, read results and items, cancel.
type Service struct {
	clock      bergamotgrade.Clock
	vmID       string
	repository *Repository
	headCache  *HeadCache
	fleet      ServiceFleet
	// refresh brings headCache up to date and reports whether it had all changes up to
	// maxAge ago.
	refresh func(ctx context.Context, maxAge time.Duration) bool
	log     *slog.Logger
}

// ServiceFleet is the service's view of the VMs and backend servers.
type ServiceFleet interface {
	// RunnerFor returns the process that should own a new job; an empty vmID leaves the job without
	// an owner.
	RunnerFor(jobID string, homes bergamotgrade.Homes, acceptedBy string) (vmID string, incarnation int64)
	// IsRegistered reports whether any backend server of the set is registered.
	IsRegistered(servers bergamotgrade.ServerSet) bool
}

// NewService returns a service of the VM. refresh brings headCache up to date without a store call and
// reports whether it had all changes up to maxAge ago.
func NewService(clock bergamotgrade.Clock, vmID string, repository *Repository, headCache *HeadCache, fleet ServiceFleet, refresh func(ctx context.Context, maxAge time.Duration) bool, log *slog.Logger) *Service {
	return &Service{clock: clock, vmID: vmID, repository: repository, headCache: headCache, fleet: fleet, refresh: refresh, log: log}
}

// Submission is a job that a caller submits.
type Submission struct {
	JobID string
	Team  string
	Host  string
	Path  string
	Route *bergamotgrade.FleetRoute
	Items []Item
	// Homes are the regions of the servers that may run the items.
	Homes bergamotgrade.Homes
	// SameRoute reports whether the host and path of another job select this job's route.
	SameRoute func(host, path string) bool
	// ConfigVersion is the version of the configuration that Route belongs to.
	ConfigVersion int64
	Deadline      time.Time
}

// Submit stores the job and is idempotent: it succeeds again for a job id that the
// team has submitted before. After an error without the not-run mark the job may or
// may not have been accepted.
func (s *Service) Submit(ctx context.Context, submission Submission) error {
	id := submission.JobID
	if _, _, ok := s.repository.Cached(submission.Team, id); ok {
		return nil
	}
	tokens := int64(0)
	for _, item := range submission.Items {
		tokens += item.Tokens
	}
	if limit := submission.Route.MaxWaitingTokens; limit > 0 {
		waiting := s.headCache.WaitingTokens(submission.Team, func(h Head) bool { return submission.SameRoute(h.Host, h.Path) })
		if waiting+tokens > limit {
			// Another VM may just have accepted the job, and the cache may not show it yet.
			if _, _, ok, err := s.repository.FindStored(ctx, submission.Team, id); err != nil {
				return unknownOutcome(err)
			} else if ok {
				return nil
			}
			s.log.Info("job refused: waiting tokens of the team would exceed the limit", "job", id, "team", submission.Team, "tokens", tokens, "waiting_tokens", waiting, "limit", limit)
			return bergamotgrade.NewError(bergamotgrade.KindRateExceeded, "the team's waiting batch items are at their limit", "try again once items are done").
				WithNotRun().WithRetryAt(s.clock.Now().Add(refusalRetryAfter))
		}
	}
	if !s.hasServerInHomes(submission) {
		// The job may have been accepted while there were servers.
		if _, _, ok, err := s.repository.FindStored(ctx, submission.Team, id); err != nil {
			return unknownOutcome(err)
		} else if ok {
			return nil
		}
		return bergamotgrade.NewError(bergamotgrade.KindNoBackendServer, "no backend server in the regions of the batch job is registered", "try again after the time in Retry-After").
			WithCause(errors.Newf("homes %s", submission.Homes)).WithNotRun().WithRetryAt(s.clock.Now().Add(refusalRetryAfter))
	}
	return s.create(ctx, submission, tokens)
}

// hasServerInHomes reports whether any server that the items may run at is registered. A job that may
// run in any region is accepted without.
func (s *Service) hasServerInHomes(submission Submission) bool {
	return submission.Homes.IsAny() || slices.ContainsFunc(submission.Route.Services(), func(service string) bool {
		return s.fleet.IsRegistered(bergamotgrade.ServerSet{Service: service, Homes: submission.Homes})
	})
}

// create stores the job and retries for up to submitTimeout while the store fails.
func (s *Service) create(ctx context.Context, submission Submission, tokens int64) error {
	now := s.clock.Now()
	head := Head{
		Team: submission.Team, Host: submission.Host, Path: submission.Path,
		SubmittedAt: now.UnixMilli(), DueAt: now.Add(submission.Route.RunObjective).UnixMilli(),
		KeepUntil: now.Add(submission.Route.Retention).UnixMilli(),
		Items:     len(submission.Items), WaitingTokens: tokens,
		Homes: submission.Homes, AcceptedBy: s.vmID, ConfigVersion: submission.ConfigVersion,
	}
	head.Owner, head.OwnerIncarnation = s.fleet.RunnerFor(submission.JobID, head.Homes, head.AcceptedBy)
	giveUpAt := now.Add(submitTimeout)
	if submission.Deadline.Before(giveUpAt) {
		giveUpAt = submission.Deadline
	}
	nothingStored := true
	for {
		recordID, _, created, err := s.repository.Create(ctx, submission.JobID, head, submission.Items)
		if err == nil {
			if created {
				s.log.Info("job accepted", "job", recordID, "job_id", submission.JobID, "team", submission.Team, "items", len(submission.Items), "tokens", tokens, "owner", head.Owner)
			}
			return nil
		}
		failure := bergamotgrade.AsError(err)
		if failure.Kind() == bergamotgrade.KindConflict || failure.Kind() == bergamotgrade.KindRequestTooLarge {
			return failure
		}
		if !failure.NotRun() {
			nothingStored = false
			if _, _, ok, err := s.repository.FindStored(ctx, submission.Team, submission.JobID); err == nil && ok {
				return nil
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

// find returns the record id and the head of the team's job, or an error if the team has no such
// job.
func (s *Service) find(ctx context.Context, team, jobID string) (recordID string, head Head, err error) {
	recordID, head, ok, err := s.repository.Find(ctx, team, jobID)
	if err != nil {
		return "", Head{}, storeUnavailable(err)
	}
	if !ok {
		return "", Head{}, unknownJob()
	}
	return recordID, head, nil
}

// Results returns the job's number of items and its results from position from on.
// If there is none yet it waits for one until waitUntil.
func (s *Service) Results(ctx context.Context, team, jobID string, from int, waitUntil time.Time) (total int, results []Result, err error) {
	recordID, head, err := s.find(ctx, team, jobID)
	if err != nil {
		return 0, nil, err
	}
	head = s.waitForResult(ctx, recordID, head, from, waitUntil)
	if from == head.Listed && head.Open() && s.refresh(ctx, maxHeadAge) {
		if refreshed, ok, _ := s.headCache.Head(recordID); ok {
			head = refreshed
		}
	} else if from >= head.Listed && head.Listed < head.Items {
		// The cached head may be older than results that the caller has read at
		// another VM.
		if head, _, err = s.repository.Reload(ctx, recordID); err != nil {
			return 0, nil, storeUnavailable(err)
		}
		if head.Revision == 0 {
			return 0, nil, unknownJob()
		}
	}
	if from >= head.Listed {
		return head.Items, nil, nil
	}
	results, err = s.repository.Results(ctx, recordID, head, from)
	if err != nil || len(results) == 0 {
		return 0, nil, storeUnavailable(err)
	}
	return head.Items, results, nil
}

// waitForResult waits until a result is stored at position from, the job needs no
// more results, or the time is up. It returns the latest cached head.
func (s *Service) waitForResult(ctx context.Context, recordID string, head Head, from int, until time.Time) Head {
	wait := until.Sub(s.clock.Now())
	if wait <= 0 || from < head.Listed || !head.Open() {
		return head
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		next, ok, changed := s.headCache.Head(recordID)
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
	recordID, head, err := s.find(ctx, team, jobID)
	if err != nil {
		return nil, err
	}
	if head.Ended {
		return nil, unknownJob()
	}
	items, err := s.repository.Items(ctx, recordID, head)
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
	recordID, head, err := s.find(ctx, team, jobID)
	if err != nil {
		return err
	}
	for retries := 0; ; retries++ {
		if head.Ended {
			return nil
		}
		next := head
		next.Ended = true
		current, applied, err := s.repository.ReplaceHead(ctx, recordID, next)
		switch {
		case err == nil && applied:
			s.log.Info("job cancelled by its caller", "job", recordID, "listed", head.Listed, "items", head.Items)
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
