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
	// heartbeatInterval is the longest pause between two messages to a peer.
	heartbeatInterval = 250 * time.Millisecond
	// coalesceDelay is how long changes are collected into one message.
	coalesceDelay = 3 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
	// partnersPerDataCentre is the number of VMs of another data centre to which a VM sends
	// directly. With four, messages still arrive while two of them have failed and the link
	// to a third is down.
	partnersPerDataCentre = 4
	// localDatagramsPerSecond and remoteDatagramsPerSecond bound the datagrams that a VM
	// sends within its data centre and to the others. Engines are used mainly from their own
	// data centre, so load must be current there; traffic between data centres costs more.
	localDatagramsPerSecond  = 250
	remoteDatagramsPerSecond = 120
	// datagramBurst is the number of datagrams that may be sent at once: one message to
	// each VM of the largest data centre.
	datagramBurst = 128
)

// Peer is the gossip address and the data centre of a VM.
type Peer struct {
	// Address is host:port.
	Address    string
	DataCentre string
}

// peer is a Peer with its id and its resolved address.
type peer struct {
	id         string
	address    *net.UDPAddr
	dataCentre string
}

// Node sends this VM's status to its peers and receives theirs. It sends to all VMs of its
// data centre and to some VMs of each other data centre, which forward the message there.
type Node struct {
	conn          *net.UDPConn
	dataCentre    string
	vmID          string
	status        func() Message
	receive       func(Message)
	metrics       *expvar.Map
	log           *slog.Logger
	local, remote *statusSender
	forwarder     *forwarder

	mu       sync.Mutex
	peers    map[string]peer
	sequence uint64
	// latest holds the stamp of the latest message of each peer; messages that arrive out
	// of order are dropped.
	latest map[string]messageStamp
}

// messageStamp orders the messages of one VM: by incarnation, then by sequence.
type messageStamp struct {
	incarnation int64
	sequence    uint64
}

// before reports whether the stamp is older than the other.
func (s messageStamp) before(other messageStamp) bool {
	return s.incarnation < other.incarnation || (s.incarnation == other.incarnation && s.sequence < other.sequence)
}

// New returns a node that listens at the address of self. status returns this VM's current
// status; receive is called with each newer message of a peer.
func New(vmID string, self Peer, status func() Message, receive func(Message), metrics *expvar.Map, log *slog.Logger) (*Node, error) {
	local, err := net.ResolveUDPAddr("udp4", self.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	n := &Node{
		conn: conn, vmID: vmID, dataCentre: self.DataCentre, status: status, receive: receive, metrics: metrics, log: log,
		peers: map[string]peer{}, latest: map[string]messageStamp{},
	}
	n.local, n.remote = newStatusSender(n, localDatagramsPerSecond), newStatusSender(n, remoteDatagramsPerSecond)
	n.forwarder = newForwarder(n)
	return n, nil
}

// SetPeers replaces the peers, given by VM id. Peers whose address does not resolve are
// logged and left out.
func (n *Node) SetPeers(addresses map[string]Peer) {
	peers := make(map[string]peer, len(addresses))
	for id, p := range addresses {
		parsed, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			n.log.Warn("peer address does not resolve; sending it no gossip", "vm", id, "address", p.Address, "cause", err.Error())
			continue
		}
		peers[id] = peer{id: id, address: parsed, dataCentre: p.DataCentre}
	}
	local, remote := selectTargets(n.vmID, n.dataCentre, peers)
	n.mu.Lock()
	n.peers = peers
	n.mu.Unlock()
	n.local.setTargets(local)
	n.remote.setTargets(remote)
	n.forwarder.setPeers(local)
}

// selectTargets returns the peers in the VM's data centre, and the VM's partners in each of
// the other data centres: the peers with the highest rendezvous hash scores.
func selectTargets(vmID, dataCentre string, peers map[string]peer) (local, remote []peer) {
	others := map[string][]peer{}
	for _, p := range peers {
		if p.dataCentre == dataCentre {
			local = append(local, p)
		} else {
			others[p.dataCentre] = append(others[p.dataCentre], p)
		}
	}
	for _, candidates := range others {
		slices.SortFunc(candidates, func(a, b peer) int {
			if partnerScore(vmID, a.id) > partnerScore(vmID, b.id) {
				return -1
			}
			return 1
		})
		remote = append(remote, candidates[:min(partnersPerDataCentre, len(candidates))]...)
	}
	return local, remote
}

func partnerScore(vmID, partnerID string) uint64 { return xxhash.Sum64String(vmID + ">" + partnerID) }

// Trigger schedules a message with this VM's current status. It never blocks.
func (n *Node) Trigger() {
	n.local.trigger()
	n.remote.trigger()
}

// RunSender sends and forwards messages until the context ends.
func (n *Node) RunSender(ctx context.Context) {
	var senders sync.WaitGroup
	senders.Go(func() { n.local.run(ctx) })
	senders.Go(func() { n.remote.run(ctx) })
	senders.Go(func() { n.forwarder.run(ctx) })
	senders.Wait()
}

// nextMessage returns this VM's current status with the next sequence number.
func (n *Node) nextMessage() Message {
	message := n.status()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	message.Sequence = n.sequence
	return message
}

// send sends the datagram to the peers.
func (n *Node) send(data []byte, to []peer) {
	for _, p := range to {
		// An unreachable peer is detected by the absence of its own messages.
		if _, err := n.conn.WriteToUDP(data, p.address); err != nil {
			n.metrics.Add("send_failed", 1)
		}
	}
	n.metrics.Add("sent", int64(len(to)))
	n.metrics.Add("sent_bytes", int64(len(to)*len(data)))
}

// RunReceiver receives the messages of peers until the context ends.
func (n *Node) RunReceiver(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// An ICMP error from an unreachable peer is returned here; the socket still works.
			n.metrics.Add("receive_failed", 1)
			time.Sleep(coalesceDelay)
			continue
		}
		n.handleDatagram(buffer[:size], from)
	}
}

// handleDatagram handles one datagram: one message of its sender, or several messages that
// another VM of the data centre forwards.
func (n *Node) handleDatagram(data []byte, from *net.UDPAddr) {
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
		stamp := messageStamp{message.Incarnation, message.Sequence}
		n.mu.Lock()
		sender, known := n.peers[message.VMID]
		isNewer := n.latest[message.VMID].before(stamp)
		if isNewer {
			n.latest[message.VMID] = stamp
		}
		n.mu.Unlock()
		if direct := !known || sender.address.IP.Equal(from.IP) && sender.address.Port == from.Port; !direct {
			n.forwarder.markForwarded(message.VMID, stamp)
		} else if isNewer && known && sender.dataCentre != n.dataCentre {
			n.forwarder.add(message.VMID, stamp, raw)
		}
		if isNewer {
			n.receive(message)
		}
	}
}
