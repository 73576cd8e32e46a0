package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// forwardInterval is the mean pause between two rounds of forwarding.
	forwardInterval = 200 * time.Millisecond
	// maxForwardBytes bounds a datagram of several forwarded messages, so that it fits into
	// one packet at the MTU of an ordinary network.
	maxForwardBytes = 1400
)

// forwarder forwards messages from other data centres to the VMs of its own, since only
// some of these receive them directly. It skips messages that another VM of the data
// centre has already forwarded.
type forwarder struct {
	node *Node

	mu      sync.Mutex
	peers   []peer
	pending map[string]pendingMessage
	// forwarded holds, by sending VM, the stamp of the latest message that another VM has
	// forwarded.
	forwarded map[string]messageStamp
}

// pendingMessage is an encoded message to be forwarded.
type pendingMessage struct {
	stamp messageStamp
	data  []byte
}

func newForwarder(node *Node) *forwarder {
	return &forwarder{node: node, pending: map[string]pendingMessage{}, forwarded: map[string]messageStamp{}}
}

// setPeers sets the other VMs of the data centre. If the data centre has at most
// partnersPerDataCentre VMs, each remote VM sends to all of them and nothing is forwarded.
func (f *forwarder) setPeers(local []peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = nil
	if len(local) >= partnersPerDataCentre {
		f.peers = local
	}
}

// add queues a message that this VM has received directly from its sender.
func (f *forwarder) add(vmID string, stamp messageStamp, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.peers) > 0 {
		f.pending[vmID] = pendingMessage{stamp: stamp, data: slices.Clone(data)}
	}
}

// markForwarded records that another VM of the data centre has forwarded a message.
func (f *forwarder) markForwarded(vmID string, stamp messageStamp) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forwarded[vmID].before(stamp) {
		f.forwarded[vmID] = stamp
	}
}

// run forwards messages until the context ends.
func (f *forwarder) run(ctx context.Context) {
	for {
		// Random pauses let a VM receive the messages that another VM forwards, and skip them.
		pause := forwardInterval/2 + time.Duration(rand.Int64N(int64(forwardInterval)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		datagrams, peers := f.takePending()
		for _, data := range datagrams {
			f.node.send(data, peers)
		}
	}
}

// takePending removes the pending messages and returns them packed into datagrams, without
// those that another VM has forwarded, and the peers to send them to.
func (f *forwarder) takePending() (datagrams [][]byte, peers []peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var data []byte
	for vmID, message := range f.pending {
		if !f.forwarded[vmID].before(message.stamp) {
			continue
		}
		if len(data) > 0 && len(data)+len(message.data) > maxForwardBytes {
			datagrams = append(datagrams, data)
			data = nil
		}
		data = append(data, message.data...)
	}
	if len(data) > 0 {
		datagrams = append(datagrams, data)
	}
	clear(f.pending)
	return datagrams, f.peers
}
