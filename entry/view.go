package entry

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/follow"
	"github.com/bergamotgrade/bergamotgrade/gossip"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/relay"
)

// memberPrefix is the prefix of the keys in the platform's store under which VMs register.
const memberPrefix = "vm/"

// peer is the state of another VM by the last digest that lists it.
type peer struct {
	gossip.VMState
	receivedAt time.Time
}

// listedWithin reports whether a digest that lists the VM is at most maxAge old.
func (p peer) listedWithin(now time.Time, maxAge time.Duration) bool {
	return now.Sub(p.receivedAt) <= maxAge
}

// reachesStore reports whether the VM is alive, is not stopping and reaches the store.
func (p peer) reachesStore(now time.Time) bool {
	return p.listedWithin(now, watcherTimeout) && !p.Leaving && !p.StoreUnreachable
}

// view holds the configuration in force, the registrations and gossiped states of the
// other VMs, and the rate limiter that depends on them.
type view struct {
	clock        bergamotgrade.Clock
	self         string
	incarnation  int64
	takesCallers bool
	startedAt    time.Time
	log          *slog.Logger
	regions      regions

	mu                sync.Mutex
	configuration     *bergamotgrade.FleetConfiguration
	members           map[string]member
	peers             map[string]peer
	copies            map[copyID]announcedCopy
	limiter           *limit.FleetLimiter
	leaving           bool
	plannedStop       bergamotgrade.PlannedStop
	levelFetchClaimed bool
	// levelFetchEnded is set once a peer has told the levels of the teams' buckets, or was asked in vain.
	levelFetchEnded bool
	// startDecided is set once it is known whether all VMs have started together.
	startDecided bool
	// seenSelf is set once this VM has read its own registration from the store. It then
	// knows all VMs that registered earlier, and VMs that register later know it.
	seenSelf bool
}

func newView(clock bergamotgrade.Clock, self string, incarnation int64, takesCallers bool, regions regions, tolerance limit.Tolerance, log *slog.Logger) *view {
	return &view{
		clock: clock, self: self, incarnation: incarnation, takesCallers: takesCallers, startedAt: clock.Now(), log: log, regions: regions,
		members: map[string]member{}, peers: map[string]peer{}, copies: map[copyID]announcedCopy{}, limiter: limit.NewFleetLimiter(tolerance),
	}
}

// Configuration returns the configuration in force, or nil.
func (v *view) Configuration() *bergamotgrade.FleetConfiguration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configuration
}

// setConfiguration puts the configuration of the store entry in force, unless it cannot
// be decoded or its version is not higher than the one in force.
func (v *view) setConfiguration(entry bergamotgrade.Entry) {
	next, skipped, err := platform.DecodeConfiguration(entry)
	if err != nil {
		v.log.Error("configuration cannot be decoded; keeping the one in force", "revision", entry.Revision, "cause", err.Error())
		return
	}
	for _, part := range skipped {
		v.log.Warn("part of the configuration cannot be decoded; skipping it", "version", next.Version, "part", part)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	before := int64(0)
	if v.configuration != nil {
		before = v.configuration.Version
	}
	if v.configuration != nil && next.Version <= before {
		return
	}
	v.configuration = next
	v.limiter.SetTeams(v.clock.Now(), next.Teams)
	v.log.Info("configuration in force", "version", next.Version, "former_version", before, "revision", entry.Revision)
}

// Admit implements platform.FleetState. Until this VM has read its own registration it
// refuses the requests of all teams that have a rate.
func (v *view) Admit(team bergamotgrade.FleetTeam) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if !v.seenSelf && team.Rate > 0 {
		return bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM has just started and does not know the others yet", "try another VM").
			WithNotRun().WithRetryAt(now.Add(startupGrace))
	}
	retryAt, ok := v.limiter.Admit(now, team)
	if ok {
		return nil
	}
	reachable, total := v.limiter.VMCounts(now)
	return bergamotgrade.NewError(bergamotgrade.KindRateExceeded, "the team's rate is used up", "try again after the time in Retry-After").
		WithNotRun().WithRetryAt(retryAt).
		WithCause(errors.Newf("rate %g/s and burst %g over all VMs, gossip received from %d of %d VMs", team.Rate, team.Burst, reachable, total))
}

// knowsMembers reports whether this VM knows enough of the other VMs to admit requests.
func (v *view) knowsMembers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seenSelf
}

// Leaving reports whether this VM is stopping or being retired.
func (v *view) Leaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving
}

// registeredCallers returns the number of registered VMs that take callers' requests, this VM included if it does.
func (v *view) registeredCallers() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, registered := v.limiter.VMCounts(v.clock.Now())
	return registered
}

// setLeaving marks this VM as stopping or being retired.
func (v *view) setLeaving() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
}

// setPlannedStop marks this VM as stopping, with the times of the stop.
func (v *view) setPlannedStop(stop bergamotgrade.PlannedStop) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving, v.plannedStop = true, stop
}

// PlannedStop implements platform.FleetState.
func (v *view) PlannedStop() bergamotgrade.PlannedStop {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.plannedStop
}

// setMembers replaces the registered VMs, given as store entries by key.
func (v *view) setMembers(entries map[string]bergamotgrade.Entry) {
	members := make(map[string]member, len(entries))
	callers := 0
	for _, entry := range entries {
		var m member
		if err := json.Unmarshal(entry.Value, &m); err != nil || m.VMID == "" {
			v.log.Warn("registration of a VM cannot be decoded; ignoring it", "key", entry.Key)
			continue
		}
		members[m.VMID] = m
		if m.Callers && m.VMID != v.self {
			callers++
		}
	}
	if v.takesCallers {
		callers++
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, m := range members {
		if known, ok := v.members[id]; !ok || known.Incarnation != m.Incarnation {
			v.log.Info("VM registered", "peer", id, "incarnation", m.Incarnation, "data_centre", m.DataCentre)
		}
	}
	for id := range v.members {
		if _, ok := members[id]; !ok {
			v.log.Info("VM no longer registered", "peer", id)
		}
	}
	v.members = members
	if _, ok := members[v.self]; ok {
		v.seenSelf = true
	}
	v.limiter.SetVMCount(v.clock.Now(), callers)
}

// peerAddresses returns the inner addresses of the other registered VMs.
func (v *view) peerAddresses() map[string]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	addresses := make(map[string]string, len(v.members))
	for id, m := range v.members {
		if id != v.self {
			addresses[id] = m.InnerAddress
		}
	}
	return addresses
}

// dataCentreAt returns the data centre of the registered VM with the inner address; "" if it is not
// known.
func (v *view) dataCentreAt(address string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range v.members {
		if m.InnerAddress == address {
			return m.DataCentre
		}
	}
	return ""
}

// keepers returns up to most other VMs in the order of their rendezvous hash scores for the key:
// the registered ones, or of these only those that are alive and not leaving.
func (v *view) keepers(key uint64, most int, live bool) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	ids := make([]string, 0, len(v.members))
	for id := range v.members {
		if p := v.peers[id]; id != v.self && (!live || p.listedWithin(now, peerTimeout) && !p.Leaving) {
			ids = append(ids, id)
		}
	}
	score := func(id string) uint64 { return bergamotgrade.MixHash(key ^ xxhash.Sum64String(id)) }
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return ids[:min(most, len(ids))]
}

// gossipPeers returns the other registered VMs as gossip peers.
func (v *view) gossipPeers() map[string]gossip.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	peers := make(map[string]gossip.Peer, len(v.members))
	for id, m := range v.members {
		if id != v.self {
			peers[id] = gossip.Peer{Address: m.InnerAddress, DataCentre: m.DataCentre, Weight: m.Cores}
		}
	}
	return peers
}

// recordReport records the report about a data centre and returns the numbers of live VMs.
func (v *view) recordReport(report gossip.Report) (counts relay.VMCounts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for _, state := range report.VMs {
		if known := v.peers[state.VMID]; known.Incarnation <= state.Incarnation {
			v.peers[state.VMID] = peer{VMState: state, receivedAt: now}
		}
	}
	v.decideStart(now)
	for _, copied := range report.Copies {
		position := follow.Position{Revision: copied.Revision, ChangedAt: copied.ChangedAt, ListedAt: copied.ListedAt}
		id, upToDate := copyID{copied.VMID, copied.Prefix}, now.Add(-time.Duration(copied.AgeMs)*time.Millisecond)
		if upToDate.After(v.copies[id].upToDate) {
			v.copies[id] = announcedCopy{position, upToDate}
		}
	}
	v.limiter.SetGroupCounts(now, report.DataCentre, report.HubID, report.HubIncarnation, report.Callers, report.Admitted, report.AllAdmitted)
	return v.countVMs(now)
}

// liveVMs returns the number of live VMs, this VM included.
func (v *view) liveVMs() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, count := v.clock.Now(), 1
	for _, p := range v.peers {
		if p.listedWithin(now, peerTimeout) {
			count++
		}
	}
	return count
}

// requestingVMs returns the ids of the live VMs that take callers' requests, and of those that
// only run batch items, in order. VMs that are leaving are omitted.
func (v *view) requestingVMs() (callers, runners []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	add := func(id string, takesCallers bool) {
		if takesCallers {
			callers = append(callers, id)
		} else {
			runners = append(runners, id)
		}
	}
	if !v.leaving {
		add(v.self, v.takesCallers)
	}
	now := v.clock.Now()
	for id, p := range v.peers {
		if p.listedWithin(now, peerTimeout) && !p.Leaving && id != v.self {
			add(id, p.Callers)
		}
	}
	slices.Sort(callers)
	slices.Sort(runners)
	return callers, runners
}

// registeredVMs returns the ids of the registered VMs that take callers' requests, and of those that
// only run batch items, in order.
func (v *view) registeredVMs() (callers, runners []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, m := range v.members {
		if m.Callers {
			callers = append(callers, id)
		} else {
			runners = append(runners, id)
		}
	}
	slices.Sort(callers)
	slices.Sort(runners)
	return callers, runners
}

// countVMs counts the live VMs, this VM included. The caller holds the lock.
func (v *view) countVMs(now time.Time) (counts relay.VMCounts) {
	counts.Callers = 1
	if !v.takesCallers {
		counts.LocalRunners, counts.Runners = 1, 1
	}
	own := v.members[v.self].DataCentre
	for id, p := range v.peers {
		if !p.listedWithin(now, peerTimeout) {
			continue
		}
		if p.Callers {
			counts.Callers++
		}
		if p.Runner {
			counts.Runners++
			if v.members[id].DataCentre == own {
				counts.LocalRunners++
			}
		}
	}
	return counts
}

// hearsOthers reports whether digests of hubs list other VMs.
func (v *view) hearsOthers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.peers) > 0
}

// claimLevelFetch returns true at most once, soon after the start: the caller then has to
// fetch the levels of the teams' token buckets from a peer.
func (v *view) claimLevelFetch() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.takesCallers || v.levelFetchClaimed || v.configuration == nil || len(v.members) == 0 {
		return false
	}
	v.levelFetchClaimed = true
	return v.clock.Now().Sub(v.startedAt) < startupGrace*2
}

// endLevelFetch records that the fetch that was claimed has ended.
func (v *view) endLevelFetch() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.levelFetchEnded = true
}

// knowsLevels reports whether this VM has what it can learn of the levels of the teams' buckets. They start empty, so
// it would refuse requests within a team's rate before. A VM that hears of no other does not wait longer than startupGrace.
func (v *view) knowsLevels() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, isRegistered := v.members[v.self]
	isOnly := isRegistered && len(v.members) == 1
	return v.levelFetchEnded || isOnly || v.clock.Now().Sub(v.startedAt) > startupGrace
}

// bucketLevels returns the level of each team's token bucket.
func (v *view) bucketLevels() map[string]float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.limiter.Levels(v.clock.Now())
}

func (v *view) setBucketLevels(levels map[string]float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.limiter.SetLevels(v.clock.Now(), levels)
}

// configurationVersion returns the version of the configuration in force, or zero.
func (v *view) configurationVersion() int64 {
	if configuration := v.Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// admittedCounts returns the number of requests that this VM has admitted, by team.
func (v *view) admittedCounts() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.limiter.AdmittedCounts()
}
