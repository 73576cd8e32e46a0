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

// Guards against calls that every VM repeats at a store in an outage, and against calls that stay suspended
// once it answers again. A suspended call is certainly not run.
func TestCallsSuspendedInOutage(t *testing.T) {
	clock := scripttest.NewClock()
	store := &disconnectableStore{Store: standin.NewStore(bergamotgrade.SystemClock{})}
	s := NewMonitoredStore(store, clock, func(bergamotgrade.Homes) bergamotgrade.KeyValue { return nil }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx := context.Background()
	watch := func() error {
		_, _, err := s.Changes(ctx, "servers/", 0, time.Millisecond)
		return err
	}
	store.down.Store(true)
	for range 10 { // one failure after the other is not yet an outage
		qt.Assert(t, watch(), qt.IsNotNil)
	}
	qt.Assert(t, store.watches.Load(), qt.Equals, int64(10))
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		err := bergamotgrade.AsError(watch())
		qt.Assert(t, err.Kind(), qt.Equals, bergamotgrade.KindPlatformDown)
	}
	made := store.watches.Load() - 10
	qt.Check(t, made <= 9+5, qt.IsTrue, qt.Commentf("%d calls in 10 s", made))
	clock.Advance(100 * time.Millisecond)
	_ = watch()
	qt.Check(t, bergamotgrade.AsError(watch()).NotRun(), qt.IsTrue)
	store.down.Store(false)
	s.Probe(ctx, 0, time.Second)
	qt.Check(t, watch(), qt.IsNil)
}
