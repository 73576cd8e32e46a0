package gossip

import (
	"slices"
	"time"
)

// relayed holds the digests of other data centres that a hub forwards to the VMs that have
// it as primary hub.
type relayed struct {
	hubs map[string]*relayedHub
	// forwarded holds the forwarded hub of each data centre.
	forwarded map[string]string
}

// relayedHub holds the digests of one hub, encoded.
type relayedHub struct {
	// latest is the last digest, full the last one that holds the roster.
	latest, full []byte
	dataCentre   string
	// pending holds what is still to be forwarded.
	pending pendingDigests
}

// pendingDigests holds at most three digests: the last one that holds the roster, the last one after it that holds
// the work asked for, and the last one after these.
type pendingDigests struct{ full, asked, latest []byte }

func (p *pendingDigests) add(data []byte, digest Digest) {
	switch {
	case digest.Roster != nil:
		*p = pendingDigests{full: data}
	case digest.Asked != nil:
		p.asked, p.latest = data, nil
	default:
		p.latest = data
	}
}

func newRelayed() *relayed {
	return &relayed{hubs: map[string]*relayedHub{}, forwarded: map[string]string{}}
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
	if digest.Roster != nil {
		hub.full = data
	}
	hub.pending.add(data, digest)
}

// take returns the digests to forward now. Of each data centre only one hub is forwarded.
func (r *relayed) take(now time.Time, tracker *tracker) [][]byte {
	var digests [][]byte
	for id, hub := range r.hubs {
		live := tracker.hubsOf(now, hub.dataCentre)
		if len(live) == 0 {
			delete(r.hubs, id)
			continue
		}
		if live[0] == id {
			if r.forwarded[hub.dataCentre] != id && hub.pending.full == nil {
				hub.pending.full = hub.full // the VMs may not have the roster of this hub
			}
			r.forwarded[hub.dataCentre] = id
			for _, data := range [][]byte{hub.pending.full, hub.pending.asked, hub.pending.latest} {
				if data != nil {
					digests = append(digests, data)
				}
			}
		}
		hub.pending = pendingDigests{}
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
