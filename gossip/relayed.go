package gossip

import (
	"slices"
	"time"
)

// relayed holds the digests of other data centres that a hub forwards to the VMs that
// report to it.
type relayed struct {
	hubs map[string]*relayedHub
	// forwarded and slowForwarded hold the forwarded hub of each data centre, for VMs with
	// this hub as primary one, and for the others.
	forwarded, slowForwarded map[string]string
}

// relayedHub holds the digests of one hub, encoded.
type relayedHub struct {
	// latest is the last digest, full the last one that holds the roster.
	latest, full []byte
	dataCentre   string
	// pending and slowPending hold what is still to be forwarded to VMs with this hub as
	// primary one, and to the others.
	pending, slowPending pendingDigests
}

// pendingDigests holds at most two digests: the last one that holds the roster, and the
// last one after it.
type pendingDigests struct{ full, latest []byte }

func (p *pendingDigests) add(data []byte, full bool) {
	if full {
		*p = pendingDigests{full: data}
		return
	}
	p.latest = data
}

func newRelayed() *relayed {
	return &relayed{hubs: map[string]*relayedHub{}, forwarded: map[string]string{}, slowForwarded: map[string]string{}}
}

// add queues a digest that is newer than the last one of its hub.
func (r *relayed) add(digest Digest, raw []byte) {
	hub, ok := r.hubs[digest.HubID]
	if !ok {
		hub = &relayedHub{dataCentre: digest.DataCentre}
		r.hubs[digest.HubID] = hub
	}
	data := slices.Clone(raw)
	hub.latest = data
	full := digest.Roster != nil
	if full {
		hub.full = data
	}
	hub.pending.add(data, full)
	hub.slowPending.add(data, full)
}

// take returns the digests to forward now. Of each data centre only one hub is forwarded.
func (r *relayed) take(now time.Time, tracker *tracker, primary bool) [][]byte {
	forwarded := r.forwarded
	if !primary {
		forwarded = r.slowForwarded
	}
	var digests [][]byte
	for id, hub := range r.hubs {
		live := tracker.hubsOf(now, hub.dataCentre)
		if len(live) == 0 {
			delete(r.hubs, id)
			continue
		}
		pending := &hub.pending
		if !primary {
			pending = &hub.slowPending
		}
		if live[0] == id {
			if forwarded[hub.dataCentre] != id && pending.full == nil {
				pending.full = hub.full // the VMs may not have the roster of this hub
			}
			forwarded[hub.dataCentre] = id
			for _, data := range [][]byte{pending.full, pending.latest} {
				if data != nil {
					digests = append(digests, data)
				}
			}
		}
		*pending = pendingDigests{}
	}
	return digests
}

// full returns for each hub the last digest that holds the roster.
func (r *relayed) full() [][]byte {
	var digests [][]byte
	for _, hub := range r.hubs {
		if hub.full != nil {
			digests = append(digests, hub.full)
		}
	}
	return digests
}
