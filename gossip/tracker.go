package gossip

import (
	"slices"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/share"
)

// Report is the state of one data centre as of a digest, without this VM.
type Report struct {
	DataCentre string
	// HubID is empty in a report that holds only limits.
	HubID string
	// HubIncarnation is the start time of the hub's process in Unix nanoseconds.
	HubIncarnation int64
	// VMs lists the live VMs.
	VMs []VMState
	// Callers counts the live VMs that take callers' requests; it is zero if the hubs do
	// not list this VM, since the others then do not receive its counts.
	Callers int
	// Current is set if the report comes from the hub by which this VM goes for the data
	// centre. Load and Suspects of other hubs have to be ignored.
	Current  bool
	Load     []ServerLoad
	Suspects map[string]int
	// Limits is the number of batch runs that this VM may have, by backend server.
	Limits map[string]int
	// Admitted counts the requests that the VMs have admitted, by team, with an unknown
	// offset that is constant within an incarnation of the hub.
	Admitted    map[string]int64
	AllAdmitted bool
	// Copies holds the announced copies of the VMs.
	Copies []CopyState
	// Rates holds what the VMs have heard of the limits that servers name; most reports omit
	// it.
	Rates []ServerRate
	// Leaving holds the processes of servers that have recently told VMs that they leave.
	Leaving []bergamotgrade.ServerProcess
	// Asked is the work that teams have recently asked for at the VMs; nil if the digest omits it.
	Asked []share.ServiceWork
	// Speeds holds what recent runs of the VMs tell of the speed of servers; most reports omit it.
	Speeds []bergamotgrade.ServerSpeed
}

// tracker turns the digests of all hubs into reports. It does no I/O; the current time is
// an argument.
type tracker struct {
	self        string
	incarnation int64
	dataCentre  string
	hubs        map[string]*trackedHub
	// current is the hub by which this VM goes, by data centre.
	current map[string]string
	// snapshots holds the statuses that this VM has sent, by sequence, oldest first in
	// order: digests of the own data centre include them.
	snapshots map[uint64]Status
	order     []uint64
	// listedAt is when a digest last listed this VM.
	listedAt time.Time
}

// trackedHub is what is known of one hub.
type trackedHub struct {
	dataCentre    string
	stamp         stamp
	roster        []VMState
	rosterVersion uint64
	hasRoster     bool
	receivedAt    time.Time
	// ownSequence is the last status of this VM that the hub has included, ownBase the counts
	// of the first one: the hub counts what this VM admits from then on.
	ownSequence uint64
	ownBase     map[string]uint64
}

func newTracker(self string, incarnation int64, dataCentre string) *tracker {
	return &tracker{self: self, incarnation: incarnation, dataCentre: dataCentre, hubs: map[string]*trackedHub{}, current: map[string]string{}, snapshots: map[uint64]Status{}}
}

// sent remembers a status of this VM with all its counts.
func (t *tracker) sent(status Status) {
	t.snapshots[status.Sequence] = status
	t.order = append(t.order, status.Sequence)
	if len(t.order) > maxSnapshots {
		delete(t.snapshots, t.order[0])
		t.order = t.order[1:]
	}
}

// apply returns the report of a digest. ok is false if the digest is not newer than the
// last one of the hub or refers to a roster that has not arrived yet. listed means that the
// digest lists this VM.
func (t *tracker) apply(now time.Time, digest Digest) (report Report, listed, ok bool) {
	tracked, known := t.hubs[digest.HubID]
	if !known {
		tracked = &trackedHub{}
		t.hubs[digest.HubID] = tracked
	}
	if known && !tracked.stamp.before(digest.stamp()) {
		return Report{}, false, false
	}
	if tracked.stamp.incarnation != digest.Incarnation {
		*tracked = trackedHub{}
	}
	tracked.stamp, tracked.dataCentre = digest.stamp(), digest.DataCentre
	if digest.Roster != nil {
		tracked.roster, tracked.rosterVersion, tracked.hasRoster = digest.Roster, digest.RosterVersion, true
	}
	if !tracked.hasRoster || tracked.rosterVersion != digest.RosterVersion || len(digest.Seen) != len(tracked.roster) {
		return Report{}, false, false
	}
	tracked.receivedAt = now
	report = Report{
		DataCentre: digest.DataCentre, HubID: digest.HubID, HubIncarnation: digest.Incarnation,
		Suspects: map[string]int{}, Limits: map[string]int{}, Admitted: map[string]int64{}, AllAdmitted: digest.AllAdmitted, Copies: digest.Copies, Rates: digest.Rates, Leaving: digest.Leaving, Speeds: digest.Speeds,
	}
	for i, state := range tracked.roster {
		if state.VMID == t.self && state.Incarnation == t.incarnation {
			listed, t.listedAt, tracked.ownSequence = true, now, digest.Seen[i]
			if tracked.ownBase == nil {
				tracked.ownBase = t.snapshot(tracked.ownSequence).Admitted
			}
			continue
		}
		if state.VMID == t.self {
			continue // an earlier process of this VM
		}
		report.VMs = append(report.VMs, state)
		if state.Callers {
			report.Callers++
		}
	}
	report.Current = t.chooseCurrent(now, digest)
	if now.Sub(t.listedAt) > listedTimeout {
		report.Callers = 0
	}
	var own Status
	if digest.DataCentre == t.dataCentre {
		own = t.snapshot(tracked.ownSequence)
	}
	report.Load = digest.Load
	if listed {
		report.Load = withoutLoad(digest.Load, own.Load)
	}
	report.Asked = decodeWork(digest.Asked)
	if listed {
		report.Asked = withoutAsked(digest.Asked, own.Asked)
	}
	for _, suspect := range digest.Suspects {
		if listed && slices.Contains(own.Suspects, suspect.ServerID) {
			suspect.Count--
		}
		report.Suspects[suspect.ServerID] = suspect.Count
	}
	for _, limit := range digest.Limits {
		if limit.VMID == t.self {
			report.Limits[limit.ServerID] = limit.Runs
		}
	}
	for team, count := range digest.Admitted {
		report.Admitted[team] = int64(count) - int64(own.Admitted[team]) + int64(tracked.ownBase[team])
	}
	return report, listed, true
}

// snapshot returns the sent status with the sequence, or the oldest one that is kept.
func (t *tracker) snapshot(sequence uint64) Status {
	if status, ok := t.snapshots[sequence]; ok || len(t.order) == 0 || sequence == 0 {
		return status
	}
	return t.snapshots[t.order[0]]
}

// chooseCurrent reports whether this VM goes by the hub of the digest. It stays with a hub
// until its digests stop.
func (t *tracker) chooseCurrent(now time.Time, digest Digest) bool {
	current := t.hubs[t.current[digest.DataCentre]]
	if current == nil || now.Sub(current.receivedAt) > statusTimeout {
		t.current[digest.DataCentre] = digest.HubID
	}
	return t.current[digest.DataCentre] == digest.HubID
}

// hubsOf returns the hubs of the data centre whose digests still arrive.
func (t *tracker) hubsOf(now time.Time, dataCentre string) []string {
	var hubs []string
	for id, tracked := range t.hubs {
		if tracked.dataCentre == dataCentre && now.Sub(tracked.receivedAt) <= hubTimeout {
			hubs = append(hubs, id)
		}
	}
	slices.Sort(hubs)
	return hubs
}

// leaving returns the VMs that have announced their stop.
func (t *tracker) leaving() map[string]bool {
	leaving := map[string]bool{}
	for _, tracked := range t.hubs {
		for _, state := range tracked.roster {
			if state.Leaving {
				leaving[state.VMID] = true
			}
		}
	}
	return leaving
}

// withoutLoad returns the loads less the own ones.
func withoutLoad(total, own []ServerLoad) []ServerLoad {
	rest := make([]ServerLoad, 0, len(total))
	for _, load := range total {
		for _, mine := range own {
			if mine.ServerID == load.ServerID {
				load.Online -= mine.Online
				load.Batch -= mine.Batch
			}
		}
		if load.Online > 0 || load.Batch > 0 {
			rest = append(rest, load)
		}
	}
	return rest
}

// isNewer reports whether the digest is newer than the last one of its hub.
func (t *tracker) isNewer(digest Digest) bool {
	tracked, known := t.hubs[digest.HubID]
	return !known || tracked.stamp.before(digest.stamp())
}
