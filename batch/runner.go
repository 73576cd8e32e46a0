package batch

import (
	"context"
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// Membership provides the member table and the validity of this VM's lease;
// member.Membership implements it.
type Membership interface {
	Self() bergamotgrade.VMRecord
	Table() member.Table
	LeaseValid() bool
}

// Executor runs single items.
type Executor interface {
	// AtMostOnce reports whether the item must not be executed twice.
	AtMostOnce(item Item) bool
	// Execute runs an item to its result and retries failed attempts. It returns an error
	// only if the context ended before there was a result.
	Execute(ctx context.Context, job Job, item Item) (Result, error)
}

// Runner runs the jobs of the partitions that are assigned to this VM.
type Runner struct {
	clock      bergamotgrade.Clock
	repository *Repository
	membership Membership
	executor   Executor
	ring       *timeline.Ring
	metrics    *expvar.Map
	itemSlots  *semaphore.Weighted
	wake       chan struct{}

	mu       sync.Mutex
	running  map[string]context.CancelCauseFunc
	stopping bool
	jobs     sync.WaitGroup
}

// NewRunner returns a runner; Run starts it.
func NewRunner(clock bergamotgrade.Clock, repository *Repository, membership Membership, executor Executor, ring *timeline.Ring, metrics *expvar.Map) *Runner {
	return &Runner{
		clock: clock, repository: repository, membership: membership, executor: executor, ring: ring, metrics: metrics,
		itemSlots: semaphore.NewWeighted(maxConcurrentItems), wake: make(chan struct{}, 1), running: map[string]context.CancelCauseFunc{},
	}
}

// errJobCancelled is the cancellation cause for the items of a cancelled job.
var errJobCancelled = bergamotgrade.NewError(bergamotgrade.KindConflict, "the batch was cancelled", "submit the item again if it is still wanted")

// Run starts open jobs until the context ends, then waits for the running jobs.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(openJobsInterval)
	defer ticker.Stop()
	defer r.jobs.Wait()
	for {
		r.startOpenJobs(ctx)
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.C:
		}
	}
}

// JobChanged handles the notification of an accepted or cancelled job.
func (r *Runner) JobChanged(jobID string, cancelled bool) {
	if cancelled {
		r.mu.Lock()
		if cancel, ok := r.running[jobID]; ok {
			cancel(errJobCancelled)
		}
		r.mu.Unlock()
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// errStopping is the cancellation cause for items that have not finished within the time
// that a planned stop allows.
var errStopping = bergamotgrade.NewError(bergamotgrade.KindNotReady, "the VM stops", "another VM takes the range over")

// Stop ends the work after the next commit of each range and releases the ranges. Items
// that are unfinished when the context ends are cancelled and left to the next owner.
func (r *Runner) Stop(ctx context.Context) {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, cancel := range r.running {
			cancel(errStopping)
		}
	})
	defer stop()
	r.jobs.Wait()
}

// Jobs returns the number of jobs that run on this VM.
func (r *Runner) Jobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

func (r *Runner) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// startOpenJobs starts the open jobs of this VM's partitions that are not running yet.
func (r *Runner) startOpenJobs(ctx context.Context) {
	for partition := range partitionCount {
		if !r.ownsPartition(partition) || r.isStopping() || !r.membership.LeaseValid() {
			continue
		}
		ids, err := r.repository.OpenJobs(ctx, partition)
		if err != nil {
			return
		}
		for _, id := range ids {
			r.start(ctx, id)
		}
	}
}

// ownsPartition reports whether rendezvous hashing over the members that are not leaving
// assigns the partition to this VM.
func (r *Runner) ownsPartition(partition int) bool {
	best, bestScore := "", uint64(0)
	for _, m := range r.membership.Table().Members {
		if m.Leaving {
			continue
		}
		if score := xxhash.Sum64String(m.VMID + "/batch/" + strconv.Itoa(partition)); score >= bestScore {
			best, bestScore = m.Incarnation, score
		}
	}
	return best == r.membership.Self().Incarnation
}

func (r *Runner) start(ctx context.Context, jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.running[jobID]; ok || r.stopping {
		return
	}
	jobCtx, cancel := context.WithCancelCause(ctx)
	r.running[jobID] = cancel
	r.jobs.Go(func() {
		defer cancel(nil)
		r.runJob(jobCtx, jobID)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.running, jobID)
	})
}

// runJob executes the ranges of a job, up to maxConcurrentRanges at a time, and ends the
// job once all ranges are done.
func (r *Runner) runJob(ctx context.Context, jobID string) {
	job, _, err := r.repository.Job(ctx, "", jobID)
	if err != nil {
		return
	}
	if job.Status != JobInProgress {
		r.repository.RemoveOpenJob(ctx, jobID)
		return
	}
	file, err := r.repository.File(ctx, job.TeamID, job.FileID)
	if err != nil {
		return
	}
	var ranges errgroup.Group
	ranges.SetLimit(maxConcurrentRanges)
	for index := range job.Ranges() {
		ranges.Go(func() error {
			worker := &rangeWorker{runner: r, job: job, file: file, index: index}
			worker.run(ctx)
			return nil
		})
	}
	_ = ranges.Wait()
	r.endIfDone(context.WithoutCancel(ctx), job)
}

// endIfDone marks a job as completed if all of its ranges are done, and removes it from the
// list of open jobs.
func (r *Runner) endIfDone(ctx context.Context, job Job) {
	ranges, err := r.repository.Ranges(ctx, job)
	if err != nil {
		return
	}
	for _, progress := range ranges {
		if !progress.Done() {
			return
		}
	}
	ended, err := r.repository.endJob(ctx, "", job.JobID, JobCompleted)
	if err != nil || ended.Status == JobInProgress {
		return
	}
	r.repository.RemoveOpenJob(ctx, job.JobID)
	r.metrics.Add("jobs_ended", 1)
	r.ring.Record(timeline.KindStateChange, job.JobID, job.TeamID, string(ended.Status))
}
