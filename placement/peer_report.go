package placement

import "time"

// peerReport is the latest load report of the other VMs of one data centre.
type peerReport struct {
	byServer map[string]Load
	// suspects counts the VMs whose requests a server recently failed, by server.
	suspects   map[string]int
	receivedAt time.Time
}

// UpdatePeers replaces the report of the other VMs of a data centre: their load by server
// and the number of VMs that suspect a server.
func (sel *Selector) UpdatePeers(now time.Time, dataCentre string, byServer map[string]Load, suspects map[string]int) {
	if previous, ok := sel.peers[dataCentre]; ok {
		sel.addReport(previous, -1)
	}
	report := &peerReport{byServer: byServer, suspects: suspects, receivedAt: now}
	sel.peers[dataCentre] = report
	sel.addReport(report, 1)
	sel.reports++
	for _, s := range sel.servers {
		s.batchStarts = 0
	}
	sel.ExpirePeers(now)
}

// ExpirePeers drops peer reports that are older than peerReportTTL.
func (sel *Selector) ExpirePeers(now time.Time) {
	for id, report := range sel.peers {
		if now.Sub(report.receivedAt) > peerReportTTL {
			sel.addReport(report, -1)
			delete(sel.peers, id)
		}
	}
	sel.expireRates(now)
	sel.expireMarks(now)
	sel.expireCold(now)
}

// sumPeers recomputes the peer counts of all servers.
func (sel *Selector) sumPeers() {
	for _, s := range sel.servers {
		s.peerLoad, s.suspectedBy = Load{}, 0
	}
	for _, report := range sel.peers {
		sel.addReport(report, 1)
	}
}

// addReport adds a peer report to the server counts with sign 1 and subtracts it with
// sign -1.
func (sel *Selector) addReport(report *peerReport, sign int) {
	for id, load := range report.byServer {
		if s, ok := sel.servers[id]; ok {
			s.peerLoad[Online] += sign * load[Online]
			s.peerLoad[Batch] += sign * load[Batch]
		}
	}
	for id, count := range report.suspects {
		if s, ok := sel.servers[id]; ok {
			s.suspectedBy += sign * count
		}
	}
}
