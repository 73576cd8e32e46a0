package batch

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// rangeWorker executes one range of a job on this VM. Each update of the range is a
// compare-and-swap on its last known revision, so an owner that was paused and superseded
// cannot commit.
type rangeWorker struct {
	runner   *Runner
	job      Job
	file     File
	index    int
	progress Range
	revision int64
	// unknownUntil is the end of the items that the previous owner may have dispatched
	// without committing their results.
	unknownUntil int
}

// run executes the range in chunks until it is done, the job has ended, the runner stops or
// this VM has lost its lease or the range.
func (w *rangeWorker) run(ctx context.Context) {
	if !w.claim(ctx) {
		return
	}
	for !w.progress.Done() {
		if w.runner.isStopping() {
			w.releaseRange(ctx)
			return
		}
		job, _, err := w.runner.repository.Job(ctx, "", w.job.JobID)
		if err != nil && w.runner.membership.LeaseValid() && bergamotgrade.Sleep(ctx, retryDelay) {
			continue
		}
		if err != nil || job.Status != JobInProgress || !w.runner.membership.LeaseValid() {
			return
		}
		if !w.runChunk(ctx) {
			return
		}
	}
}

// claim makes this VM the owner of the range, unless the range is done or belongs to
// another VM that is still a member.
func (w *rangeWorker) claim(ctx context.Context) bool {
	progress, revision, err := w.runner.repository.Range(ctx, w.job, w.index)
	if err != nil {
		return false
	}
	table := w.runner.membership.Table()
	isMember := func(incarnation string) bool {
		_, ok := table.Member(incarnation)
		return ok
	}
	claimed, ok := progress.Claim(w.runner.membership.Self().Incarnation, isMember)
	if !ok {
		return false
	}
	w.progress, w.revision = progress, revision
	w.unknownUntil = progress.Intended
	if progress.Epoch > 0 && claimed.Epoch > progress.Epoch {
		w.runner.metrics.Add("ranges_taken_over", 1)
	}
	return w.swapProgress(ctx, claimed)
}

// swapProgress writes the next progress of the range if its revision is unchanged. It
// retries on other failures. It reports false if the range or this VM's lease was lost or
// the context ended.
func (w *rangeWorker) swapProgress(ctx context.Context, next Range) bool {
	for w.runner.membership.LeaseValid() {
		revision, err := w.runner.repository.SwapRange(ctx, w.job, w.index, next, w.revision)
		if err == nil {
			w.progress, w.revision = next, revision
			return true
		}
		if bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
			return w.confirmSwap(ctx, next)
		}
		if !bergamotgrade.Sleep(ctx, retryDelay) {
			return false
		}
	}
	return false
}

// confirmSwap reports whether the conflicting value is the next progress itself: an earlier
// attempt wrote it, but its response was lost.
func (w *rangeWorker) confirmSwap(ctx context.Context, next Range) bool {
	found, revision, err := w.runner.repository.Range(ctx, w.job, w.index)
	if err != nil || found.Owner != next.Owner || found.Epoch != next.Epoch || found.Committed != next.Committed || found.Intended != next.Intended {
		return false
	}
	w.progress, w.revision = found, revision
	return true
}

// releaseRange clears the owner of the range so that another VM can claim it immediately.
func (w *rangeWorker) releaseRange(ctx context.Context) {
	next := w.progress
	next.Owner = ""
	if w.swapProgress(ctx, next) {
		w.runner.ring.Record(timeline.KindEpoch, w.job.JobID, fmt.Sprint(w.index), "range handed over")
	}
}

// runChunk executes the next items and commits their results. For files with items that
// must not be repeated it first records the end of the chunk as intended, so that a later
// owner knows which items may have run.
func (w *rangeWorker) runChunk(ctx context.Context) bool {
	first, end := w.progress.NextChunk(w.file.Once)
	items, err := w.runner.repository.Items(ctx, w.file, first, end)
	if err != nil {
		return bergamotgrade.Sleep(ctx, retryDelay)
	}
	if w.file.Once && w.progress.Intended < end && !w.swapProgress(ctx, w.progress.WithIntent(end)) {
		return false
	}
	results, ok := w.execute(ctx, first, items)
	if !ok {
		return false
	}
	return w.commit(context.WithoutCancel(ctx), first, results)
}

// execute runs the items concurrently and returns their results in order. It returns false
// if the context ended before all items had a result. Items before unknownUntil that must
// not be repeated get the error outcome_unknown and do not run.
func (w *rangeWorker) execute(ctx context.Context, first int, items []Item) ([]Result, bool) {
	results := make([]Result, len(items))
	var group errgroup.Group
	for i, item := range items {
		if first+i < w.unknownUntil && w.runner.executor.AtMostOnce(item) {
			results[i] = failedResult(w.job, first+i, item, "outcome_unknown", "the VM that ran the item was lost; check its effect before sending it again")
			continue
		}
		group.Go(func() error {
			return w.executeItem(ctx, first+i, item, &results[i])
		})
	}
	return results, group.Wait() == nil
}

func (w *rangeWorker) executeItem(ctx context.Context, index int, item Item, result *Result) error {
	if w.runner.itemSlots.Acquire(ctx, 1) == nil {
		defer w.runner.itemSlots.Release(1)
		executed, err := w.runner.executor.Execute(ctx, w.job, item)
		if err == nil {
			executed.ID = itemID(w.job, index)
			executed.CustomID = item.CustomID
			*result = executed
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

// commit stores the results in segments, then adds the segments and the counts to the range
// in one compare-and-swap.
func (w *rangeWorker) commit(ctx context.Context, first int, results []Result) bool {
	prefix := fmt.Sprintf("%s/result/%06d/%04d", w.job.JobID, w.index, w.progress.Epoch)
	var segments []FileSegment
	for {
		var err error
		if segments, err = w.runner.repository.writeResultSegments(ctx, prefix, first, results); err == nil {
			break
		}
		if !w.runner.membership.LeaseValid() || !bergamotgrade.Sleep(ctx, retryDelay) {
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
		next = next.WithResults(segment, 0, 0)
	}
	next.Succeeded += succeeded
	next.Failed += len(results) - succeeded
	if !w.swapProgress(ctx, next) {
		w.runner.metrics.Add("items_not_counted", int64(len(results)))
		return false
	}
	w.runner.metrics.Add("items_completed", int64(len(results)))
	return true
}
