package batch

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// rangeWork is this VM's work on one range of a job. Only the holder of the
// range's newest value can commit, so a paused owner adds nothing.
type rangeWork struct {
	runner   *Runner
	job      Job
	file     File
	index    int
	progress Range
	revision int64
	// lostUpTo is the item up to which an owner before may have dispatched
	// items without recording their results.
	lostUpTo int
}

// run works chunk by chunk until the range is done, the job has ended, or this
// VM has lost the range.
func (w *rangeWork) run(ctx context.Context) {
	if !w.claim(ctx) {
		return
	}
	for !w.progress.Done() {
		if w.runner.isStopping() {
			w.handOver(ctx)
			return
		}
		job, _, err := w.runner.repository.Job(ctx, "", w.job.JobID)
		if err != nil && w.runner.members.LeaseHolds() && bergamotgrade.Sleep(ctx, retryPause) {
			continue
		}
		if err != nil || job.Status != JobInProgress || !w.runner.members.LeaseHolds() {
			return
		}
		if !w.chunk(ctx) {
			return
		}
	}
}

func (w *rangeWork) claim(ctx context.Context) bool {
	progress, revision, err := w.runner.repository.Range(ctx, w.job, w.index)
	if err != nil {
		return false
	}
	table := w.runner.members.Table()
	isMember := func(incarnation string) bool {
		_, ok := table.Member(incarnation)
		return ok
	}
	claimed, ok := progress.Claim(w.runner.members.Self().Incarnation, isMember)
	if !ok {
		return false
	}
	w.progress, w.revision = progress, revision
	w.lostUpTo = progress.Intended
	if progress.Epoch > 0 && claimed.Epoch > progress.Epoch {
		w.runner.metrics.Add("ranges_taken_over", 1)
	}
	return w.swap(ctx, claimed)
}

// swap writes the range's next value as the holder of the present one.
func (w *rangeWork) swap(ctx context.Context, next Range) bool {
	for w.runner.members.LeaseHolds() {
		revision, err := w.runner.repository.SetRange(ctx, w.job, w.index, next, w.revision)
		if err == nil {
			w.progress, w.revision = next, revision
			return true
		}
		if bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
			return w.readBack(ctx, next)
		}
		if !bergamotgrade.Sleep(ctx, retryPause) {
			return false
		}
	}
	return false
}

// readBack reports whether a lost answer hid that the next value was written.
func (w *rangeWork) readBack(ctx context.Context, next Range) bool {
	found, revision, err := w.runner.repository.Range(ctx, w.job, w.index)
	if err != nil || found.Owner != next.Owner || found.Epoch != next.Epoch || found.Committed != next.Committed || found.Intended != next.Intended {
		return false
	}
	w.progress, w.revision = found, revision
	return true
}

// handOver gives the range up so that another VM may claim it at once.
func (w *rangeWork) handOver(ctx context.Context) {
	next := w.progress
	next.Owner = ""
	if w.swap(ctx, next) {
		w.runner.ring.Record(timeline.KindEpoch, w.job.JobID, fmt.Sprint(w.index), "range handed over")
	}
}

// chunk runs the next items and commits their results.
func (w *rangeWork) chunk(ctx context.Context) bool {
	first, end := w.progress.Next(w.file.Once)
	items, err := w.runner.repository.Items(ctx, w.file, first, end)
	if err != nil {
		return bergamotgrade.Sleep(ctx, retryPause)
	}
	if w.file.Once && w.progress.Intended < end && !w.swap(ctx, w.progress.Intend(end)) {
		return false
	}
	results, ok := w.execute(ctx, first, items)
	if !ok {
		return false
	}
	return w.commit(context.WithoutCancel(ctx), first, results)
}

// execute runs all items at once and returns their results in order, or false
// when this VM stops before all have one.
func (w *rangeWork) execute(ctx context.Context, first int, items []Item) ([]Result, bool) {
	results := make([]Result, len(items))
	var group errgroup.Group
	for i, item := range items {
		if first+i < w.lostUpTo && w.runner.executor.Once(item) {
			results[i] = failedResult(w.job, first+i, item, "outcome_unknown", "the VM that ran the item was lost; check its effect before sending it again")
			continue
		}
		group.Go(func() error {
			return w.executeItem(ctx, first+i, item, &results[i])
		})
	}
	return results, group.Wait() == nil
}

func (w *rangeWork) executeItem(ctx context.Context, index int, item Item, result *Result) error {
	if w.runner.items.Acquire(ctx, 1) == nil {
		defer w.runner.items.Release(1)
		done, err := w.runner.executor.Execute(ctx, w.job, item)
		if err == nil {
			done.ID = itemID(w.job, index)
			done.CustomID = item.CustomID
			*result = done
			return nil
		}
	}
	if context.Cause(ctx) != errJobCancelled {
		return ctx.Err()
	}
	*result = failedResult(w.job, index, item, "cancelled", "the batch was cancelled before the item had run")
	return nil
}

func itemID(job Job, index int) string { return fmt.Sprintf("%s-%06d", job.JobID, index) }

func failedResult(job Job, index int, item Item, code, message string) Result {
	return Result{ID: itemID(job, index), CustomID: item.CustomID, Error: &ResultError{Code: code, Message: message}}
}

// commit makes the results durable and counts them by one swap.
func (w *rangeWork) commit(ctx context.Context, first int, results []Result) bool {
	prefix := fmt.Sprintf("%s/result/%06d/%04d", w.job.JobID, w.index, w.progress.Epoch)
	var segments []FileSegment
	for {
		var err error
		if segments, err = w.runner.repository.packResults(ctx, prefix, first, results); err == nil {
			break
		}
		if !w.runner.members.LeaseHolds() || !bergamotgrade.Sleep(ctx, retryPause) {
			return false
		}
	}
	succeeded := 0
	for _, result := range results {
		if result.Error == nil {
			succeeded++
		}
	}
	next := w.progress
	for _, segment := range segments {
		next = next.Commit(segment, 0, 0)
	}
	next.Succeeded += succeeded
	next.Failed += len(results) - succeeded
	if !w.swap(ctx, next) {
		w.runner.metrics.Add("items_not_counted", int64(len(results)))
		return false
	}
	w.runner.metrics.Add("items_completed", int64(len(results)))
	return true
}
