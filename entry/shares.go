package entry

import (
	"github.com/bergamotgrade/bergamotgrade/gossip"
	"github.com/bergamotgrade/bergamotgrade/relay"
)

// callersOf returns the number of VMs of the report that take callers' requests.
func callersOf(report gossip.Report) int {
	callers := 0
	for _, state := range report.VMs {
		if state.Callers {
			callers++
		}
	}
	return callers
}

// registerShareGauges registers the gauges of shares between teams.
func (n *Node) registerShareGauges() {
	n.metrics.Gauge("scarcity", func() int64 {
		scarce := int64(0)
		for _, assessment := range n.scheduler.Assessments() {
			if assessment.Scarce {
				scarce++
			}
		}
		return scarce
	})
	n.metrics.Gauge("beyond_share_waiting", func() int64 { return int64(n.scheduler.BeyondShareWaiting()) })
	n.metrics.Gauge("refused_beyond_share", func() int64 { return n.scheduler.ShareCounts().RefusedBeyond })
	n.metrics.Gauge("refused_within_share", func() int64 { return n.scheduler.ShareCounts().RefusedWithin })
	n.metrics.Gauge("displaced", func() int64 { return n.scheduler.ShareCounts().Displaced })
}

// updateShares tells the scheduler of the registered VMs and logs the services that have entered or left scarcity since
// the last round; at most one line a service and round.
func (n *Node) updateShares() {
	n.scheduler.SetRegisteredCallers(n.view.registeredCallers())
	for _, assessment := range n.scheduler.Assessments() {
		if n.scarce[assessment.Service] != assessment.Scarce {
			n.scarce[assessment.Service] = assessment.Scarce
			n.logScarcity(assessment)
		}
	}
}

func (n *Node) logScarcity(a relay.Scarcity) {
	if a.Scarce {
		n.log.Info("demand for the service exceeds its capacity; teams get their shares", "service", a.Service, "level", int64(a.Level), "demand", int64(a.Demand), "capacity", int64(a.Capacity))
		return
	}
	n.log.Info("demand for the service is within its capacity again", "service", a.Service, "demand", int64(a.Demand), "capacity", int64(a.Capacity))
}
