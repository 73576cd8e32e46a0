package gossip

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// heartbeatInterval is the longest pause between two messages.
	heartbeatInterval = 250 * time.Millisecond
	// coalesce is how long changes are gathered into one message.
	coalesce = 3 * time.Millisecond
	// maxDatagram bounds a received message.
	maxDatagram = 64 << 10
	// partnersPerDataCentre is the number of VMs of another data centre that hear
	// a VM directly. With four, news still arrives while two of them are lost and
	// the link to a third is cut.
	partnersPerDataCentre = 4
	// nearPerSecond and farPerSecond bound the datagrams that one VM sends within
	// its data centre and to others. Engines are shared within a data centre
	// first, so news has to be fresh there; traffic between them costs more.
	nearPerSecond = 250
	farPerSecond  = 120
	// burst is the number of datagrams that may go out at one instant: a round to
	// the largest data centre.
	burst = 128
)

// Peer is where another VM is reached.
type Peer struct {
	// Address is host:port.
	Address    string
	DataCentre string
}

// peer is a Peer with its address resolved.
type peer struct {
	id         string
	address    *net.UDPAddr
	dataCentre string
}

// Node sends this VM's account to its peers and receives theirs. All VMs of its
// data centre hear it, and some of each other one, which pass it on there.
type Node struct {
	conn       *net.UDPConn
	dataCentre string
	vmID       string
	account    func() Message
	receive    func(Message)
	metrics    *expvar.Map
	log        *slog.Logger
	near, far  *lane
	forwarder  *forwarder

	mu       sync.Mutex
	peers    map[string]peer
	sequence uint64
	// newest holds the sequence of the last message of each peer, by which
	// messages that were overtaken are dropped.
	newest map[string]position
}

type position struct {
	incarnation int64
	sequence    uint64
}

// before reports whether the position is older than the other.
func (p position) before(other position) bool {
	return p.incarnation < other.incarnation || (p.incarnation == other.incarnation && p.sequence < other.sequence)
}

// New returns a node of the VM that listens at its address. account returns this
// VM's account, receive takes those of peers.
func New(vmID string, self Peer, account func() Message, receive func(Message), metrics *expvar.Map, log *slog.Logger) (*Node, error) {
	local, err := net.ResolveUDPAddr("udp4", self.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	n := &Node{
		conn: conn, vmID: vmID, dataCentre: self.DataCentre, account: account, receive: receive, metrics: metrics, log: log,
		peers: map[string]peer{}, newest: map[string]position{},
	}
	n.near, n.far = newLane(n, nearPerSecond), newLane(n, farPerSecond)
	n.forwarder = newForwarder(n)
	return n, nil
}

// SetPeers replaces the peers by VM.
func (n *Node) SetPeers(addresses map[string]Peer) {
	peers := make(map[string]peer, len(addresses))
	for id, p := range addresses {
		parsed, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			n.log.Warn("peer has no usable address", "vm", id, "address", p.Address, "cause", err.Error())
			continue
		}
		peers[id] = peer{id: id, address: parsed, dataCentre: p.DataCentre}
	}
	near, far := targets(n.vmID, n.dataCentre, peers)
	n.mu.Lock()
	n.peers = peers
	n.mu.Unlock()
	n.near.setTargets(near)
	n.far.setTargets(far)
	n.forwarder.setPeers(near)
}

// targets returns the peers of the VM's data centre, and its partners in the
// others: those with the highest rendezvous scores.
func targets(vmID, dataCentre string, peers map[string]peer) (near, far []peer) {
	others := map[string][]peer{}
	for _, p := range peers {
		if p.dataCentre == dataCentre {
			near = append(near, p)
		} else {
			others[p.dataCentre] = append(others[p.dataCentre], p)
		}
	}
	for _, there := range others {
		slices.SortFunc(there, func(a, b peer) int {
			if partnerScore(vmID, a.id) > partnerScore(vmID, b.id) {
				return -1
			}
			return 1
		})
		far = append(far, there[:min(partnersPerDataCentre, len(there))]...)
	}
	return near, far
}

func partnerScore(vmID, partnerID string) uint64 { return xxhash.Sum64String(vmID + ">" + partnerID) }

// Changed has this VM's account sent soon. It never blocks.
func (n *Node) Changed() {
	n.near.changed()
	n.far.changed()
}

// RunSender sends accounts until the context ends.
func (n *Node) RunSender(ctx context.Context) {
	var lanes sync.WaitGroup
	lanes.Go(func() { n.near.run(ctx) })
	lanes.Go(func() { n.far.run(ctx) })
	lanes.Go(func() { n.forwarder.run(ctx) })
	lanes.Wait()
}

// next returns this VM's account as it is now.
func (n *Node) next() Message {
	message := n.account()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	message.Sequence = n.sequence
	return message
}

// send sends the datagram to the peers.
func (n *Node) send(data []byte, to []peer) {
	for _, p := range to {
		// A peer that cannot be reached shows by its own silence.
		if _, err := n.conn.WriteToUDP(data, p.address); err != nil {
			n.metrics.Add("send_failed", 1)
		}
	}
	n.metrics.Add("sent", int64(len(to)))
	n.metrics.Add("sent_bytes", int64(len(to)*len(data)))
}

// RunReceiver takes the accounts of peers until the context ends.
func (n *Node) RunReceiver(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// An unreachable peer's ICMP answer shows here; the socket still works.
			n.metrics.Add("receive_failed", 1)
			time.Sleep(coalesce)
			continue
		}
		n.take(buffer[:size], from)
	}
}

// take takes one datagram: an account, or several that a neighbour passes on.
func (n *Node) take(data []byte, from *net.UDPAddr) {
	for len(data) > 0 {
		message, size, err := Decode(data)
		if err != nil || message.VMID == "" {
			n.metrics.Add("undecodable", 1)
			return
		}
		raw := data[:size]
		data = data[size:]
		if message.VMID == n.vmID {
			continue
		}
		at := position{message.Incarnation, message.Sequence}
		n.mu.Lock()
		sender, known := n.peers[message.VMID]
		isNews := n.newest[message.VMID].before(at)
		if isNews {
			n.newest[message.VMID] = at
		}
		n.mu.Unlock()
		if direct := !known || sender.address.IP.Equal(from.IP) && sender.address.Port == from.Port; !direct {
			n.forwarder.heard(message.VMID, at)
		} else if isNews && known && sender.dataCentre != n.dataCentre {
			n.forwarder.add(message.VMID, at, raw)
		}
		if isNews {
			n.receive(message)
		}
	}
}
