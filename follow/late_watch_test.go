package follow

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

// lateWatchStore delivers the answer of a watch only after beforeAnswer.
type lateWatchStore struct {
	*standin.Store
	beforeAnswer func()
}

func (s *lateWatchStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bergamotgrade.KeyChange, int64, error) {
	changes, revision, err := s.Store.Changes(ctx, prefix, after, wait)
	s.beforeAnswer()
	return changes, revision, err
}

// TestLateWatchBringsNothingBack guards against a watch whose answer arrives after a newer copy from a
// peer: an entry that it reports, and that the copy no longer has, would stay for good, since the next
// watch begins after its removal.
func TestLateWatchBringsNothingBack(t *testing.T) {
	ctx, store := context.Background(), standin.NewStore(bergamotgrade.SystemClock{})
	put(t, store, "servers/stays", "1")
	peer := newSteppedMirror(store, scripttest.NewClock(), &testPeers{})
	late := &lateWatchStore{Store: store}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	kv := NewMonitoredStore(late, scripttest.NewClock(), func(bergamotgrade.Homes) bergamotgrade.KeyValue { return nil }, log)
	m := NewMirror(kv, scripttest.NewClock(), "servers/", StartAtOnce, 0, ShortWatchWait, &testPeers{}, func(map[string]bergamotgrade.Entry) {}, log)
	qt.Assert(t, m.list(ctx, false), qt.IsNil)
	put(t, store, "servers/gone", "1")
	late.beforeAnswer = func() {
		remove(t, store, "servers/gone")
		qt.Check(t, peer.list(ctx, false), qt.IsNil)
		m.applyCopy(peer.CopySince(m.position()), m.dropEntry)
	}
	qt.Assert(t, m.watch(ctx), qt.IsNil)
	late.beforeAnswer = func() {}
	put(t, store, "servers/stays", "2")
	qt.Assert(t, m.watch(ctx), qt.IsNil)
	qt.Assert(t, steppedMirror{m, kv}.keys(), qt.DeepEquals, map[string]bool{"servers/stays": true})
}
