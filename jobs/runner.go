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

// Fleet is what a runner knows of the other VMs and the configuration.
type Fleet interface {
	Configuration() *bergamotgrade.FleetConfiguration
	// RunnerFor returns the process that should own the job.
	RunnerFor(jobID string) (vmID string, incarnation int64)
	// RunnerLives reports whether the process still runs, as far as is known.
	RunnerLives(vmID string, incarnation int64) bool
}

// Runner runs the items of the jobs that this process owns.
type Runner struct {
	clock       bergamotgrade.Clock
	self        string
	incarnation int64
	fleet       Fleet
	desk        *relay.Desk
	exchanger   bergamotgrade.Exchanger
	repository  *Repository
	ledger      *Ledger
	observer    relay.Observer
	log         *slog.Logger
	statusLife  time.Duration

	mu    sync.Mutex
	owned map[string]*ownedJob
	// claiming holds the jobs of which a claim is under way.
	claiming map[string]bool
	running  sync.WaitGroup
	// wake has the runner look for items that can start.
	wake chan struct{}
	// itemRun is the mean run time of items; zero while none has been done.
	itemRun time.Duration
	// stopping is set once no item is to be started any more.
	stopping bool
}

// Config is what a Runner is made of.
type Config struct {
	Clock       bergamotgrade.Clock
	VMID        string
	Incarnation int64
	Fleet       Fleet
	Desk        *relay.Desk
	Exchanger   bergamotgrade.Exchanger
	Repository  *Repository
	Ledger      *Ledger
	Observer    relay.Observer
	Log         *slog.Logger
	// StatusLife is how long results stay readable after the submission.
	StatusLife time.Duration
}

// NewRunner returns a runner without jobs; Run takes and runs them.
func NewRunner(config Config) *Runner {
	return &Runner{
		clock: config.Clock, self: config.VMID, incarnation: config.Incarnation, fleet: config.Fleet,
		desk: config.Desk, exchanger: config.Exchanger, repository: config.Repository, ledger: config.Ledger,
		observer: config.Observer, log: config.Log, statusLife: config.StatusLife,
		owned: map[string]*ownedJob{}, claiming: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// Wake has the runner look at its items again.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run takes and runs jobs until the context ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.running.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	cleanAt := r.clock.Now().Add(cleanInterval)
	for {
		heads, changed := r.ledger.All()
		r.takeJobs(ctx, heads)
		r.startItems(ctx)
		if !r.await(ctx, changed, ticker.C) {
			return
		}
		if now := r.clock.Now(); now.After(cleanAt) {
			cleanAt = now.Add(cleanInterval)
			r.clean(ctx, heads)
		}
	}
}

// await starts items whenever there may be room for them, until jobs have changed
// or the next look at them is due. It returns false when the context has ended.
func (r *Runner) await(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-tick:
			return true
		case <-r.desk.Room():
			r.startItems(ctx)
		case <-r.wake:
			r.startItems(ctx)
		}
	}
}

// takeJobs starts the jobs that this process owns, claims those that should be
// its own, and drops those that are no longer.
func (r *Runner) takeJobs(ctx context.Context, heads map[string]Head) {
	for id, head := range heads {
		mine := head.Owner == r.self && head.OwnerIncarnation == r.incarnation
		job := r.job(id)
		switch {
		case job != nil:
			job.see(head, mine)
		case !head.Open():
		case mine:
			r.adopt(ctx, id, head)
		case head.Owner == r.self:
			// The process before this one has ended, so nobody else need be asked.
			r.startClaim(ctx, id, head)
		case !r.fleet.RunnerLives(head.Owner, head.OwnerIncarnation):
			if vmID, incarnation := r.fleet.RunnerFor(id); vmID == r.self && incarnation == r.incarnation {
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

// startClaim claims the job unless a claim is under way.
func (r *Runner) startClaim(ctx context.Context, id string, head Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claiming[id] || r.stopping {
		return
	}
	r.claiming[id] = true
	r.running.Go(func() { r.runClaim(ctx, id, head) })
}

// runClaim makes this process the job's owner.
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
		r.log.Warn("job not claimed", "job", id, "former_owner", head.Owner, "cause", err.Error())
		return
	}
	r.log.Info("job claimed", "job", id, "former_owner", head.Owner, "revision", head.Revision, "applied", applied, "listed", current.Listed)
}

// adopt begins to run a job that this process owns.
func (r *Runner) adopt(ctx context.Context, id string, head Head) {
	r.mu.Lock()
	if r.stopping || r.owned[id] != nil {
		r.mu.Unlock()
		return
	}
	jobCtx, cancel := context.WithCancel(ctx)
	job := &ownedJob{runner: r, id: id, spec: head, head: head, cancel: cancel, flush: make(chan struct{}, 1)}
	r.owned[id] = job
	r.mu.Unlock()
	r.running.Go(func() { job.run(ctx, jobCtx) })
}

// drop forgets a job that has ended or got another owner.
func (r *Runner) drop(job *ownedJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owned[job.id] == job {
		delete(r.owned, job.id)
	}
}

// startItems starts as many waiting items as there are places, the most urgent
// first.
func (r *Runner) startItems(ctx context.Context) {
	config := r.fleet.Configuration()
	if config == nil {
		return
	}
	now := r.clock.Now()
	full := map[string]bool{}
	for _, item := range r.waitingItems(now) {
		route := config.Route(item.job.spec.Host, item.job.spec.Path)
		if route == nil || route.Kind != bergamotgrade.RouteBatch {
			item.abandon("its route is no longer configured")
			continue
		}
		if now.UnixMilli() > item.job.spec.KeepUntil && item.job.spec.KeepUntil > item.job.spec.SubmittedAt {
			item.abandon("it was not done within the time that its route keeps items")
			continue
		}
		service := route.Target(item.hash)
		if full[service] {
			continue
		}
		place := item.acquire(ctx, service)
		if place == nil {
			full[service] = true
			continue
		}
		r.running.Go(func() { item.run(place, route.MaxAttempts) })
	}
}

// waitingItems returns the items that may start now, the most urgent
// first.
func (r *Runner) waitingItems(now time.Time) []*itemRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return nil
	}
	var waiting []*itemRun
	for _, job := range r.owned {
		waiting = append(waiting, job.waiting(now)...)
	}
	for _, item := range waiting {
		item.urgency = urgencyOf(now, item.job.spec.Due(), r.itemRun, item.index)
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].urgency.before(waiting[j].urgency) })
	return waiting
}

// noteRun takes the run time of an item that ran without a break.
func (r *Runner) noteRun(ran time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.itemRun == 0 {
		r.itemRun = ran
	}
	r.itemRun += time.Duration(itemRunWeight * float64(ran-r.itemRun))
}

// Stop ends all items; the next owners of their jobs run them anew.
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

// Count returns the number of jobs and of running items.
func (r *Runner) Count() (jobs, items int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.owned {
		items += job.runningItems()
	}
	return len(r.owned), items
}

// clean removes jobs whose results need no longer be readable.
func (r *Runner) clean(ctx context.Context, heads map[string]Head) {
	now := r.clock.Now()
	for id, head := range heads {
		expired := now.After(time.UnixMilli(head.SubmittedAt).Add(r.statusLife + statusMargin))
		if !expired || head.Open() || head.Owner != r.self {
			continue
		}
		if err := r.repository.Remove(ctx, id, head); err != nil {
			r.log.Warn("expired job not removed", "job", id, "cause", err.Error())
			continue
		}
		r.log.Info("expired job removed", "job", id)
	}
}

// header returns the item's headers in the form of HTTP.
func (i Item) header() http.Header {
	header := make(http.Header, len(i.Headers))
	for name, value := range i.Headers {
		header.Set(strings.TrimSpace(name), value)
	}
	return header
}
