package follow

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// losingStore loses the first answer of a watch that has something to report: the call hangs, as on a connection
// that brings nothing further.
type losingStore struct {
	*standin.Store
	watches atomic.Int64
	lost    atomic.Bool
}

func (s *losingStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bergamotgrade.KeyChange, int64, error) {
	s.watches.Add(1)
	changes, revision, err := s.Store.Changes(ctx, prefix, after, wait)
	if len(changes) > 0 && s.lost.CompareAndSwap(false, true) {
		<-ctx.Done()
		return nil, 0, context.Cause(ctx)
	}
	return changes, revision, err
}

// Guards against a change that is known seconds late, as items of an ended job run meanwhile, because one answer of
// the store was lost; and against an outage that is taken from it.
func TestLostAnswerOfAWatch(t *testing.T) {
	store := &losingStore{Store: standin.NewStore(bergamotgrade.SystemClock{})}
	put(t, store.Store, "job/head/a", "runs")
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	kv := NewMonitoredStore(store, bergamotgrade.SystemClock{}, func(bergamotgrade.Homes) bergamotgrade.KeyValue { return nil }, log)
	ended := make(chan struct{})
	m := NewMirror(kv, bergamotgrade.SystemClock{}, "job/head/", StartAtOnce, 0, ShortWatchWait, &testPeers{}, func(entries map[string]bergamotgrade.Entry) {
		if string(entries["job/head/a"].Value) == "ended" {
			close(ended)
		}
	}, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	for store.watches.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	put(t, store.Store, "job/head/a", "ended")
	begunAt := time.Now()
	<-ended
	qt.Check(t, time.Since(begunAt) < 2200*time.Millisecond, qt.IsTrue, qt.Commentf("known after %s", time.Since(begunAt)))
	qt.Check(t, store.lost.Load(), qt.IsTrue)
	qt.Check(t, kv.Unreachable(), qt.IsFalse)
	qt.Check(t, m.WatchesStore(), qt.IsTrue)
}
