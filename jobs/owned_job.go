package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/relay"
)

// ownedJob is a job that this process owns and runs.
type ownedJob struct {
	runner *Runner
	id     string
	// spec is the head at the time of adoption. Only its immutable fields are used,
	// without the lock.
	spec   Head
	cancel context.CancelFunc
	// resultReady is signalled when an item has finished.
	resultReady chan struct{}

	mu sync.Mutex
	// head is the latest head that this process has written or read.
	head  Head
	items []*ownedItem
	// unstored holds results that are not in the store yet, in the order of the
	// positions that they will get.
	unstored []Result
	// ctx ends when the items have to stop; nil until the items are loaded.
	ctx context.Context
	// waitLogged is set once it is logged that the job waits for a newer configuration.
	waitLogged bool
}

// awaitsConfiguration reports whether the configuration in force on this VM is older than the one under which
// the job was accepted. It logs the first time that it is.
func (j *ownedJob) awaitsConfiguration(config *bergamotgrade.FleetConfiguration) bool {
	if !j.spec.isNewerThan(config) {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.waitLogged {
		j.waitLogged = true
		j.runner.log.Info("job waits for the configuration under which it was accepted", "job", j.id, "version", j.spec.ConfigVersion, "version_in_force", config.Version)
	}
	return true
}

// observeHead stops the job if a newer head from the cache shows that it was
// cancelled or has another owner.
func (j *ownedJob) observeHead(head Head, owned bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if head.Revision <= j.head.Revision {
		return
	}
	if !owned || head.Ended {
		j.runner.log.Info("stopping job: cancelled, removed or owned by another process", "job", j.id, "owner", head.Owner, "ended", head.Ended, "revision", head.Revision)
		j.cancel()
	}
}

// run loads the job's items and stores their results until all are stored or the
// job has to stop. ctx ends when the job has to stop, parent when the process ends.
func (j *ownedJob) run(parent, ctx context.Context) {
	defer j.runner.removeOwned(j)
	defer j.cancel()
	room := j.runner.loads.acquire(ctx, j.runner.repository.bodyBytes(j.spec), j.spec.Due())
	if room == nil {
		return
	}
	defer room.release()
	if !j.load(ctx) {
		return
	}
	j.runner.Wake()
	for j.waitForResults(ctx) {
		if done := j.storeResults(ctx); done {
			return
		}
	}
	if parent.Err() == nil {
		// Graceful stop: store finished results so that these items are not run again.
		lastCtx, cancel := context.WithTimeout(parent, finalStoreTimeout)
		defer cancel()
		j.storeResults(lastCtx)
	}
}

// waitForResults waits until finished results should be stored. It delays them by
// up to resultBatchDelay so that several share a commit, but not when the job is
// almost due. It returns false when the context has ended.
func (j *ownedJob) waitForResults(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-j.resultReady:
	}
	wait := min(resultBatchDelay, j.spec.Due().Sub(j.runner.clock.Now())-immediateStoreWindow)
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	for !j.shouldStoreNow() {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-j.resultReady:
		}
	}
	return true
}

// shouldStoreNow reports whether all items have finished or the unstored results
// fill a commit.
func (j *ownedJob) shouldStoreNow() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.unstored) >= maxResultsPerCommit {
		return true
	}
	for _, item := range j.items {
		if !item.finished {
			return false
		}
	}
	return true
}

// load reads the job's items and stored results, and retries until it succeeds. It
// returns false when the context has ended.
func (j *ownedJob) load(ctx context.Context) bool {
	for {
		items, err := j.loadItems(ctx)
		if err == nil {
			var storedIDs map[string]bool
			if storedIDs, err = j.storedItemIDs(ctx); err == nil {
				j.setItems(ctx, items, storedIDs)
				return true
			}
		}
		j.runner.log.Warn("failed to load job; retrying", "job", j.id, "cause", err.Error())
		if !bergamotgrade.Sleep(ctx, itemRetryDelay) {
			return false
		}
	}
}

// loadItems reads the job's items. Few large bodies are read at a time.
func (j *ownedJob) loadItems(ctx context.Context) ([]Item, error) {
	r := j.runner
	if r.repository.bodyBytes(j.spec) > largeBodyBytes {
		select {
		case r.largeLoads <- struct{}{}:
			defer func() { <-r.largeLoads }()
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	return r.repository.Items(ctx, j.id, j.head)
}

// storedItemIDs returns the ids of the items that have a stored result.
func (j *ownedJob) storedItemIDs(ctx context.Context) (map[string]bool, error) {
	storedIDs := map[string]bool{}
	for len(storedIDs) < j.head.Listed {
		results, err := j.runner.repository.Results(ctx, j.id, j.head, len(storedIDs))
		if err != nil {
			return nil, err
		}
		if len(results) == 0 {
			return nil, bergamotgrade.NewError(bergamotgrade.KindInternal, "listed results are missing in the store", "report it with the job's id")
		}
		for _, result := range results {
			storedIDs[result.ItemID] = true
		}
	}
	return storedIDs, nil
}

// setItems makes the items available to the runner; items with a stored result
// count as finished.
func (j *ownedJob) setItems(ctx context.Context, items []Item, storedIDs map[string]bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ctx = ctx
	for index, item := range items {
		owned := &ownedItem{job: j, item: item, index: index, hash: xxhash.Sum64String(item.ItemID), failedServers: map[string]bool{}, events: relay.NewSequence("")}
		owned.finished = storedIDs[item.ItemID]
		j.items = append(j.items, owned)
	}
	j.runner.log.Info("job loaded; running its items", "job", j.id, "items", len(items), "listed", len(storedIDs), "revision", j.head.Revision)
}

// waiting returns the items that may start now; none until the job is loaded.
func (j *ownedJob) waiting(now time.Time) []*ownedItem {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ctx == nil || j.ctx.Err() != nil {
		return nil
	}
	var waiting []*ownedItem
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

// finish marks the item as finished and queues its result to be stored.
func (j *ownedJob) finish(item *ownedItem, result Result) {
	j.mu.Lock()
	item.finished, item.running = true, false
	j.unstored = append(j.unstored, result)
	j.mu.Unlock()
	select {
	case j.resultReady <- struct{}{}:
	default:
	}
}

// storeResults writes the unstored results to the store. done is true when the job
// is complete or this process must no longer run it.
func (j *ownedJob) storeResults(ctx context.Context) (done bool) {
	delay := storeRetryDelay
	for {
		j.mu.Lock()
		head := j.head
		results := j.unstored[:min(len(j.unstored), maxResultsPerCommit)]
		waiting := int64(0)
		for _, item := range j.items {
			if !item.finished {
				waiting += item.item.Tokens
			}
		}
		j.mu.Unlock()
		if len(results) == 0 {
			return !head.Open()
		}
		next := head
		next.WaitingTokens = waiting
		current, applied, err := j.runner.repository.AppendResults(ctx, j.id, next, results)
		switch {
		case err != nil:
			j.runner.log.Warn("failed to store results; retrying unless the job stops", "job", j.id, "results", len(results), "cause", err.Error())
			if !bergamotgrade.Sleep(ctx, delay) {
				return true
			}
			delay = min(maxStoreRetryDelay, 2*delay)
		case applied:
			j.runner.observer.Count("results_listed")
			j.markStored(current, len(results))
		case current.Revision == 0 || current.Ended || current.Owner != j.runner.self || current.OwnerIncarnation != j.runner.incarnation:
			j.runner.log.Info("stopping job: cancelled, removed or owned by another process", "job", j.id, "owner", current.Owner, "ended", current.Ended, "revision", current.Revision)
			return true
		default:
			// An earlier commit, whose answer was lost, took effect: its results are
			// the first of the unstored ones.
			j.runner.log.Info("earlier commit took effect although its answer was lost", "job", j.id, "listed_before", head.Listed, "listed", current.Listed)
			j.markStored(current, current.Listed-head.Listed)
		}
	}
}

// markStored sets the new head and removes the first stored results from the
// unstored ones.
func (j *ownedJob) markStored(head Head, stored int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.head = head
	j.unstored = j.unstored[min(max(0, stored), len(j.unstored)):]
}
