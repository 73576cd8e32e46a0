package follow

import (
	"context"
	"io"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

// awayStore answers no call.
type awayStore struct{ bergamotgrade.KeyValue }

var errAway = bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "away", "wait")

func (awayStore) Read(context.Context, string, bool) (bergamotgrade.Entry, error) {
	return bergamotgrade.Entry{}, errAway
}

func (awayStore) Range(context.Context, string, bool) ([]bergamotgrade.Entry, int64, error) {
	return nil, 0, errAway
}

func (awayStore) Commit(context.Context, bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	return bergamotgrade.CommitResult{}, errAway
}

// Guards against a body that passes through a peer outside its homes while the store is unreachable.
func TestCallsWithinHomes(t *testing.T) {
	ctx, clock := context.Background(), scripttest.NewClock()
	var asked []bergamotgrade.Homes
	peer := standin.NewStore(clock)
	down := awayStore{}
	eu := bergamotgrade.NewHomes("eu")
	monitored := NewMonitoredStore(down, clock, func(homes bergamotgrade.Homes) bergamotgrade.KeyValue {
		asked = append(asked, homes)
		if homes.Includes("us") {
			return peer
		}
		return nil
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	_, err := monitored.Read(ctx, "k", false)
	qt.Assert(t, err, qt.IsNotNil)
	asked = nil
	commit := bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{{Key: "k", Value: []byte("v")}}}
	_, err = monitored.Within(eu).Commit(ctx, commit)
	qt.Check(t, bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown), qt.IsTrue)
	_, _, err = monitored.Within(eu).Range(ctx, "k", false)
	qt.Check(t, err, qt.IsNotNil)
	_, err = monitored.Within(eu).Read(ctx, "k", false)
	qt.Check(t, err, qt.IsNotNil)
	for _, homes := range asked {
		qt.Check(t, homes == eu || homes.IsAny(), qt.IsTrue)
	}
	_, err = monitored.Within(bergamotgrade.NewHomes("us")).Commit(ctx, commit)
	qt.Check(t, err, qt.IsNil)
	_, err = monitored.Within(bergamotgrade.Homes{}).Commit(ctx, commit)
	qt.Check(t, err, qt.IsNil)
}
