package gossip

import (
	"context"
	"net"
	"time"
)

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
			n.config.Metrics.Add("receive_failed", 1)
			time.Sleep(coalesceDelay)
			continue
		}
		n.handleDatagram(buffer[:size], from)
	}
}

// handleDatagram handles the messages of one datagram.
func (n *Node) handleDatagram(data []byte, from *net.UDPAddr) {
	for len(data) > 0 {
		message, size, err := decode(data)
		if err != nil {
			n.config.Metrics.Add("undecodable", 1)
			return
		}
		raw := data[:size]
		data = data[size:]
		now := time.Now()
		switch m := message.(type) {
		case *Status:
			if m.VM.VMID != "" && m.VM.VMID != n.config.VMID {
				n.recordStatus(now, *m, from)
			}
		case *Streams:
			n.config.ReceiveStreams(m.Records)
		case *Digest:
			if m.HubID == "" || m.HubID == n.config.VMID {
				continue
			}
			if n.applyDigest(now, *m) && m.DataCentre != n.config.Self.DataCentre {
				n.relay(now, *m, raw)
			}
		}
	}
}

// applyDigest hands the report of a digest over. It returns false for a digest that is not
// newer than the last one.
func (n *Node) applyDigest(now time.Time, digest Digest) bool {
	n.mu.Lock()
	isNewer := n.tracker.isNewer(digest)
	report, listed, ok := n.tracker.apply(now, digest)
	if listed {
		n.choice.listed(now, digest.HubID)
	}
	n.mu.Unlock()
	if ok {
		n.config.Receive(report)
	}
	return isNewer
}

// applyLimits hands over the limits of this hub's own digest.
func (n *Node) applyLimits(digest Digest) {
	limits := map[string]int{}
	for _, limit := range digest.Limits {
		if limit.VMID == n.config.VMID {
			limits[limit.ServerID] = limit.Runs
		}
	}
	if len(limits) > 0 {
		n.config.Receive(Report{DataCentre: digest.DataCentre, Limits: limits})
	}
}

// relay queues a digest of another data centre for the VMs that report to this one.
func (n *Node) relay(now time.Time, digest Digest, raw []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hub.active(now) {
		n.relayed.add(digest, raw)
		signal(n.localTriggers)
	}
}
