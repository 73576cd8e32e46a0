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
)

// silentStore answers no commit while it is silent, and then waits for the end of the call.
type silentStore struct {
	*standin.Store
	silent bool
}

func (s *silentStore) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	if s.silent {
		<-ctx.Done()
		return bergamotgrade.CommitResult{}, bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "silent", "wait").WithCause(ctx.Err())
	}
	return s.Store.Commit(ctx, commit)
}

// Guards against calls that wait for their whole time-out at a store from which only this VM is cut off, and against
// impatience where no peer could make the call, or with a call of many bytes.
func TestSilentStoreIsLeftForPeer(t *testing.T) {
	for _, test := range []struct {
		name      string
		bytes     int
		hasPeer   bool
		impatient bool
	}{{"peer", 10, true, true}, {"no peer", 10, false, false}, {"large commit", 4 << 20, true, false}} {
		shared := standin.NewStore(bergamotgrade.SystemClock{})
		store := &silentStore{Store: shared}
		s := NewMonitoredStore(store, bergamotgrade.SystemClock{}, func(bergamotgrade.Homes) bergamotgrade.KeyValue {
			if test.hasPeer {
				return shared
			}
			return nil
		}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		commit := bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{{Key: "a", Value: make([]byte, test.bytes)}}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := s.Commit(ctx, commit)
		qt.Assert(t, err, qt.IsNil, qt.Commentf(test.name))
		store.silent = true
		_, err = s.Commit(ctx, commit)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(test.name))
		qt.Check(t, ctx.Err() == nil, qt.Equals, test.impatient, qt.Commentf(test.name))
		if test.impatient {
			qt.Check(t, bergamotgrade.AsError(err).NotRun(), qt.IsFalse) // it may still take effect
			_, err = s.Commit(ctx, commit)
			qt.Check(t, err, qt.IsNil)
		}
		cancel()
	}
}
