package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// ownedJob is one job that this process runs.
type ownedJob struct {
	runner *Runner
	id     string
	// spec is the head as it was adopted; its fields that never change are read
	// without the lock.
	spec   Head
	cancel context.CancelFunc
	// flush has finished items listed.
	flush chan struct{}

	mu sync.Mutex
	// head is the last head that this process has written or read.
	head  Head
	items []*itemRun
	// finished holds results that are not listed yet, in the order of their
	// positions.
	finished []Result
	ctx      context.Context
}

// see takes a head from the ledger.
func (j *ownedJob) see(head Head, mine bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if head.Revision <= j.head.Revision {
		return
	}
	if !mine || head.Ended {
		j.runner.log.Info("job given up", "job", j.id, "owner", head.Owner, "ended", head.Ended, "revision", head.Revision)
		j.cancel()
	}
}

// run loads the job's items and lists results until all are listed.
func (j *ownedJob) run(parent, ctx context.Context) {
	defer j.runner.drop(j)
	defer j.cancel()
	if !j.load(ctx) {
		return
	}
	j.runner.Wake()
	for j.gather(ctx) {
		if done := j.list(ctx); done {
			return
		}
	}
	if parent.Err() == nil {
		// A planned stop: what has finished need not run again.
		lastCtx, cancel := context.WithTimeout(parent, lastListing)
		defer cancel()
		j.list(lastCtx)
	}
}

// gather waits until finished results are to be listed: results of items that end
// soon after each other share a commit, unless the job is due. It returns false
// when the context has ended.
func (j *ownedJob) gather(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-j.flush:
	}
	wait := min(resultGather, j.spec.Due().Sub(j.runner.clock.Now())-resultUrgency)
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	for !j.allFinished() {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-j.flush:
		}
	}
	return true
}

// allFinished reports whether no item is left to run, or a commit is full.
func (j *ownedJob) allFinished() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.finished) >= maxListed {
		return true
	}
	for _, item := range j.items {
		if !item.finished {
			return false
		}
	}
	return true
}

// load reads the job's items and its listed results.
func (j *ownedJob) load(ctx context.Context) bool {
	for {
		items, err := j.runner.repository.Items(ctx, j.id, j.head)
		if err == nil {
			var listed map[string]bool
			if listed, err = j.listedItems(ctx); err == nil {
				j.begin(ctx, items, listed)
				return true
			}
		}
		j.runner.log.Warn("job not loaded", "job", j.id, "cause", err.Error())
		if !bergamotgrade.Sleep(ctx, itemPause) {
			return false
		}
	}
}

// listedItems returns the ids of the items that have a result.
func (j *ownedJob) listedItems(ctx context.Context) (map[string]bool, error) {
	listed := map[string]bool{}
	for len(listed) < j.head.Listed {
		results, err := j.runner.repository.Results(ctx, j.id, j.head, len(listed))
		if err != nil {
			return nil, err
		}
		if len(results) == 0 {
			return nil, bergamotgrade.NewError(bergamotgrade.KindInternal, "listed results are missing in the store", "report it with the job's id")
		}
		for _, result := range results {
			listed[result.ItemID] = true
		}
	}
	return listed, nil
}

func (j *ownedJob) begin(ctx context.Context, items []Item, listed map[string]bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ctx = ctx
	for index, item := range items {
		run := &itemRun{job: j, item: item, index: index, hash: xxhash.Sum64String(item.ItemID), failedAt: map[string]bool{}}
		run.finished = listed[item.ItemID]
		j.items = append(j.items, run)
	}
	j.runner.log.Info("job begun", "job", j.id, "items", len(items), "listed", len(listed), "revision", j.head.Revision)
}

// waiting returns the items that may start now.
func (j *ownedJob) waiting(now time.Time) []*itemRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ctx == nil || j.ctx.Err() != nil {
		return nil
	}
	var waiting []*itemRun
	for _, item := range j.items {
		if !item.finished && !item.running && !now.Before(item.notBefore) {
			waiting = append(waiting, item)
		}
	}
	return waiting
}

func (j *ownedJob) runningItems() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, item := range j.items {
		if item.running {
			count++
		}
	}
	return count
}

// finish takes the result of an item, to be listed.
func (j *ownedJob) finish(item *itemRun, result Result) {
	j.mu.Lock()
	item.finished, item.running = true, false
	j.finished = append(j.finished, result)
	j.mu.Unlock()
	select {
	case j.flush <- struct{}{}:
	default:
	}
}

// list writes finished results to the store; done is true once the job needs
// this process no more.
func (j *ownedJob) list(ctx context.Context) (done bool) {
	pause := storeRetry
	for {
		j.mu.Lock()
		head := j.head
		batch := j.finished[:min(len(j.finished), maxListed)]
		waiting := int64(0)
		for _, item := range j.items {
			if !item.finished {
				waiting += item.item.Tokens
			}
		}
		j.mu.Unlock()
		if len(batch) == 0 {
			return !head.Open()
		}
		next := head
		next.WaitingTokens = waiting
		current, applied, err := j.runner.repository.List(ctx, j.id, next, batch)
		switch {
		case err != nil:
			j.runner.log.Warn("results not listed", "job", j.id, "results", len(batch), "cause", err.Error())
			if !bergamotgrade.Sleep(ctx, pause) {
				return true
			}
			pause = min(maxStoreRetry, 2*pause)
		case applied:
			j.runner.observer.Count("results_listed")
			j.advance(current, len(batch))
		case current.Revision == 0 || current.Ended || current.Owner != j.runner.self || current.OwnerIncarnation != j.runner.incarnation:
			j.runner.log.Info("job given up", "job", j.id, "owner", current.Owner, "ended", current.Ended, "revision", current.Revision)
			return true
		default:
			// An earlier commit whose answer was lost took effect: its results are
			// the first ones that still wait here.
			j.runner.log.Info("lost answer resolved", "job", j.id, "listed_before", head.Listed, "listed", current.Listed)
			j.advance(current, current.Listed-head.Listed)
		}
	}
}

// advance takes the new head and drops the results that are listed now.
func (j *ownedJob) advance(head Head, listed int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.head = head
	j.finished = j.finished[min(max(0, listed), len(j.finished)):]
}
