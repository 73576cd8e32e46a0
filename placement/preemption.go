package placement

import (
	"slices"
	"strings"

	"github.com/bergamotgrade/bergamotgrade"
)

// ExcessBatch returns the number of batch runs that the VMs of this data centre have to end
// at each server with more requests than slots. If VMs of several data centres have batch
// runs at a server, the data centres end theirs in the order of their names. Load pattern:
// a peak of online load takes the slots of batch runs.
func (sel *Selector) ExcessBatch() map[string]int {
	excess := map[string]int{}
	for id, s := range sel.servers {
		count := min(s.total()-s.record.Slots, s.load(Batch))
		for dataCentre, report := range sel.peers {
			if dataCentre < sel.dataCentre {
				count -= report.byServer[id][Batch]
			}
		}
		if count > 0 {
			excess[id] = count
		}
	}
	return excess
}

// OwnPreemptions returns the number of batch runs that this VM has to end at each server
// where no other VM has batch runs. It need not wait for a decision about all VMs.
func (sel *Selector) OwnPreemptions() map[string]int {
	preemptions := map[string]int{}
	for id, s := range sel.servers {
		if excess := min(s.total()-s.record.Slots, s.ownLoad[Batch]); excess > 0 && s.peerLoad[Batch] == 0 {
			preemptions[id] = excess
		}
	}
	return preemptions
}

// LimitBatch returns the VMs that have to end batch runs so that the excess of each server
// is gone, each with the number of runs that may remain. One VM decides for all of a data
// centre, so that they don't all end runs for the same online request; the VMs with the
// lowest ids end theirs first.
func LimitBatch(excess map[string]int, runs []bergamotgrade.BatchRuns) []bergamotgrade.BatchRuns {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b bergamotgrade.BatchRuns) int { return strings.Compare(a.VMID, b.VMID) })
	remaining := make(map[string]int, len(excess))
	for id, count := range excess {
		remaining[id] = count
	}
	var limits []bergamotgrade.BatchRuns
	for _, run := range sorted {
		ended := min(remaining[run.ServerID], run.Runs)
		if ended <= 0 {
			continue
		}
		remaining[run.ServerID] -= ended
		run.Runs -= ended
		limits = append(limits, run)
	}
	return limits
}
