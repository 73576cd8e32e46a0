package gossip

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the longest pause between two messages.
	heartbeatInterval = 250 * time.Millisecond
	// coalesce is how long changes are gathered into one message.
	coalesce = 3 * time.Millisecond
	// maxDatagram bounds a received message.
	maxDatagram = 64 << 10
)

// Node sends this VM's account to its peers and receives theirs.
type Node struct {
	conn    *net.UDPConn
	account func() Message
	receive func(Message)
	metrics *expvar.Map
	log     *slog.Logger
	changed chan struct{}

	mu       sync.Mutex
	peers    map[string]*net.UDPAddr
	sequence uint64
	// newest holds the sequence of the last message of each peer, by which
	// messages that were overtaken are dropped.
	newest map[string]position
}

type position struct {
	incarnation int64
	sequence    uint64
}

// New returns a node that listens at the address (host:port). account returns
// this VM's account, receive takes those of peers.
func New(address string, account func() Message, receive func(Message), metrics *expvar.Map, log *slog.Logger) (*Node, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	return &Node{
		conn: conn, account: account, receive: receive, metrics: metrics, log: log,
		changed: make(chan struct{}, 1), peers: map[string]*net.UDPAddr{}, newest: map[string]position{},
	}, nil
}

// SetPeers replaces the peers: addresses (host:port) by VM.
func (n *Node) SetPeers(addresses map[string]string) {
	peers := make(map[string]*net.UDPAddr, len(addresses))
	for id, address := range addresses {
		parsed, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			n.log.Warn("peer has no usable address", "vm", id, "address", address, "cause", err.Error())
			continue
		}
		peers[id] = parsed
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = peers
}

// Changed has this VM's account sent soon. It never blocks.
func (n *Node) Changed() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// RunSender sends accounts until the context ends.
func (n *Node) RunSender(ctx context.Context) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-n.changed:
			time.Sleep(coalesce)
			select {
			case <-n.changed:
			default:
			}
		}
		n.send()
		heartbeat.Reset(heartbeatInterval)
	}
}

func (n *Node) send() {
	message := n.account()
	n.mu.Lock()
	n.sequence++
	message.Sequence = n.sequence
	peers := n.peers
	n.mu.Unlock()
	data, err := Encode(message)
	if err != nil {
		n.log.Error("account cannot be encoded", "cause", err.Error())
		return
	}
	for _, address := range peers {
		// A peer that cannot be reached shows by its own silence.
		if _, err := n.conn.WriteToUDP(data, address); err != nil {
			n.metrics.Add("send_failed", 1)
		}
	}
	n.metrics.Add("sent", int64(len(peers)))
	n.metrics.Add("sent_bytes", int64(len(peers)*len(data)))
}

// RunReceiver takes the accounts of peers until the context ends.
func (n *Node) RunReceiver(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := n.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			// An unreachable peer's ICMP answer shows here; the socket still works.
			n.metrics.Add("receive_failed", 1)
			time.Sleep(coalesce)
			continue
		}
		message, err := Decode(buffer[:size])
		if err != nil || message.VMID == "" {
			n.metrics.Add("undecodable", 1)
			continue
		}
		if n.isNews(message) {
			n.receive(message)
		}
	}
}

// isNews reports whether the message is newer than all before it.
func (n *Node) isNews(message Message) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.newest[message.VMID]
	if message.Incarnation < last.incarnation || (message.Incarnation == last.incarnation && message.Sequence <= last.sequence) {
		return false
	}
	n.newest[message.VMID] = position{message.Incarnation, message.Sequence}
	return true
}
