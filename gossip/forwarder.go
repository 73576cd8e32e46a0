package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// forwardInterval is the mean pause between two rounds of passing accounts on.
	forwardInterval = 200 * time.Millisecond
	// maxForward is the size from which accounts go into a further datagram: one
	// packet of an ordinary network.
	maxForward = 1400
)

// forwarder passes accounts of VMs of other data centres on within its own, where
// only some VMs hear them directly. An account that a neighbour has passed on
// meanwhile is left out.
type forwarder struct {
	node *Node

	mu      sync.Mutex
	peers   []peer
	pending map[string]forward
	// passed holds the newest position of each VM that neighbours have passed on.
	passed map[string]position
}

// forward is one account that is to be passed on.
type forward struct {
	at   position
	data []byte
}

func newForwarder(node *Node) *forwarder {
	return &forwarder{node: node, pending: map[string]forward{}, passed: map[string]position{}}
}

// setPeers sets the other VMs of the data centre. Where they are few, each is a
// partner of every other VM and nothing has to be passed on.
func (f *forwarder) setPeers(near []peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = nil
	if len(near) >= partnersPerDataCentre {
		f.peers = near
	}
}

// add takes an account that its VM has sent to this one.
func (f *forwarder) add(vmID string, at position, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.peers) > 0 {
		f.pending[vmID] = forward{at: at, data: slices.Clone(data)}
	}
}

// heard notes that a neighbour has passed an account on.
func (f *forwarder) heard(vmID string, at position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.passed[vmID].before(at) {
		f.passed[vmID] = at
	}
}

// run passes accounts on until the context ends.
func (f *forwarder) run(ctx context.Context) {
	for {
		// Different pauses let one neighbour hear what another has passed on.
		pause := forwardInterval/2 + time.Duration(rand.Int64N(int64(forwardInterval)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		datagrams, peers := f.take()
		for _, data := range datagrams {
			f.node.send(data, peers)
		}
	}
}

// take returns the pending accounts, packed into datagrams.
func (f *forwarder) take() (datagrams [][]byte, peers []peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var data []byte
	for vmID, account := range f.pending {
		if !f.passed[vmID].before(account.at) {
			continue
		}
		if len(data) > 0 && len(data)+len(account.data) > maxForward {
			datagrams = append(datagrams, data)
			data = nil
		}
		data = append(data, account.data...)
	}
	if len(data) > 0 {
		datagrams = append(datagrams, data)
	}
	clear(f.pending)
	return datagrams, f.peers
}
