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

// mortal is a VM with its view of the platform. It dies at a given call, before
// or after the call takes effect; nothing that it does later reaches anyone.
type mortal struct {
	bergamotgrade.Platform
	id     string
	table  *member.Table
	dieAt  int64
	effect bool
	calls  atomic.Int64
	dead   atomic.Bool
}

func (m *mortal) Self() bergamotgrade.VMRecord {
	return bergamotgrade.VMRecord{VMID: "vm", Incarnation: m.id}
}
func (m *mortal) Table() member.Table { return *m.table }
func (m *mortal) LeaseHolds() bool    { return !m.dead.Load() }

// step counts one call and reports whether the VM has died at it.
func (m *mortal) step() bool {
	if m.calls.Add(1) == m.dieAt {
		m.dead.Store(true)
	}
	return m.dead.Load()
}

func (m *mortal) Get(ctx context.Context, key string) (bergamotgrade.Entry, error) {
	if m.step() {
		return bergamotgrade.Entry{}, errDied
	}
	return m.Platform.Get(ctx, key)
}

func (m *mortal) CompareAndSwap(ctx context.Context, key string, value []byte, expected int64, leaseID string) (int64, error) {
	wasDead := m.dead.Load()
	if m.step() && (wasDead || !m.effect) {
		return 0, errDied
	}
	revision, err := m.Platform.CompareAndSwap(ctx, key, value, expected, leaseID)
	if m.dead.Load() {
		return 0, errDied
	}
	return revision, err
}

var errDied = bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the VM has died", "none")

// counter is an executor that counts the runs of each item.
type counter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *counter) Once(item Item) bool { return strings.HasPrefix(item.CustomID, "once") }

func (c *counter) Execute(_ context.Context, _ Job, item Item) (Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[item.CustomID]++
	body, _ := json.Marshal("answer to " + item.CustomID)
	return Result{Response: &ResultResponse{StatusCode: 200, Body: body}}, nil
}

// TestTakeoverAtEveryPlatformCall lets the owner of a job die at each of its
// platform calls in turn, before and after the call's effect, and another VM
// finish the job. Every item has one result in order, items that may not be
// repeated run at most once, and only those with a lost outcome fail.
func TestTakeoverAtEveryPlatformCall(t *testing.T) {
	for _, effect := range []bool{false, true} {
		for dieAt := int64(1); dieAt < 60; dieAt++ {
			t.Run(fmt.Sprintf("call=%d,effect=%t", dieAt, effect), func(t *testing.T) {
				t.Parallel()
				runTakeover(t, dieAt, effect)
			})
		}
	}
}

func runTakeover(t *testing.T, dieAt int64, effect bool) {
	comment := qt.Commentf("dies at call %d, effect %t", dieAt, effect)
	ctx := context.Background()
	clock := bergamotgrade.SystemClock{}
	keyValue := platform.New(standin.NewStore(clock), math.Inf(1))
	table := member.NewTable(1).Join(bergamotgrade.VMRecord{VMID: "vm", Incarnation: "first"})
	executor := &counter{runs: map[string]int{}}
	newRunner := func(vm *mortal) *Runner {
		repository := NewRepository(vm, NewPlatformSegments(vm, clock, 1<<30), clock)
		return NewRunner(clock, repository, vm, executor, timeline.New(clock, vm.id), new(expvar.Map))
	}
	first := &mortal{Platform: keyValue, id: "first", table: &table, dieAt: 1 << 40, effect: effect}
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
	file, faults, err := runner.repository.Upload(ctx, File{FileID: "f", TeamID: "t"}, &input, func(Item) string { return "" }, executor.Once)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, faults, qt.HasLen, 0)
	job, err := runner.repository.Accept(ctx, Job{JobID: "j", TeamID: "t", FileID: "f", Status: JobInProgress, Items: file.Items})
	qt.Assert(t, err, qt.IsNil)
	first.dieAt = first.calls.Load() + dieAt
	runner.runJob(ctx, "j")

	table = member.NewTable(1).Join(bergamotgrade.VMRecord{VMID: "vm", Incarnation: "second"})
	second := &mortal{Platform: keyValue, id: "second", table: &table, dieAt: 1 << 40}
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
	qt.Assert(t, len(failed) <= rangesAtOnce*onceChunkItems, qt.IsTrue, comment)
}

// checkResults reads all results in order and returns how many there are.
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
