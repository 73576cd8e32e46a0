package quarantine

import (
	"context"
	"log/slog"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/follow"
)

// NewStoreMirror returns a mirror that keeps the guard's records up to date by watches of the
// store, for VMs that don't fetch copies from each other.
func NewStoreMirror(store bergamotgrade.KeyValue, clock bergamotgrade.Clock, guard *Guard, log *slog.Logger) *follow.Mirror {
	noPeer := func(bergamotgrade.Homes) bergamotgrade.KeyValue { return nil }
	return follow.NewMirror(follow.NewMonitoredStore(store, clock, noPeer, log), clock, Prefix, follow.StartAtOnce, 0, follow.LongWatchWait, noPeers{}, guard.SetEntries, log)
}

// noPeers implements follow.Peers for a VM that watches the store itself.
type noPeers struct{}

// FetchCopy implements follow.Peers.
func (noPeers) FetchCopy(context.Context, string, follow.Position) (follow.Copy, bool) {
	return follow.Copy{}, false
}

// Source implements follow.Peers.
func (noPeers) Source(string) (follow.Source, bool) { return follow.Source{}, false }

// CopyFrom implements follow.Peers.
func (noPeers) CopyFrom(context.Context, string, string, follow.Position) (follow.Copy, error) {
	return follow.Copy{}, bergamotgrade.NewError(bergamotgrade.KindInternal, "this VM has no peers to fetch from", "read the store")
}

// Joined implements follow.Peers.
func (noPeers) Joined() bool { return true }
