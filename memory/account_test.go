package memory

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
)

// testClock is a clock that stands still.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func newTestAccount(budget int64) (*Account, *testClock) {
	clock := &testClock{now: time.Unix(1000, 0)}
	return New(clock, budget, nil), clock
}

// opener opens holdings that record their eviction by name.
type opener struct {
	account *Account
	evicted []string
}

func (o *opener) open(name string) *Holding {
	return o.account.Open(func() { o.evicted = append(o.evicted, name) })
}

// TestEviction guards against evictions of holdings that make progress, are small or belong to a
// request that a server may be running, while a larger one stands still.
func TestEviction(t *testing.T) {
	account, clock := newTestAccount(8 << 20)
	o := &opener{account: account}
	stalled, moving, running := o.open("stalled"), o.open("moving"), o.open("running")
	for h, size := range map[*Holding]int64{stalled: 2 << 20, moving: 2 << 20, running: 3 << 20} {
		qt.Assert(t, h.Reserve(size), qt.IsNil)
	}
	running.Pin(true)
	clock.now = clock.now.Add(2 * time.Second)
	moving.Progress()
	qt.Assert(t, o.open("new").Reserve(2<<20), qt.IsNil)
	qt.Assert(t, o.evicted, qt.DeepEquals, []string{"stalled"})
	qt.Assert(t, stalled.Reserve(1), qt.Equals, ErrNoRoom)
	stalled.Release(2 << 20)
	qt.Assert(t, account.held, qt.Equals, int64(7<<20))
}

// TestLargestIsRefused guards against a holding that grows at the cost of smaller ones.
func TestLargestIsRefused(t *testing.T) {
	account, _ := newTestAccount(8 << 20)
	o := &opener{account: account}
	large := o.open("large")
	qt.Assert(t, large.Reserve(4<<20), qt.IsNil)
	qt.Assert(t, o.open("other").Reserve(2<<20), qt.IsNil)
	qt.Assert(t, large.Reserve(2<<20), qt.Equals, ErrNoRoom)
	qt.Assert(t, o.evicted, qt.HasLen, 0)
}

// TestSmallRequestsBesideLargeOnes guards against large requests that run and leave nothing to
// ordinary ones.
func TestSmallRequestsBesideLargeOnes(t *testing.T) {
	account, _ := newTestAccount(8 << 20)
	for account.Open(nil).Reserve(1<<20) == nil {
	}
	qt.Assert(t, account.Open(nil).Reserve(64<<10), qt.IsNil)
}

// TestReplayOfStoppedBodies replays the load of the page: 96 bodies of 4 MB less one byte that arrive
// together and stop short. It guards against a budget that is exceeded, or that is never free again.
func TestReplayOfStoppedBodies(t *testing.T) {
	account, clock := newTestAccount(36 << 20)
	o := &opener{account: account}
	crowd := make([]*Holding, 96)
	for i := range crowd {
		crowd[i] = o.open("crowd")
	}
	for range 64 {
		for _, h := range crowd {
			// The error ends this client, as the closed connection does.
			_ = h.Reserve(64 << 10)
			qt.Assert(t, account.held <= 36<<20, qt.IsTrue)
		}
		clock.now = clock.now.Add(time.Millisecond)
		qt.Assert(t, account.Open(nil).Reserve(8<<10), qt.IsNil)
	}
	clock.now = clock.now.Add(time.Second)
	qt.Assert(t, o.open("full").Reserve(8<<20), qt.IsNil)
	for _, h := range crowd {
		h.Close()
		h.Close()
	}
	qt.Assert(t, account.held, qt.Equals, int64(8<<20+64*8<<10))
}

// TestReadAll guards against bytes that stay reserved after a failure, and against buffers much
// larger than what has arrived.
func TestReadAll(t *testing.T) {
	text := strings.Repeat("x", 1<<20)
	for name, test := range map[string]struct {
		body          io.Reader
		length, limit int64
		err           error
	}{
		"whole":            {strings.NewReader(text), 1 << 20, 1 << 20, nil},
		"unknown length":   {strings.NewReader(text), -1, 1 << 20, nil},
		"one byte a read":  {iotest.OneByteReader(strings.NewReader(text)), -1, 1 << 20, nil},
		"over the limit":   {strings.NewReader(text), -1, 1<<20 - 1, ErrTooLarge},
		"over the budget":  {strings.NewReader(strings.Repeat(text, 8)), 8 << 20, 8 << 20, ErrNoRoom},
		"broken off":       {iotest.TimeoutReader(strings.NewReader(text)), 1 << 20, 1 << 20, iotest.ErrTimeout},
		"announced, empty": {strings.NewReader(""), 8 << 20, 8 << 20, nil},
	} {
		t.Run(name, func(t *testing.T) {
			account, _ := newTestAccount(4 << 20)
			holding := account.Open(nil)
			data, err := ReadAll(test.body, holding, test.length, test.limit)
			qt.Assert(t, err, qt.Equals, test.err)
			qt.Assert(t, account.held, qt.Equals, int64(cap(data)))
			qt.Assert(t, cap(data) <= 2*max(len(data), firstReadBytes), qt.IsTrue)
		})
	}
}
