package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is the kind of a fault; its text is its name in the report.
type faultKind string

// Kinds of faults. The target of a fault is a VM, an engine or the whole fleet.
const (
	faultKill                  faultKind = "vm_kill"          // SIGKILL; restarted at the end
	faultPause                 faultKind = "vm_pause"         // SIGSTOP; SIGCONT at the end
	faultStop                  faultKind = "vm_stop"          // SIGTERM; restarted at the end
	faultReload                faultKind = "vm_reload"        // SIGHUP
	faultRetire                faultKind = "vm_retire"        // a disk VM is told to empty itself; stopped and restarted at the end
	faultCallersReset          faultKind = "callers_reset"    // caller connections are reset
	faultCallersSlow           faultKind = "callers_slow"     // data to and from callers is delayed
	faultStoreUnreachable      faultKind = "store_cut"        // connections of one VM to the store are refused
	faultStoreBlackhole        faultKind = "store_silent"     // data between one VM and the store is dropped
	faultStoreOneWay           faultKind = "store_one_way"    // calls of one VM reach the store, the answers are dropped
	faultStoreDown             faultKind = "store_down"       // the store answers all calls with 503
	faultStoreReadOnly         faultKind = "store_reads_only" // the store answers commits with 503
	faultStoreAnswersLost      faultKind = "store_lost"       // calls take effect but the connection closes without an answer
	faultStoreSlow             faultKind = "store_slow"       // calls of the store are delayed
	faultStoreCompact          faultKind = "store_compact"    // the store drops its history of changes
	faultStoreWatchesSuspended faultKind = "store_mute"       // watches of the store deliver no changes
	faultEngineCrash           faultKind = "engine_crash"     // connections are refused; registers as restarted at the end
	faultEngineBlackhole       faultKind = "engine_silent"    // connections are accepted, all data is dropped
	faultEngineOneWay          faultKind = "engine_one_way"   // requests arrive, answers are dropped
	faultEngineAbort           faultKind = "engine_break"     // answers are aborted after a few events
	faultEngineFail            faultKind = "engine_fail"      // every nth request fails
	faultEngineSlow            faultKind = "engine_slow"      // data to and from the engine is delayed
	faultEngineDrain           faultKind = "engine_drain"     // drains, leaves the registry and registers again
	faultEngineSwap            faultKind = "engine_moved"     // swaps addresses with the next engine; the registry entries stay as they were
	faultEngineRepeat          faultKind = "engine_repeats"   // an earlier refusal is written again ahead of answers
	faultEngineBabble          faultKind = "engine_babbles"   // streams break, and the next engine goes on with text that is no event
	faultEngineLeave           faultKind = "engine_leaves"    // answers say that the engine leaves; registers as restarted at the end
	faultRegistryOdd           faultKind = "registry_odd"     // another writer leaves odd entries among those of the engines
	faultDiskReplaced          faultKind = "disk_replaced"    // the store is silent; a disk VM is killed and replaced at another address
	faultConfigStorm           faultKind = "config_storm"     // new configurations follow in quick succession
	faultEvacuate              faultKind = "evacuation"       // a data centre is evacuated; withdrawn at the end
	faultEngineCold            faultKind = "engine_cold"      // starts again and is cold until the end
	faultEngineOdd             faultKind = "engine_odd"       // requests run, and the answers have statuses that HTTP does not have
	faultEngineHesitate        faultKind = "engine_hesitates" // streams pause for longer than the time after which they move
	faultAllKilled             faultKind = "all_killed"       // SIGKILL to all VMs
)

// vmFaults, engineFaults and fleetFaults list the kinds by the kind of their target.
// Their order is part of the plan of a seed.
var (
	vmFaults     = []faultKind{faultKill, faultPause, faultStop, faultReload, faultRetire, faultCallersReset, faultCallersSlow, faultStoreUnreachable, faultStoreBlackhole, faultStoreOneWay}
	engineFaults = []faultKind{faultEngineCrash, faultEngineBlackhole, faultEngineOneWay, faultEngineAbort, faultEngineFail, faultEngineSlow, faultEngineDrain, faultEngineSwap}
	fleetFaults  = []faultKind{faultStoreDown, faultStoreReadOnly, faultStoreAnswersLost, faultStoreSlow, faultStoreCompact, faultStoreWatchesSuspended, faultConfigStorm}
)

// laterFaults are drawn apart from the others, so that the plans of older seeds keep their faults.
var laterFaults = []faultKind{faultEngineRepeat, faultEngineBabble, faultEngineLeave, faultRegistryOdd, faultDiskReplaced}

// newestFaults are drawn apart from both for the same reason.
var newestFaults = []faultKind{faultEvacuate, faultEngineCold}

// answerFaults are drawn apart from the others for the same reason.
var answerFaults = []faultKind{faultEngineOdd, faultEngineHesitate}

// fault is one fault of a plan. Its start is relative to the start of the load.
type fault struct {
	kind     faultKind
	target   int
	start    time.Duration
	duration time.Duration
}

// String returns the fault as it appears in the report and the log.
func (f fault) String() string {
	return fmt.Sprintf("%s %d at %.1f s for %.1f s", f.kind, f.target, f.start.Seconds(), f.duration.Seconds())
}

// fleetSize holds the numbers of VMs, engines and data centres of a fleet.
type fleetSize struct {
	entryVMs, diskVMs, engines, dataCentres int
	// callersPerVM is the number of callers of one VM.
	callersPerVM int
}

// vms returns the number of entry and disk VMs together.
func (s fleetSize) vms() int { return s.entryVMs + s.diskVMs }

// newFleetSize returns the size of the fleet of a seed; vms is its number of VMs, or zero for a small
// fleet of a random size.
func newFleetSize(seed uint64, vms int) fleetSize {
	if vms > 0 {
		disks := max(1, vms/3)
		return fleetSize{entryVMs: max(1, vms-disks), diskVMs: disks, engines: max(minEngines, vms-vms%2), dataCentres: maxDataCentres, callersPerVM: 1}
	}
	random := rand.New(rand.NewPCG(seed, 1))
	between := func(least, most int) int { return least + random.IntN(most-least+1) }
	return fleetSize{
		entryVMs: between(minEntryVMs, maxEntryVMs), diskVMs: between(minDiskVMs, maxDiskVMs),
		engines: between(minEngines, maxEngines), dataCentres: between(minDataCentres, maxDataCentres),
		callersPerVM: callersPerVM,
	}
}

// dataCentre returns the data centre of the nth VM.
func (s fleetSize) dataCentre(n int) string { return fmt.Sprint("dc", n%s.dataCentres) }

// engineDataCentre returns the data centre of the nth engine. The last of several data
// centres has no engines.
func (s fleetSize) engineDataCentre(n int) string {
	return fmt.Sprint("dc", n/2%max(1, s.dataCentres-1))
}

// homeRegion is the region to which the safe route is bound.
const homeRegion = "region0"

// regions returns the region of each data centre; there are at most two.
func (s fleetSize) regions() map[string]string {
	regions := map[string]string{}
	for n := range s.dataCentres {
		regions[s.dataCentre(n)] = fmt.Sprint("region", n%2)
	}
	return regions
}

// newPlan returns the faults of a seed, sorted by start. Faults of different targets may
// overlap in time, faults of the same target do not.
func newPlan(seed uint64, size fleetSize, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []fault
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		f := fault{duration: time.Duration(random.Int64N(int64(maxFaultDuration))) + 100*time.Millisecond}
		f.start = time.Duration(random.Int64N(int64(length - f.duration)))
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
		if !slices.ContainsFunc(plan, f.overlaps) {
			plan = append(plan, f)
		}
	}
	plan = addLaterFaults(plan, seed, size, length)
	plan = addNewestFaults(plan, seed, size, length)
	plan = addAnswerFaults(plan, seed, size, length)
	if random.Float64() < allKilledProbability {
		plan = append(plan, fault{kind: faultAllKilled, start: length, duration: time.Second})
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}

// addLaterFaults adds faults of the later kinds to the plan.
func addLaterFaults(plan []fault, seed uint64, size fleetSize, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 2))
	for range minLaterFaults + random.IntN(maxLaterFaults-minLaterFaults+1) {
		f := fault{kind: laterFaults[random.IntN(len(laterFaults))], duration: time.Duration(random.Int64N(int64(maxFaultDuration))) + time.Second}
		f.start = time.Duration(random.Int64N(int64(length - f.duration)))
		switch f.targetKind() {
		case "engine":
			f.target = random.IntN(size.engines)
		case "vm":
			f.target = size.entryVMs + random.IntN(size.diskVMs)
		}
		if !slices.ContainsFunc(plan, f.overlaps) {
			plan = append(plan, f)
		}
	}
	return plan
}

// addNewestFaults adds faults of the newest kinds to the plan.
func addNewestFaults(plan []fault, seed uint64, size fleetSize, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 3))
	for range random.IntN(maxNewestFaults + 1) {
		f := fault{kind: newestFaults[random.IntN(len(newestFaults))], duration: min(length/2, minNewestDuration+time.Duration(random.Int64N(int64(maxFaultDuration))))}
		f.start = time.Duration(random.Int64N(int64(length - f.duration)))
		f.target = random.IntN(size.dataCentres)
		if f.kind == faultEngineCold {
			f.target = random.IntN(size.engines)
		}
		if !slices.ContainsFunc(plan, f.overlaps) {
			plan = append(plan, f)
		}
	}
	return plan
}

// addAnswerFaults adds faults in the answers of engines to the plan.
func addAnswerFaults(plan []fault, seed uint64, size fleetSize, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 4))
	for range random.IntN(maxAnswerFaults + 1) {
		f := fault{kind: answerFaults[random.IntN(len(answerFaults))], target: random.IntN(size.engines), duration: time.Duration(random.Int64N(int64(maxFaultDuration))) + time.Second}
		f.start = time.Duration(random.Int64N(int64(length - f.duration)))
		if !slices.ContainsFunc(plan, f.overlaps) {
			plan = append(plan, f)
		}
	}
	return plan
}

// overlaps reports whether both faults affect the same target at the same time.
func (f fault) overlaps(other fault) bool {
	return f.targetKind() == other.targetKind() && f.target == other.target && f.start < other.start+other.duration && other.start < f.start+f.duration
}

// targetKind returns the kind of the fault's target: vm, engine or fleet.
func (f fault) targetKind() string {
	switch {
	case slices.Contains(vmFaults, f.kind), f.kind == faultDiskReplaced:
		return "vm"
	case slices.Contains(engineFaults, f.kind), slices.Contains(answerFaults, f.kind), f.kind == faultEngineRepeat, f.kind == faultEngineBabble, f.kind == faultEngineLeave, f.kind == faultEngineCold:
		return "engine"
	}
	return "fleet"
}

// isIsolated reports whether no other fault is active between the given time before the
// start of f and the end of f.
func isIsolated(plan []fault, f fault, before time.Duration) bool {
	for _, other := range plan {
		if other != f && other.start+other.duration > f.start-before && other.start < f.start+f.duration {
			return false
		}
	}
	return true
}
