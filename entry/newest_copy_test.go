package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/follow"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// TestStartTakesNewestCopy guards against a VM that starts while the store is down and takes the copy of
// the first peer that answers: one that was cut off does not know of an evacuation yet.
func TestStartTakesNewestCopy(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sources []string
	for _, revision := range []int64{5, 9, 7} {
		server := vm.NewFuncServer("", func(context.Context, string, *json.RawMessage) (any, error) {
			return follow.Copy{Revision: revision}, nil
		}, NewMetrics().Map("inner"))
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go server.Run(ctx, listener)
		sources = append(sources, listener.Addr().String())
	}
	sources = append(sources, "127.0.0.1:1")
	log := slog.New(slog.DiscardHandler)
	n := &Node{peers: vm.NewPeers("", NewMetrics().Map("inner")), view: newView(bergamotgrade.SystemClock{}, "vm1", 1, true, regions{}, limit.Tolerance{}, log)}
	copied, ok := n.newestCopy(ctx, "op/", sources)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, copied.Revision, qt.Equals, int64(9))
	_, ok = n.newestCopy(ctx, "op/", sources[3:])
	qt.Assert(t, ok, qt.IsFalse)
}
