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

// testNode is one node and what it has heard.
type testNode struct {
	*Node
	mu    sync.Mutex
	heard map[string]time.Time
	load  int
}

func (n *testNode) own() Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Message{VMID: n.vmID, Incarnation: 1, Load: []ServerLoad{{ServerID: "e", Online: n.load}}}
}

func (n *testNode) take(message Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[message.VMID] = time.Now()
}

// newTestNodes starts so many nodes in each of the data centres.
func newTestNodes(t *testing.T, dataCentres, each int) []*testNode {
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []*testNode
	var running sync.WaitGroup
	all := map[string]Peer{}
	for d := range dataCentres {
		for i := range each {
			n := &testNode{heard: map[string]time.Time{}}
			id, self := fmt.Sprintf("vm%d-%d", d, i), Peer{Address: "127.0.0.1:0", DataCentre: fmt.Sprint(d)}
			node, err := New(id, self, n.own, n.take, new(expvar.Map).Init(), slog.New(slog.NewTextHandler(io.Discard, nil)))
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

// TestAllAreHeard: in data centres that are larger than the number of partners,
// every VM is heard by all others, and goes on to be.
func TestAllAreHeard(t *testing.T) {
	nodes := newTestNodes(t, 3, 7)
	deadline := time.Now().Add(5 * time.Second)
	for time.Sleep(2 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		missing, late := 0, time.Duration(0)
		for _, n := range nodes {
			n.mu.Lock()
			missing += len(nodes) - 1 - len(n.heard)
			for _, at := range n.heard {
				late = max(late, time.Since(at))
			}
			n.mu.Unlock()
		}
		// Accounts that are older than this count as silence elsewhere.
		if missing == 0 && late < 700*time.Millisecond {
			return
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d not heard, oldest %s", missing, late))
	}
}

// TestTrafficBetweenDataCentresIsBounded: with changes all the time, what a VM
// sends to other data centres stays within the budget, however many VMs there are.
func TestTrafficBetweenDataCentresIsBounded(t *testing.T) {
	nodes := newTestNodes(t, 3, 10)
	far := map[string]bool{}
	for _, p := range nodes[0].far.targets {
		far[p.id] = true
	}
	qt.Assert(t, len(far), qt.Equals, 2*partnersPerDataCentre)
	const span = 2 * time.Second
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Millisecond) {
		nodes[0].Changed()
	}
	nodes[0].mu.Lock()
	rounds := nodes[0].sequence
	nodes[0].mu.Unlock()
	most := burst/len(nodes[0].far.targets) + burst/len(nodes[0].near.targets) +
		int(span.Seconds())*(farPerSecond/len(nodes[0].far.targets)+nearPerSecond/len(nodes[0].near.targets)) + 4
	qt.Assert(t, int(rounds) <= most, qt.IsTrue, qt.Commentf("%d rounds, %d allowed", rounds, most))
}

// TestPartners: partners are spread evenly, and few change when a VM joins.
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
		near, far := targets(id, self.dataCentre, peers)
		qt.Assert(t, near, qt.HasLen, 20)
		qt.Assert(t, far, qt.HasLen, 3*partnersPerDataCentre)
		for _, p := range far {
			counts[p.id]++
		}
	}
	for id, count := range counts {
		qt.Assert(t, count >= 3 && count <= 27, qt.IsTrue, qt.Commentf("%s is a partner of %d", id, count))
	}
	_, before := targets("vm0-0", "0", peers)
	peers["vm1-new"] = peer{id: "vm1-new", dataCentre: "1"}
	_, after := targets("vm0-0", "0", peers)
	kept := map[string]bool{}
	for _, p := range before {
		kept[p.id] = true
	}
	fresh := 0
	for _, p := range after {
		if !kept[p.id] {
			fresh++
		}
	}
	qt.Assert(t, fresh <= 1, qt.IsTrue)
}
