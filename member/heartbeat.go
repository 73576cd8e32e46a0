package member

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

func (m *Membership) runHeartbeats(ctx context.Context) {
	runPeriodically(ctx, heartbeatInterval, m.heartbeatRequested, func() {
		var round sync.WaitGroup
		for _, record := range m.nextHeartbeatPeers() {
			round.Go(func() { m.heartbeat(ctx, record) })
		}
		round.Wait()
	})
}

// nextHeartbeatPeers returns the members that the next round reaches, chosen in rotation.
func (m *Membership) nextHeartbeatPeers() []bergamotgrade.VMRecord {
	platformReachable := m.PlatformReachable()
	m.mu.Lock()
	defer m.mu.Unlock()
	fanout := heartbeatFanout
	if !platformReachable || m.renewalFailing || !m.liveness.LeaseValid(m.clock.Now()) {
		fanout = outageFanout
	}
	var others []bergamotgrade.VMRecord
	for _, record := range m.table.Members {
		if record.Incarnation != m.self.Incarnation {
			others = append(others, record)
		}
	}
	if len(others) <= fanout {
		return others
	}
	round := make([]bergamotgrade.VMRecord, 0, fanout)
	for range fanout {
		m.nextPeerIndex = (m.nextPeerIndex + 1) % len(others)
		round = append(round, others[m.nextPeerIndex])
	}
	return round
}

func (m *Membership) ownHeartbeat() vm.Heartbeat {
	revision, jobs := m.revision(), m.jobs()
	m.mu.Lock()
	defer m.mu.Unlock()
	return vm.Heartbeat{VMID: m.self.VMID, Incarnation: m.self.Incarnation, Revision: revision, TableEpoch: m.table.Epoch, Leaving: m.leaving, Jobs: jobs}
}

func (m *Membership) heartbeat(ctx context.Context, peer bergamotgrade.VMRecord) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	own := m.ownHeartbeat()
	sentAt := m.clock.Now()
	answer, err := m.peers.Heartbeat(ctx, peer.InnerAddress, own)
	m.mu.Lock()
	m.unanswered[peer.Incarnation] = err != nil || answer.Incarnation != peer.Incarnation
	if m.unanswered[peer.Incarnation] {
		m.mu.Unlock()
		return
	}
	if !answer.Refused {
		m.liveness.RecordReply(peer.Incarnation, sentAt)
	}
	m.recordHeartbeat(answer.Heartbeat)
	m.mu.Unlock()
	if answer.Revision > own.Revision || answer.PendingRevision > own.Revision {
		m.onNewerConfiguration(peer.InnerAddress)
	}
}

// recordHeartbeat stores what a heartbeat reports of its sender. The caller holds the
// lock.
func (m *Membership) recordHeartbeat(received vm.Heartbeat) {
	m.jobCounts[received.Incarnation] = received.Jobs
	m.configurationRevisions[received.Incarnation] = max(m.configurationRevisions[received.Incarnation], received.Revision)
	if received.TableEpoch > m.table.Epoch {
		m.tableReadAt = m.tableReadAt.Add(-tableRefreshInterval) // makes the next refresh read the table
	}
}

// Heartbeat answers the heartbeat of another member.
func (m *Membership) Heartbeat(call vm.Heartbeat) vm.HeartbeatAnswer {
	own := m.ownHeartbeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	answered := m.liveness.AcceptHeartbeat(call.Incarnation, m.clock.Now())
	m.recordHeartbeat(call)
	return vm.HeartbeatAnswer{Heartbeat: own, Refused: !answered}
}
