package jobs

import (
	"context"
	"log/slog"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/relay"
)

// Fleet is the runner's view of the configuration and of the processes of all VMs.
type Fleet interface {
	// Configuration returns the current configuration; nil before there is any.
	Configuration() *bergamotgrade.FleetConfiguration
	// RunnerFor returns the process that should own the job, which was accepted by the VM
	// acceptedBy; vmID is empty if there is none.
	RunnerFor(jobID string, homes bergamotgrade.Homes, acceptedBy string) (vmID string, incarnation int64)
	// IsOutside reports whether the VM is known to be in no region of the homes.
	IsOutside(vmID string, homes bergamotgrade.Homes) bool
	// RunnerAlive reports whether the process counts as running.
	RunnerAlive(vmID string, incarnation int64) bool
}

// Runner runs the items of the jobs that this process owns.
type Runner struct {
	clock           bergamotgrade.Clock
	self            string
	incarnation     int64
	fleet           Fleet
	scheduler       *relay.Scheduler
	exchanger       bergamotgrade.Exchanger
	guard           bergamotgrade.RequestGuard
	repository      *Repository
	headCache       *HeadCache
	observer        relay.Observer
	log             *slog.Logger
	resultRetention time.Duration
	// loads bounds the bodies of the owned jobs in memory, largeLoads those large ones that are being decoded.
	loads      *loadBudget
	largeLoads chan struct{}

	mu    sync.Mutex
	owned map[string]*ownedJob
	// claiming holds the ids of the jobs for which a claim is in progress.
	claiming map[string]bool
	running  sync.WaitGroup
	// wake is signalled when items may be able to start.
	wake chan struct{}
	// meanRunTime is the moving average of the run times of items that were not
	// resumed; zero until the first is done.
	meanRunTime time.Duration
	suspects    suspectLane
	// strays is used by reconcileJobs only.
	strays strays
	// stopping is set by Stop; no job or item is started afterwards.
	stopping bool
}

// Config holds the parameters and dependencies of a Runner.
type Config struct {
	Clock       bergamotgrade.Clock
	VMID        string
	Incarnation int64
	Fleet       Fleet
	Scheduler   *relay.Scheduler
	Exchanger   bergamotgrade.Exchanger
	Guard       bergamotgrade.RequestGuard
	Repository  *Repository
	HeadCache   *HeadCache
	Observer    relay.Observer
	Log         *slog.Logger
	// ResultRetention is how long after its submission a job's results stay readable.
	ResultRetention time.Duration
	// LoadBytes bounds the bytes of the bodies in memory; zero sets no bound.
	LoadBytes int64
}

// NewRunner returns a runner without jobs; Run claims and runs them.
func NewRunner(config Config) *Runner {
	return &Runner{
		clock: config.Clock, self: config.VMID, incarnation: config.Incarnation, fleet: config.Fleet,
		scheduler: config.Scheduler, exchanger: config.Exchanger, guard: config.Guard, repository: config.Repository, headCache: config.HeadCache,
		observer: config.Observer, log: config.Log, resultRetention: config.ResultRetention,
		loads: newLoadBudget(config.LoadBytes), largeLoads: make(chan struct{}, maxLargeLoads),
		owned: map[string]*ownedJob{}, claiming: map[string]bool{}, strays: strays{}, wake: make(chan struct{}, 1),
	}
}

// Wake makes the runner look for items that can start. It does not block.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run claims and runs jobs until the context ends, and returns once all their
// goroutines have ended.
func (r *Runner) Run(ctx context.Context) {
	defer r.running.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	nextCleanup := r.clock.Now().Add(cleanupInterval)
	for {
		heads, changed := r.headCache.All()
		r.reconcileJobs(ctx, heads)
		r.startItems(ctx)
		if !r.waitForChange(ctx, changed, ticker.C) {
			return
		}
		if now := r.clock.Now(); now.After(nextCleanup) {
			nextCleanup = now.Add(cleanupInterval)
			r.removeExpiredJobs(ctx, heads)
		}
	}
}

// waitForChange waits until a head changes or the tick fires, and starts items
// whenever slots may have become free. It returns false when the context has ended.
func (r *Runner) waitForChange(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-tick:
			return true
		case <-r.scheduler.BatchCapacity():
			r.startItems(ctx)
		case <-r.wake:
			r.startItems(ctx)
		}
	}
}

// reconcileJobs starts the jobs that this process owns, claims the jobs that it
// should own, and stops those that were cancelled or have another owner.
func (r *Runner) reconcileJobs(ctx context.Context, heads map[string]Head) {
	config := r.fleet.Configuration()
	r.strays.retain(heads)
	for id, head := range heads {
		owned := head.Owner == r.self && head.OwnerIncarnation == r.incarnation
		job := r.job(id)
		homes := head.HomesIn(config)
		isHome := !r.fleet.IsOutside(r.self, homes)
		switch {
		case job != nil:
			job.observeHead(head, owned)
		case !head.Open():
		case owned:
			// Another VM may have chosen this one by an older configuration; then one in the
			// homes takes the job over.
			if isHome || head.AcceptedBy == r.self {
				r.adopt(ctx, id, head)
			}
		case head.Owner == r.self && isHome:
			// An earlier process of this VM owns the job. It has ended, so its liveness
			// need not be checked.
			r.startClaim(ctx, id, head)
		case r.needsOwner(id, head, homes):
			if vmID, incarnation := r.fleet.RunnerFor(id, homes, head.AcceptedBy); vmID == r.self && incarnation == r.incarnation {
				r.startClaim(ctx, id, head)
			}
		}
	}
}

func (r *Runner) job(id string) *ownedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owned[id]
}

// startClaim starts a claim of the job unless one is in progress.
func (r *Runner) startClaim(ctx context.Context, id string, head Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claiming[id] || r.stopping {
		return
	}
	r.claiming[id] = true
	r.running.Go(func() { r.runClaim(ctx, id, head) })
}

// runClaim writes this process into the job's head as the owner, unless the stored head
// is newer than the given one.
func (r *Runner) runClaim(ctx context.Context, id string, head Head) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.claiming, id)
	}()
	next := head
	next.Owner, next.OwnerIncarnation = r.self, r.incarnation
	current, applied, err := r.repository.ReplaceHead(ctx, id, next)
	if err != nil {
		r.log.Warn("failed to claim job; retrying", "job", id, "former_owner", head.Owner, "cause", err.Error())
		return
	}
	r.log.Info("job claim answered by the store", "job", id, "former_owner", head.Owner, "revision", head.Revision, "applied", applied, "listed", current.Listed)
}

// adopt starts to run a job that this process owns.
func (r *Runner) adopt(ctx context.Context, id string, head Head) {
	r.mu.Lock()
	if r.stopping || r.owned[id] != nil {
		r.mu.Unlock()
		return
	}
	jobCtx, cancel := context.WithCancel(ctx)
	job := &ownedJob{runner: r, id: id, spec: head, head: head, cancel: cancel, resultReady: make(chan struct{}, 1)}
	r.owned[id] = job
	r.mu.Unlock()
	r.running.Go(func() { job.run(ctx, jobCtx) })
}

// removeOwned removes a job that has stopped from the owned jobs.
func (r *Runner) removeOwned(job *ownedJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owned[job.id] == job {
		delete(r.owned, job.id)
	}
}

// startItems starts waiting items in free slots, the most urgent first. It abandons
// items without a batch route and items past their route's retention time. Items of jobs
// that are newer than the configuration wait.
func (r *Runner) startItems(ctx context.Context) {
	config := r.fleet.Configuration()
	if config == nil {
		return
	}
	now := r.clock.Now()
	full := map[bergamotgrade.ServerSet]bool{}
	for _, item := range r.waitingItems(now) {
		if item.job.awaitsConfiguration(config) {
			continue
		}
		route := config.Route(item.job.spec.Host, item.job.spec.Path)
		if route == nil || route.Kind != bergamotgrade.RouteBatch {
			item.abandonIfIdle("no batch route is configured for the job any more")
			continue
		}
		if now.UnixMilli() > item.job.spec.KeepUntil && item.job.spec.KeepUntil > item.job.spec.SubmittedAt {
			item.abandonIfIdle("not finished within the retention time of its route")
			continue
		}
		servers := item.servers(route.Target(item.hash), item.job.spec.HomesIn(config))
		if full[servers] {
			continue
		}
		suspect := item.isSuspect()
		if suspect && !r.enterSuspectLane(now) {
			continue
		}
		slot := item.acquire(servers)
		if slot == nil {
			if suspect {
				r.leaveSuspectLane(resultUnknown)
			}
			full[servers] = true
			continue
		}
		r.running.Go(func() { item.run(slot, route.MaxAttempts, suspect) })
	}
}

func (r *Runner) enterSuspectLane(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects.enter(now)
}

func (r *Runner) leaveSuspectLane(result attemptResult) {
	if result != resultUnknown {
		r.observer.Count("suspect_items_run")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.leave(r.clock.Now(), result)
}

// waitingItems returns the items that may start now, the most urgent first.
func (r *Runner) waitingItems(now time.Time) []*ownedItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return nil
	}
	var waiting []*ownedItem
	for _, job := range r.owned {
		waiting = append(waiting, job.waiting(now)...)
	}
	for _, item := range waiting {
		item.urgency = urgencyOf(now, item.job.spec.Due(), r.meanRunTime, item.index)
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].urgency.before(waiting[j].urgency) })
	return waiting
}

// recordRunTime adds the run time of an item that was not resumed to the moving
// average.
func (r *Runner) recordRunTime(runTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meanRunTime == 0 {
		r.meanRunTime = runTime
	}
	r.meanRunTime += time.Duration(runTimeWeight * float64(runTime-r.meanRunTime))
}

// Stop stops all jobs. Finished results are still stored; items that are running are
// run again by the next owners of their jobs.
func (r *Runner) Stop() {
	r.mu.Lock()
	r.stopping = true
	jobs := make([]*ownedJob, 0, len(r.owned))
	for _, job := range r.owned {
		jobs = append(jobs, job)
	}
	r.mu.Unlock()
	for _, job := range jobs {
		job.cancel()
	}
}

// Count returns the number of owned jobs and of running items.
func (r *Runner) Count() (jobs, items int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.owned {
		items += job.runningItems()
	}
	return len(r.owned), items
}

// Loads returns the bytes of the bodies in memory and the number of jobs that wait until theirs fits.
func (r *Runner) Loads() (bytes int64, waiting int) { return r.loads.loadedBytes() }

// removeExpiredJobs removes jobs of this VM that are complete or cancelled and whose
// results no longer have to be readable.
func (r *Runner) removeExpiredJobs(ctx context.Context, heads map[string]Head) {
	now := r.clock.Now()
	for id, head := range heads {
		expired := now.After(time.UnixMilli(head.SubmittedAt).Add(r.resultRetention + retentionMargin))
		if !expired || head.Open() || head.Owner != r.self {
			continue
		}
		if err := r.repository.Remove(ctx, id, head); err != nil {
			r.log.Warn("failed to remove expired job; retrying", "job", id, "cause", err.Error())
			continue
		}
		r.log.Info("expired job removed", "job", id)
	}
}

// Header returns the item's headers as an http.Header.
func (i Item) Header() http.Header {
	header := make(http.Header, len(i.Headers))
	for name, value := range i.Headers {
		header.Set(strings.TrimSpace(name), value)
	}
	return header
}

func (i Item) traits() bergamotgrade.RequestTraits {
	return bergamotgrade.RequestTraits{PromptParts: i.PromptParts}
}
