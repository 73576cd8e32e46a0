package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind names what a fault does.
type faultKind string

// The kinds of faults. Targets are VMs, engines, or none.
const (
	faultKill         faultKind = "vm_kill"          // SIGKILL, and a new start at the end
	faultPause        faultKind = "vm_pause"         // SIGSTOP, and SIGCONT at the end
	faultStop         faultKind = "vm_stop"          // SIGTERM, and a new start at the end
	faultReload       faultKind = "vm_reload"        // SIGHUP
	faultRetire       faultKind = "vm_retire"        // a disk VM is emptied, stopped, and starts anew at the end
	faultCallersReset faultKind = "callers_reset"    // connections of callers are reset
	faultCallersSlow  faultKind = "callers_slow"     // data to and from callers is late
	faultStoreCut     faultKind = "store_cut"        // one VM does not reach the store
	faultStoreSilent  faultKind = "store_silent"     // one VM's calls of the store get no answer
	faultStoreOneWay  faultKind = "store_one_way"    // one VM's calls arrive, their answers do not
	faultStoreDown    faultKind = "store_down"       // the store refuses all calls
	faultStoreReads   faultKind = "store_reads_only" // the store refuses writes
	faultStoreLost    faultKind = "store_lost"       // calls take effect, their answers are lost
	faultStoreSlow    faultKind = "store_slow"       // each call takes long
	faultStoreCompact faultKind = "store_compact"    // the store forgets its history
	faultStoreMute    faultKind = "store_mute"       // watches hear of nothing
	faultEngineCrash  faultKind = "engine_crash"     // it refuses connections, and starts anew at the end
	faultEngineSilent faultKind = "engine_silent"    // it takes connections and answers nothing
	faultEngineOneWay faultKind = "engine_one_way"   // requests arrive, answers do not
	faultEngineBreak  faultKind = "engine_break"     // its answers break off
	faultEngineFail   faultKind = "engine_fail"      // a part of its requests fails
	faultEngineSlow   faultKind = "engine_slow"      // data to and from it is late
	faultEngineDrain  faultKind = "engine_drain"     // it leaves the registry in good order
	faultEngineMoved  faultKind = "engine_moved"     // it and the next one swap addresses; the registry hears late
	faultStorm        faultKind = "config_storm"     // configurations come in quick succession
	faultAllKilled    faultKind = "all_killed"       // SIGKILL to all VMs
)

// vmFaults, engineFaults and fleetFaults list the kinds by their targets.
var (
	vmFaults     = []faultKind{faultKill, faultPause, faultStop, faultReload, faultRetire, faultCallersReset, faultCallersSlow, faultStoreCut, faultStoreSilent, faultStoreOneWay}
	engineFaults = []faultKind{faultEngineCrash, faultEngineSilent, faultEngineOneWay, faultEngineBreak, faultEngineFail, faultEngineSlow, faultEngineDrain, faultEngineMoved}
	fleetFaults  = []faultKind{faultStoreDown, faultStoreReads, faultStoreLost, faultStoreSlow, faultStoreCompact, faultStoreMute, faultStorm}
)

// fault is one fault of a plan. Times count from the start of the load.
type fault struct {
	kind   faultKind
	target int
	at     time.Duration
	lasts  time.Duration
}

// String returns the fault as a line of the report shows it.
func (f fault) String() string {
	return fmt.Sprintf("%s %d at %.1f s for %.1f s", f.kind, f.target, f.at.Seconds(), f.lasts.Seconds())
}

// shape is the size of a fleet.
type shape struct {
	entryVMs, diskVMs, engines, dataCentres int
}

// vms returns the number of VMs of both roles.
func (s shape) vms() int { return s.entryVMs + s.diskVMs }

// newShape returns the shape of a seed's fleet.
func newShape(seed uint64) shape {
	random := rand.New(rand.NewPCG(seed, 1))
	between := func(least, most int) int { return least + random.IntN(most-least+1) }
	return shape{
		entryVMs: between(minEntryVMs, maxEntryVMs), diskVMs: between(minDiskVMs, maxDiskVMs),
		engines: between(minEngines, maxEngines), dataCentres: between(minDataCentres, maxDataCentres),
	}
}

// dataCentre returns where the nth VM is.
func (s shape) dataCentre(n int) string { return fmt.Sprint("dc", n%s.dataCentres) }

// engineDataCentre returns where the nth engine is. The last data centre of
// several has none.
func (s shape) engineDataCentre(n int) string {
	return fmt.Sprint("dc", n/2%max(1, s.dataCentres-1))
}

// newPlan returns the faults of a seed in the order of their times. Faults of
// different targets overlap; those of one target come in series.
func newPlan(seed uint64, size shape, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []fault
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		f := fault{lasts: time.Duration(random.Int64N(int64(maxFaultTime))) + 100*time.Millisecond}
		f.at = time.Duration(random.Int64N(int64(length - f.lasts)))
		switch random.IntN(3) {
		case 0:
			f.kind, f.target = vmFaults[random.IntN(len(vmFaults))], random.IntN(size.vms())
		case 1:
			f.kind, f.target = engineFaults[random.IntN(len(engineFaults))], random.IntN(size.engines)
		default:
			f.kind = fleetFaults[random.IntN(len(fleetFaults))]
		}
		if f.kind == faultRetire {
			f.target = size.entryVMs + f.target%size.diskVMs
		}
		if !slices.ContainsFunc(plan, f.clashes) {
			plan = append(plan, f)
		}
	}
	if random.Float64() < finalShare {
		plan = append(plan, fault{kind: faultAllKilled, at: length, lasts: time.Second})
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// clashes reports whether two faults have the same target at the same time.
func (f fault) clashes(other fault) bool {
	return f.scope() == other.scope() && f.target == other.target && f.at < other.at+other.lasts && other.at < f.at+f.lasts
}

// scope is the sort of the fault's target.
func (f fault) scope() string {
	switch {
	case slices.Contains(vmFaults, f.kind):
		return "vm"
	case slices.Contains(engineFaults, f.kind):
		return "engine"
	}
	return "fleet"
}

// calmAround reports whether no fault but f touches the span from the given time
// before f's begin until its end.
func calmAround(plan []fault, f fault, before time.Duration) bool {
	for _, other := range plan {
		if other != f && other.at+other.lasts > f.at-before && other.at < f.at+f.lasts {
			return false
		}
	}
	return true
}
