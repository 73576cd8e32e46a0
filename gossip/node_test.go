package gossip

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testNode is a node with the arrival time of the last message of each peer.
type testNode struct {
	*Node
	mu         sync.Mutex
	receivedAt map[string]time.Time
	load       int
}

func (n *testNode) ownStatus() Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Message{VMID: n.vmID, Incarnation: 1, Load: []ServerLoad{{ServerID: "e", Online: n.load}}}
}

func (n *testNode) record(message Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receivedAt[message.VMID] = time.Now()
}

// newTestNodes starts perDataCentre nodes in each data centre.
func newTestNodes(t *testing.T, dataCentres, perDataCentre int) []*testNode {
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []*testNode
	var running sync.WaitGroup
	all := map[string]Peer{}
	for d := range dataCentres {
		for i := range perDataCentre {
			n := &testNode{receivedAt: map[string]time.Time{}}
			id, self := fmt.Sprintf("vm%d-%d", d, i), Peer{Address: "127.0.0.1:0", DataCentre: fmt.Sprint(d)}
			node, err := New(id, self, n.ownStatus, n.record, new(expvar.Map).Init(), slog.New(slog.NewTextHandler(io.Discard, nil)))
			qt.Assert(t, err, qt.IsNil)
			n.Node = node
			all[id] = Peer{Address: node.conn.LocalAddr().String(), DataCentre: self.DataCentre}
			nodes = append(nodes, n)
		}
	}
	for _, n := range nodes {
		peers := map[string]Peer{}
		for id, p := range all {
			if id != n.vmID {
				peers[id] = p
			}
		}
		n.SetPeers(peers)
		running.Go(func() { n.RunSender(ctx) })
		running.Go(func() { n.RunReceiver(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return nodes
}

// In data centres with more VMs than partnersPerDataCentre, every VM receives messages of
// all others, and continues to receive them.
func TestMessagesReachAllNodes(t *testing.T) {
	nodes := newTestNodes(t, 3, 7)
	deadline := time.Now().Add(5 * time.Second)
	for time.Sleep(2 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		missing, oldest := 0, time.Duration(0)
		for _, n := range nodes {
			n.mu.Lock()
			missing += len(nodes) - 1 - len(n.receivedAt)
			for _, at := range n.receivedAt {
				oldest = max(oldest, time.Since(at))
			}
			n.mu.Unlock()
		}
		// Other packages treat a peer as unreachable after 700 ms without a message.
		if missing == 0 && oldest < 700*time.Millisecond {
			return
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d peers not received, oldest message %s", missing, oldest))
	}
}

// With continuous changes, the datagrams that a VM sends to other data centres stay within
// the limit, independent of the number of VMs.
func TestTrafficBetweenDataCentresIsBounded(t *testing.T) {
	nodes := newTestNodes(t, 3, 10)
	remote := map[string]bool{}
	for _, p := range nodes[0].remote.targets {
		remote[p.id] = true
	}
	qt.Assert(t, len(remote), qt.Equals, 2*partnersPerDataCentre)
	const span = 2 * time.Second
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Millisecond) {
		nodes[0].Trigger()
	}
	nodes[0].mu.Lock()
	rounds := nodes[0].sequence
	nodes[0].mu.Unlock()
	maxRounds := datagramBurst/len(nodes[0].remote.targets) + datagramBurst/len(nodes[0].local.targets) +
		int(span.Seconds())*(remoteDatagramsPerSecond/len(nodes[0].remote.targets)+localDatagramsPerSecond/len(nodes[0].local.targets)) + 4
	qt.Assert(t, int(rounds) <= maxRounds, qt.IsTrue, qt.Commentf("%d rounds, %d allowed", rounds, maxRounds))
}

// Partners are spread evenly over the VMs, and at most one changes when a VM joins.
func TestPartners(t *testing.T) {
	peers := map[string]peer{}
	for d := range 4 {
		for i := range 20 {
			id := fmt.Sprintf("vm%d-%d", d, i)
			peers[id] = peer{id: id, dataCentre: fmt.Sprint(d)}
		}
	}
	counts := map[string]int{}
	for id, self := range peers {
		local, remote := selectTargets(id, self.dataCentre, peers)
		qt.Assert(t, local, qt.HasLen, 20)
		qt.Assert(t, remote, qt.HasLen, 3*partnersPerDataCentre)
		for _, p := range remote {
			counts[p.id]++
		}
	}
	for id, count := range counts {
		qt.Assert(t, count >= 3 && count <= 27, qt.IsTrue, qt.Commentf("%s is a partner of %d VMs", id, count))
	}
	_, before := selectTargets("vm0-0", "0", peers)
	peers["vm1-new"] = peer{id: "vm1-new", dataCentre: "1"}
	_, after := selectTargets("vm0-0", "0", peers)
	kept := map[string]bool{}
	for _, p := range before {
		kept[p.id] = true
	}
	added := 0
	for _, p := range after {
		if !kept[p.id] {
			added++
		}
	}
	qt.Assert(t, added <= 1, qt.IsTrue)
}
