package placement

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// leavingMark says that a process of a server leaves. Registry entries do not take it away: they
// may be older than the answer that said so.
type leavingMark struct {
	// heardAt is when this VM first heard of it, from the server itself if heardHere is set.
	heardAt   time.Time
	heardHere bool
	// absentSince is since when the process has not been registered; zero while it is.
	absentSince time.Time
}

// MarkLeaving records that the process of a server leaves: it gets no further requests. heardHere
// is set if it said so in an answer to this VM. It reports whether this is new.
func (sel *Selector) MarkLeaving(now time.Time, process bergamotgrade.ServerProcess, heardHere bool) bool {
	if _, ok := sel.leaving[process]; ok {
		return false
	}
	mark := leavingMark{heardAt: now, heardHere: heardHere}
	if s, ok := sel.servers[process.ServerID]; ok && bergamotgrade.ProcessOf(s.record) == process {
		s.record.Draining = true
		sel.forgetWarm()
		sel.chooseHome(now)
		sel.shareRates(now)
	} else {
		mark.absentSince = now
	}
	sel.leaving[process] = mark
	return true
}

// IsLeaving reports whether the process of a server leaves.
func (sel *Selector) IsLeaving(process bergamotgrade.ServerProcess) bool {
	_, ok := sel.leaving[process]
	return ok
}

// LeavingServers returns the processes that this VM has recently heard to leave.
func (sel *Selector) LeavingServers(now time.Time) []bergamotgrade.ServerProcess {
	var processes []bergamotgrade.ServerProcess
	for process, mark := range sel.leaving {
		if mark.heardHere && now.Sub(mark.heardAt) <= leavingReportTime {
			processes = append(processes, process)
		}
	}
	return processes
}

// applyMarks marks the registered servers that leave, and dates the marks of those that are gone.
func (sel *Selector) applyMarks(now time.Time, records map[string]bergamotgrade.ServerRecord) {
	for process, mark := range sel.leaving {
		record, ok := records[process.ServerID]
		switch registered := ok && bergamotgrade.ProcessOf(record) == process; {
		case registered:
			sel.servers[process.ServerID].record.Draining = true
			mark.absentSince = time.Time{}
		case mark.absentSince.IsZero():
			mark.absentSince = now
		}
		sel.leaving[process] = mark
	}
}

// expireMarks forgets the processes that have been gone for leavingRetention.
func (sel *Selector) expireMarks(now time.Time) {
	for process, mark := range sel.leaving {
		if !mark.absentSince.IsZero() && now.Sub(mark.absentSince) > leavingRetention {
			delete(sel.leaving, process)
		}
	}
}
