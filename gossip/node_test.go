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

	"github.com/bergamotgrade/bergamotgrade"
)

// testNode is a node with the arrival time of the last state of each peer.
type testNode struct {
	*Node
	stop       context.CancelFunc
	mu         sync.Mutex
	receivedAt map[string]time.Time
	loads      map[string]int
	load       int
}

func (n *testNode) status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{VM: VMState{VMID: n.config.VMID, Incarnation: 1, Callers: true}, Load: []ServerLoad{{ServerID: "e", Online: n.load}}}
}

func (n *testNode) record(report Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, state := range report.VMs {
		n.receivedAt[state.VMID] = time.Now()
	}
	if report.Current {
		n.loads[report.DataCentre] = 0
		for _, load := range report.Load {
			n.loads[report.DataCentre] += load.Online
		}
	}
}

// seenLoad returns the load of all other VMs.
func (n *testNode) seenLoad() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, load := range n.loads {
		total += load
	}
	return total
}

func (n *testNode) sent() int64 {
	if sent, ok := n.config.Metrics.Get("sent").(*expvar.Int); ok {
		return sent.Value()
	}
	return 0
}

// newTestNodes starts perDataCentre nodes in each data centre.
func newTestNodes(t *testing.T, dataCentres, perDataCentre int) []*testNode {
	var nodes []*testNode
	var running sync.WaitGroup
	all := map[string]Peer{}
	for d := range dataCentres {
		for i := range perDataCentre {
			n := &testNode{receivedAt: map[string]time.Time{}, loads: map[string]int{}}
			id, self := fmt.Sprintf("vm%d-%d", d, i), Peer{Address: "127.0.0.1:0", DataCentre: fmt.Sprint(d)}
			node, err := New(Config{
				VMID: id, Incarnation: 1, Self: self, Status: n.status, Receive: n.record,
				Preempt: func([]bergamotgrade.BatchRuns) []bergamotgrade.BatchRuns { return nil },
				Metrics: new(expvar.Map).Init(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			qt.Assert(t, err, qt.IsNil)
			n.Node = node
			all[id] = Peer{Address: node.conn.LocalAddr().String(), DataCentre: self.DataCentre}
			nodes = append(nodes, n)
		}
	}
	for _, n := range nodes {
		peers := map[string]Peer{}
		for id, p := range all {
			if id != n.config.VMID {
				peers[id] = p
			}
		}
		n.SetPeers(peers)
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		running.Go(func() { n.RunSender(ctx) })
		running.Go(func() { n.RunReceiver(ctx) })
	}
	t.Cleanup(func() {
		for _, n := range nodes {
			n.stop()
		}
		running.Wait()
	})
	return nodes
}

// waitFresh waits until each live node has heard of all other live ones within maxAge.
func waitFresh(t *testing.T, nodes []*testNode, within, maxAge time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		missing, oldest, detail := 0, time.Duration(0), ""
		for _, n := range nodes {
			n.mu.Lock()
			for _, other := range nodes {
				at, ok := n.receivedAt[other.config.VMID]
				switch {
				case other == n:
				case !ok:
					missing++
				default:
					if age := time.Since(at); age > oldest {
						oldest, detail = age, n.config.VMID+" of "+other.config.VMID
					}
				}
			}
			n.mu.Unlock()
		}
		if missing == 0 && oldest < maxAge {
			return
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d peers not received, oldest state %s: %s", missing, oldest, detail))
	}
}

// Every VM receives the states of all others and continues to receive them. Other packages
// treat a peer as unreachable after 700 ms without news.
func TestStatesReachAllNodes(t *testing.T) {
	nodes := newTestNodes(t, 3, 7)
	time.Sleep(2 * time.Second)
	waitFresh(t, nodes, 3*time.Second, 700*time.Millisecond)
}

// When both hubs of a data centre end at once, its VMs turn to others within a second.
func TestHubsEnd(t *testing.T) {
	nodes := newTestNodes(t, 2, 6)
	waitFresh(t, nodes, 5*time.Second, 700*time.Millisecond)
	nodes[0].Node.mu.Lock()
	hubs := append([]string{}, nodes[0].reportedTo...)
	nodes[0].Node.mu.Unlock()
	qt.Assert(t, hubs, qt.HasLen, hubsPerDataCentre)
	var live []*testNode
	for _, n := range nodes {
		if n.config.VMID == hubs[0] || n.config.VMID == hubs[1] {
			n.stop()
			continue
		}
		live = append(live, n)
	}
	time.Sleep(time.Second)
	waitFresh(t, live, 500*time.Millisecond, 700*time.Millisecond)
}

// Load changes reach all VMs; a VM's own load is not in what it hears of the others.
func TestLoadReachesAllNodes(t *testing.T) {
	nodes := newTestNodes(t, 3, 5)
	total := 0
	for i, n := range nodes {
		n.mu.Lock()
		n.load = i + 1
		n.mu.Unlock()
		n.Trigger()
		total += i + 1
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		wrong := 0
		for i, n := range nodes {
			if n.seenLoad() != total-(i+1) {
				wrong++
			}
		}
		if wrong == 0 {
			return
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d VMs have another load", wrong))
	}
}

// With continuous changes, the datagrams of a hub stay within its budget and those of any
// other VM within the budget of its statuses, independent of the number of VMs: the mean
// over all VMs is the same for small and large data centres, or lower.
func TestDatagramsAreBounded(t *testing.T) {
	const span = 2 * time.Second
	mean := func(perDataCentre int) float64 {
		nodes := newTestNodes(t, 3, perDataCentre)
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for _, n := range nodes {
				n.Trigger()
			}
		}
		total := int64(0)
		for _, n := range nodes {
			sent := n.sent()
			total += sent
			statuses := hubsPerDataCentre * (statusBurst + int(span.Seconds())*statusesPerSecond)
			// A round goes out before its wait, and VMs with another primary hub get a digest
			// in each slowInterval on top.
			budget := localDatagramsPerSecond + forwardDatagramsPerSecond + remoteDatagramsPerSecond
			digests := 3*datagramBurst + int(span.Seconds())*budget + 4*perDataCentre + int(span/slowInterval+1)*perDataCentre
			qt.Assert(t, int(sent) <= statuses+digests, qt.IsTrue, qt.Commentf("%s sent %d datagrams", n.config.VMID, sent))
		}
		for _, n := range nodes {
			n.stop()
		}
		return float64(total) / float64(len(nodes))
	}
	few, many := mean(10), mean(25)
	qt.Assert(t, many <= few*1.2, qt.IsTrue, qt.Commentf("%.0f datagrams a VM of 30, %.0f of 75", few, many))
}

// All VMs choose the same hubs, the strongest ones, whoever is asked.
func TestHubChoice(t *testing.T) {
	var candidates []peer
	for i := range 30 {
		candidates = append(candidates, peer{id: fmt.Sprint("vm", i), weight: []float64{0.2, 0.8, 0.5}[i%3]})
	}
	sortCandidates(candidates)
	primaries := map[string]int{}
	for i := range 30 {
		choice := newHubChoice(fmt.Sprint("vm", i))
		picked := choice.pick(testStart, candidates)
		qt.Assert(t, picked, qt.HasLen, hubsPerDataCentre)
		for _, p := range picked {
			qt.Assert(t, p.weight, qt.Equals, 0.8)
			qt.Assert(t, p.id == candidates[0].id || p.id == candidates[1].id, qt.IsTrue)
		}
		primaries[picked[0].id]++
	}
	qt.Assert(t, primaries, qt.HasLen, hubsPerDataCentre)
	// A hub that does not list the VM is passed over and tried again later.
	choice := newHubChoice("vm0")
	first := candidates[0].id
	choice.pick(testStart, candidates)
	choice.listed(testStart.Add(hubTimeout), candidates[1].id)
	now := testStart.Add(hubTimeout + time.Millisecond)
	isPicked := func(picked []peer, id string) bool {
		for _, p := range picked {
			if p.id == id {
				return true
			}
		}
		return false
	}
	qt.Assert(t, isPicked(choice.pick(now, candidates), first), qt.IsFalse)
	qt.Assert(t, isPicked(choice.pick(now, candidates), candidates[1].id), qt.IsTrue)
	qt.Assert(t, isPicked(choice.pick(now.Add(hubRetryInterval), candidates), first), qt.IsTrue)
}
