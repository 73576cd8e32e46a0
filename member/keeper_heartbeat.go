package member

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

func (k *Keeper) loopHeartbeat(ctx context.Context) {
	every(ctx, heartbeatInterval, k.nudged, func() {
		var round sync.WaitGroup
		for _, m := range k.nextPeers() {
			round.Go(func() { k.heartbeat(ctx, m) })
		}
		round.Wait()
	})
}

// nextPeers returns the members of the next round, in turn.
func (k *Keeper) nextPeers() []bergamotgrade.VMRecord {
	answers := k.PlatformAnswers()
	k.mu.Lock()
	defer k.mu.Unlock()
	fanout := heartbeatFanout
	if !answers || k.renewFails || !k.contact.LeaseHolds(k.clock.Now()) {
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
		k.nextPeer = (k.nextPeer + 1) % len(others)
		round = append(round, others[k.nextPeer])
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
	k.failed[peer.Incarnation] = err != nil || answer.Incarnation != peer.Incarnation
	if k.failed[peer.Incarnation] {
		k.mu.Unlock()
		return
	}
	if !answer.Refused {
		k.contact.Heard(peer.Incarnation, sentAt)
	}
	k.learn(answer.Heartbeat)
	k.mu.Unlock()
	if answer.Revision > own.Revision || answer.PendingRevision > own.Revision {
		k.onNews(peer.InnerAddress)
	}
}

// learn takes what a heartbeat says of its sender; the caller holds the lock.
func (k *Keeper) learn(beat vm.Heartbeat) {
	k.jobCounts[beat.Incarnation] = beat.Jobs
	k.revisions[beat.Incarnation] = max(k.revisions[beat.Incarnation], beat.Revision)
	if beat.TableEpoch > k.table.Epoch {
		k.tableReadAt = k.tableReadAt.Add(-tableInterval) // read it in the next round
	}
}

// Heartbeat answers the heartbeat of another member.
func (k *Keeper) Heartbeat(call vm.Heartbeat) vm.HeartbeatAnswer {
	own := k.ownHeartbeat()
	k.mu.Lock()
	defer k.mu.Unlock()
	answered := k.contact.Answer(call.Incarnation, k.clock.Now())
	k.learn(call)
	return vm.HeartbeatAnswer{Heartbeat: own, Refused: !answered}
}
