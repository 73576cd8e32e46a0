package entry

import (
	"context"
	"time"
)

// runMaintenance starts requests that waited for time to pass, removes peers whose gossip has stopped, confirms a retirement and closes
// idle connections.
func (n *Node) runMaintenance(ctx context.Context) {
	ticker, wake := time.NewTicker(maintenanceInterval), time.NewTicker(wakeInterval)
	defer ticker.Stop()
	defer wake.Stop()
	pruneAt := n.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
			n.scheduler.StartWaiting()
			continue
		case <-ticker.C:
		}
		n.scheduler.ExpirePeers()
		n.logCold()
		n.updateShares()
		n.logSpeedChanges()
		n.confirmRetirement(ctx)
		if now := n.clock.Now(); now.After(pruneAt) {
			pruneAt = now.Add(pruneInterval)
			n.backend.Prune(now, n.serverRecords())
			n.metrics.pruneServers(n.serverRecords())
		}
	}
}
