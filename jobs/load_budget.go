package jobs

import (
	"context"
	"slices"
	"sync"
	"time"
)

// loadBudget bounds the bytes of the bodies that a runner has in memory. Jobs with large bodies and all others have
// lanes of their own, so that neither waits for the other; within a lane, the job that is due first comes first.
type loadBudget struct {
	mu    sync.Mutex
	lanes [2]loadLane
}

// loadLane is the part of the budget for one kind of job. One job of any size always fits.
type loadLane struct {
	most, loaded int64
	// waiting holds the jobs that wait for room, in the order in which they are due.
	waiting []*bodyLoad
}

// bodyLoad is the room of one job in the budget.
type bodyLoad struct {
	budget *loadBudget
	lane   *loadLane
	bytes  int64
	due    time.Time
	// granted is closed once the job has room.
	granted chan struct{}
}

// newLoadBudget returns a budget of the bytes; zero sets no bound.
func newLoadBudget(most int64) *loadBudget {
	large := most / largeLanePart * (largeLanePart - 1)
	return &loadBudget{lanes: [2]loadLane{{most: most - large}, {most: large}}}
}

// acquire waits for room for a body and returns it, or nil if the context has ended before.
func (b *loadBudget) acquire(ctx context.Context, bytes int64, due time.Time) *bodyLoad {
	load := b.enter(bytes, due)
	select {
	case <-load.granted:
		return load
	case <-ctx.Done():
		load.release()
		return nil
	}
}

// enter adds a job to those that wait, or grants it room at once.
func (b *loadBudget) enter(bytes int64, due time.Time) *bodyLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	lane := &b.lanes[0]
	if bytes > largeBodyBytes {
		lane = &b.lanes[1]
	}
	load := &bodyLoad{budget: b, lane: lane, bytes: bytes, due: due, granted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(lane.waiting, due, func(other *bodyLoad, due time.Time) int {
		if other.due.After(due) {
			return 1
		}
		return -1 // of two that are due at the same time the first one stays first
	})
	lane.waiting = slices.Insert(lane.waiting, at, load)
	lane.grant()
	return load
}

// grant grants room to the jobs that wait, in order. The caller holds the budget's lock.
func (l *loadLane) grant() {
	for len(l.waiting) > 0 {
		first := l.waiting[0]
		if l.most > 0 && l.loaded > 0 && l.loaded+first.bytes > l.most {
			return
		}
		l.loaded += first.bytes
		l.waiting = l.waiting[1:]
		close(first.granted)
	}
}

// release gives the room back, or leaves the jobs that wait for some.
func (load *bodyLoad) release() {
	load.budget.mu.Lock()
	defer load.budget.mu.Unlock()
	lane := load.lane
	if at := slices.Index(lane.waiting, load); at >= 0 {
		lane.waiting = slices.Delete(lane.waiting, at, at+1)
	} else {
		lane.loaded -= load.bytes
	}
	lane.grant()
}

// loadedBytes returns the bytes of the bodies in memory and the number of jobs that wait for room.
func (b *loadBudget) loadedBytes() (bytes int64, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.lanes {
		bytes += b.lanes[i].loaded
		waiting += len(b.lanes[i].waiting)
	}
	return bytes, waiting
}
