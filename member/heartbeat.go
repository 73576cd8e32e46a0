package member

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

func (k *Keeper) runHeartbeats(ctx context.Context) {
	runPeriodically(ctx, heartbeatInterval, k.heartbeatRequested, func() {
		var round sync.WaitGroup
		for _, m := range k.nextHeartbeatPeers() {
			round.Go(func() { k.heartbeat(ctx, m) })
		}
		round.Wait()
	})
}

// nextHeartbeatPeers returns the members that the next round reaches, chosen in rotation.
func (k *Keeper) nextHeartbeatPeers() []bergamotgrade.VMRecord {
	platformReachable := k.PlatformAnswers()
	k.mu.Lock()
	defer k.mu.Unlock()
	fanout := heartbeatFanout
	if !platformReachable || k.renewalFailing || !k.liveness.LeaseValid(k.clock.Now()) {
		fanout = outageFanout
	}
	var others []bergamotgrade.VMRecord
	for _, m := range k.table.Members {
		if m.Incarnation != k.self.Incarnation {
			others = append(others, m)
		}
	}
	if len(others) <= fanout {
		return others
	}
	round := make([]bergamotgrade.VMRecord, 0, fanout)
	for range fanout {
		k.nextPeerIndex = (k.nextPeerIndex + 1) % len(others)
		round = append(round, others[k.nextPeerIndex])
	}
	return round
}

func (k *Keeper) ownHeartbeat() vm.Heartbeat {
	revision, jobs := k.revision(), k.jobs()
	k.mu.Lock()
	defer k.mu.Unlock()
	return vm.Heartbeat{VMID: k.self.VMID, Incarnation: k.self.Incarnation, Revision: revision, TableEpoch: k.table.Epoch, Leaving: k.leaving, Jobs: jobs}
}

func (k *Keeper) heartbeat(ctx context.Context, peer bergamotgrade.VMRecord) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	own := k.ownHeartbeat()
	sentAt := k.clock.Now()
	answer, err := k.peers.Heartbeat(ctx, peer.InnerAddress, own)
	k.mu.Lock()
	k.unanswered[peer.Incarnation] = err != nil || answer.Incarnation != peer.Incarnation
	if k.unanswered[peer.Incarnation] {
		k.mu.Unlock()
		return
	}
	if !answer.Refused {
		k.liveness.RecordReply(peer.Incarnation, sentAt)
	}
	k.recordHeartbeat(answer.Heartbeat)
	k.mu.Unlock()
	if answer.Revision > own.Revision || answer.PendingRevision > own.Revision {
		k.onNewerConfiguration(peer.InnerAddress)
	}
}

// recordHeartbeat stores what a heartbeat reports of its sender. The caller holds the
// lock.
func (k *Keeper) recordHeartbeat(received vm.Heartbeat) {
	k.jobCounts[received.Incarnation] = received.Jobs
	k.configurationRevisions[received.Incarnation] = max(k.configurationRevisions[received.Incarnation], received.Revision)
	if received.TableEpoch > k.table.Epoch {
		k.tableReadAt = k.tableReadAt.Add(-tableRefreshInterval) // makes the next refresh read the table
	}
}

// Heartbeat answers the heartbeat of another member.
func (k *Keeper) Heartbeat(call vm.Heartbeat) vm.HeartbeatAnswer {
	own := k.ownHeartbeat()
	k.mu.Lock()
	defer k.mu.Unlock()
	answered := k.liveness.AcceptHeartbeat(call.Incarnation, k.clock.Now())
	k.recordHeartbeat(call)
	return vm.HeartbeatAnswer{Heartbeat: own, Refused: !answered}
}
