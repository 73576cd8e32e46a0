package entry

import "math"

// registerSpeedGauges registers the least and the greatest time per unit of cost of the servers,
// in percent of the mean of their service.
func (n *Node) registerSpeedGauges() {
	percent := func(slowness float64) int64 { return int64(math.Round(100 * slowness)) }
	n.metrics.Gauge("server_slowness_least_percent", func() int64 { least, _ := n.scheduler.SpeedRange(); return percent(least) })
	n.metrics.Gauge("server_slowness_greatest_percent", func() int64 { _, greatest := n.scheduler.SpeedRange(); return percent(greatest) })
}

// logSpeedChanges logs the servers that have become slow, fast or neither.
func (n *Node) logSpeedChanges() {
	for _, change := range n.scheduler.SpeedChanges() {
		n.log.Info("backend server takes another time than the mean of its service", "server", change.ServerID, "state", change.State.String(),
			"slowness", math.Round(100*change.Slowness)/100, "runs", change.Runs)
	}
}
