package jobs

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// Guards against ordinary jobs that wait for large ones, large ones that never come, and room that is lost.
func TestLoadBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	const large = 1 << 20
	b := newLoadBudget(4 * large) // three quarters for large bodies
	isGranted := func(load *bodyLoad) bool {
		select {
		case <-load.granted:
			return true
		default:
			return false
		}
	}
	var loaded []*bodyLoad
	for range 3 {
		loaded = append(loaded, b.enter(large, start.Add(time.Minute)))
	}
	late, early := b.enter(large, start.Add(time.Minute)), b.enter(large, start)
	small := b.enter(10, start.Add(time.Hour))
	qt.Assert(t, []bool{isGranted(loaded[2]), isGranted(late), isGranted(early), isGranted(small)}, qt.DeepEquals, []bool{true, false, false, true})
	loaded[0].release()
	qt.Assert(t, []bool{isGranted(late), isGranted(early)}, qt.DeepEquals, []bool{false, true})
	late.release() // gives up
	huge := b.enter(100*large, start)
	loaded[1].release()
	loaded[2].release()
	qt.Assert(t, isGranted(huge), qt.IsFalse)
	early.release()
	qt.Assert(t, isGranted(huge), qt.IsTrue) // alone
	huge.release()
	small.release()
	bytes, waiting := b.loadedBytes()
	qt.Assert(t, bytes, qt.Equals, int64(0))
	qt.Assert(t, waiting, qt.Equals, 0)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Assert(t, b.acquire(context.Background(), 4*large, start), qt.IsNotNil)
	qt.Assert(t, b.acquire(ctx, large, start), qt.IsNil)
}

// Guards against an owner that has the bodies of all its jobs in memory, and against an ordinary job that waits for
// those with large bodies.
func TestLargeJobsAreLoadedAsTheyRun(t *testing.T) {
	const bodyBytes = 1 << 20
	f := newFleet()
	f.engine.runTime = 200 * time.Millisecond
	f.loadBytes = 4 * bodyBytes
	f.config.Route("h", "/b/").MaxWaitingTokens = 0
	other := f.start(t, "vm2") // accepts; its own runner owns nothing while vm1 is alive
	f.setAlive("vm1", 1)
	for i := range 12 {
		err := other.submitItems(fmt.Sprint("large", i), []Item{{ItemID: fmt.Sprint("large item", i), Path: "/b/x", Body: make([]byte, bodyBytes), Tokens: 1}})
		qt.Assert(t, err, qt.IsNil)
	}
	owner := f.start(t, "vm1")
	var most atomic.Int64
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go func() {
		for bergamotgrade.Sleep(watchCtx, time.Millisecond) {
			loaded, _ := owner.runner.loads.loadedBytes()
			most.Store(max(most.Load(), loaded))
		}
	}()
	qt.Assert(t, other.submit("small", "a"), qt.IsNil)
	begunAt := time.Now()
	qt.Assert(t, other.waitForResults(t, "small", 1, 5*time.Second)[0].State, qt.Equals, ResultDone)
	qt.Check(t, time.Since(begunAt) < 3*time.Second, qt.IsTrue)
	for i := range 12 {
		qt.Assert(t, other.waitForResults(t, fmt.Sprint("large", i), 1, 20*time.Second)[0].State, qt.Equals, ResultDone)
	}
	qt.Check(t, most.Load() > bodyBytes, qt.IsTrue)
	qt.Check(t, most.Load() <= 4*bodyBytes, qt.IsTrue, qt.Commentf("%d bytes", most.Load()))
}
