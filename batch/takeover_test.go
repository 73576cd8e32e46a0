package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// crashingVM is a VM with its connection to the platform. It crashes at a given platform
// call, before or after the call takes effect; none of its later calls takes effect.
type crashingVM struct {
	bergamotgrade.Platform
	incarnation string
	table       *member.Table
	crashAtCall int64
	afterEffect bool
	calls       atomic.Int64
	crashed     atomic.Bool
}

func (vm *crashingVM) Self() bergamotgrade.VMRecord {
	return bergamotgrade.VMRecord{VMID: "vm", Incarnation: vm.incarnation}
}
func (vm *crashingVM) Table() member.Table { return *vm.table }
func (vm *crashingVM) LeaseValid() bool    { return !vm.crashed.Load() }

// countCall counts one call and reports whether the VM has crashed by it.
func (vm *crashingVM) countCall() bool {
	if vm.calls.Add(1) == vm.crashAtCall {
		vm.crashed.Store(true)
	}
	return vm.crashed.Load()
}

func (vm *crashingVM) Get(ctx context.Context, key string) (bergamotgrade.Entry, error) {
	if vm.countCall() {
		return bergamotgrade.Entry{}, errCrashed
	}
	return vm.Platform.Get(ctx, key)
}

func (vm *crashingVM) CompareAndSwap(ctx context.Context, key string, value []byte, expected int64, leaseID string) (int64, error) {
	hadCrashed := vm.crashed.Load()
	if vm.countCall() && (hadCrashed || !vm.afterEffect) {
		return 0, errCrashed
	}
	revision, err := vm.Platform.CompareAndSwap(ctx, key, value, expected, leaseID)
	if vm.crashed.Load() {
		return 0, errCrashed
	}
	return revision, err
}

var errCrashed = bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the VM has died", "none")

// countingExecutor is an executor that counts the runs of each item.
type countingExecutor struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *countingExecutor) AtMostOnce(item Item) bool {
	return strings.HasPrefix(item.CustomID, "once")
}

func (c *countingExecutor) Execute(_ context.Context, _ Job, item Item) (Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[item.CustomID]++
	body, _ := json.Marshal("answer to " + item.CustomID)
	return Result{Response: &ResultResponse{StatusCode: 200, Body: body}}, nil
}

// TestTakeoverAtEveryPlatformCall crashes the owner of a job at each of its platform calls
// in turn, before and after the call takes effect, and lets another VM finish the job.
// Guards against lost, duplicate and reordered results, against repeated items that must
// run at most once, and against failed items other than those with an unknown outcome.
func TestTakeoverAtEveryPlatformCall(t *testing.T) {
	for _, afterEffect := range []bool{false, true} {
		for crashAtCall := int64(1); crashAtCall < 60; crashAtCall++ {
			t.Run(fmt.Sprintf("call=%d,effect=%t", crashAtCall, afterEffect), func(t *testing.T) {
				t.Parallel()
				runTakeover(t, crashAtCall, afterEffect)
			})
		}
	}
}

func runTakeover(t *testing.T, crashAtCall int64, afterEffect bool) {
	comment := qt.Commentf("crash at call %d, after its effect: %t", crashAtCall, afterEffect)
	ctx := context.Background()
	clock := bergamotgrade.SystemClock{}
	keyValue := platform.NewRateLimitedClient(standin.NewStore(clock), math.Inf(1))
	table := member.NewTable(1).Join(bergamotgrade.VMRecord{VMID: "vm", Incarnation: "first"})
	executor := &countingExecutor{runs: map[string]int{}}
	newRunner := func(vm *crashingVM) *Runner {
		repository := NewRepository(vm, NewPlatformSegments(vm, clock, 1<<30), clock)
		return NewRunner(clock, repository, vm, executor, timeline.New(clock, vm.incarnation), new(expvar.Map))
	}
	first := &crashingVM{Platform: keyValue, incarnation: "first", table: &table, crashAtCall: 1 << 40, afterEffect: afterEffect}
	runner := newRunner(first)
	var input bytes.Buffer
	const items = 520
	for i := range items {
		kind := "many"
		if i%3 == 0 {
			kind = "once"
		}
		fmt.Fprintf(&input, `{"custom_id":"%s%d","method":"POST","url":"/v1/services/x/y","body":1}`+"\n", kind, i)
	}
	file, lineErrors, err := runner.repository.Upload(ctx, File{FileID: "f", TeamID: "t"}, &input, func(Item) string { return "" }, executor.AtMostOnce)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lineErrors, qt.HasLen, 0)
	job, err := runner.repository.CreateJob(ctx, Job{JobID: "j", TeamID: "t", FileID: "f", Status: JobInProgress, Items: file.Items})
	qt.Assert(t, err, qt.IsNil)
	first.crashAtCall = first.calls.Load() + crashAtCall
	runner.runJob(ctx, "j")

	table = member.NewTable(1).Join(bergamotgrade.VMRecord{VMID: "vm", Incarnation: "second"})
	second := &crashingVM{Platform: keyValue, incarnation: "second", table: &table, crashAtCall: 1 << 40}
	successor := newRunner(second)
	successor.runJob(ctx, "j")
	job, _, err = successor.repository.Job(ctx, "t", "j")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, job.Status, qt.Equals, JobCompleted, comment)

	failed := map[string]bool{}
	next := checkResults(t, successor.repository, job, failed, comment)
	qt.Assert(t, next, qt.Equals, items, comment)
	for id, runs := range executor.runs {
		if strings.HasPrefix(id, "once") {
			qt.Assert(t, runs <= 1, qt.IsTrue, comment)
		}
	}
	qt.Assert(t, len(failed) <= maxConcurrentRanges*itemsPerAtMostOnceChunk, qt.IsTrue, comment)
}

// checkResults checks that the results are in order and that only at-most-once items
// failed, with outcome_unknown. It adds the failed items to failed and returns the number
// of results.
func checkResults(t *testing.T, repository *Repository, job Job, failed map[string]bool, comment qt.Comment) int {
	ranges, err := repository.Ranges(context.Background(), job)
	qt.Assert(t, err, qt.IsNil)
	next := 0
	for _, progress := range ranges {
		for _, segment := range progress.Results {
			data, err := repository.segments.Get(context.Background(), segment.SegmentRef)
			qt.Assert(t, err, qt.IsNil)
			for _, line := range splitLines(data) {
				var result Result
				qt.Assert(t, json.Unmarshal(line, &result), qt.IsNil)
				qt.Assert(t, result.ID, qt.Equals, fmt.Sprintf("j-%06d", next), comment)
				if result.Error != nil {
					qt.Assert(t, result.Error.Code, qt.Equals, "outcome_unknown", comment)
					qt.Assert(t, result.CustomID, qt.Matches, "once.*", comment)
					failed[result.CustomID] = true
				}
				next++
			}
		}
	}
	return next
}

func FuzzDecodeItem(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		item, err := DecodeItem(data)
		if err == nil {
			qt.Assert(t, item.CustomID != "" && item.Method != "", qt.IsTrue)
		}
	})
}
