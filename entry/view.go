package entry

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/gossip"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/platform"
)

// memberPrefix is where VMs register themselves in the platform's store.
const memberPrefix = "vm/"

// member is what a VM says of itself in the store.
type member struct {
	VMID         string `json:"vm_id"`
	Incarnation  int64  `json:"incarnation"`
	InnerAddress string `json:"inner_address"`
	DataCentre   string `json:"data_centre"`
	// Callers is set on VMs that take requests of callers.
	Callers bool `json:"callers"`
}

// peer is what was heard of another VM.
type peer struct {
	message gossip.Message
	heardAt time.Time
}

// isHeard reports whether the VM's last message is not older than the lifetime.
func (p peer) isHeard(now time.Time, lifetime time.Duration) bool {
	return now.Sub(p.heardAt) <= lifetime
}

// reachesStore reports whether the VM stays and has the store.
func (p peer) reachesStore(now time.Time) bool {
	return p.isHeard(now, watcherLife) && !p.message.Leaving && !p.message.StoreAway
}

// view is what this VM knows of the configuration and of the other VMs.
type view struct {
	clock       bergamotgrade.Clock
	self        string
	incarnation int64
	callers     bool
	startedAt   time.Time
	log         *slog.Logger

	mu            sync.Mutex
	configuration *bergamotgrade.FleetConfiguration
	members       map[string]member
	peers         map[string]peer
	limiter       *limit.Fleet
	leaving       bool
	tookLevels    bool
	// listed is set once this VM has seen its own registration: it knows all VMs
	// then that registered before it, and the later ones know it.
	listed bool
}

func newView(clock bergamotgrade.Clock, self string, incarnation int64, callers bool, log *slog.Logger) *view {
	return &view{
		clock: clock, self: self, incarnation: incarnation, callers: callers, startedAt: clock.Now(), log: log,
		members: map[string]member{}, peers: map[string]peer{}, limiter: limit.NewFleet(),
	}
}

// Configuration returns the configuration in force, or nil.
func (v *view) Configuration() *bergamotgrade.FleetConfiguration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configuration
}

// setConfiguration takes the entry of a configuration unless it is older than
// the one in force.
func (v *view) setConfiguration(entry bergamotgrade.Entry) {
	next, skipped, err := platform.DecodeConfiguration(entry)
	if err != nil {
		v.log.Error("configuration cannot be read; the former one stays in force", "revision", entry.Revision, "cause", err.Error())
		return
	}
	for _, what := range skipped {
		v.log.Warn("part of the configuration cannot be read", "version", next.Version, "part", what)
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
	v.limiter.Prepare(v.clock.Now(), next.Teams)
	v.log.Info("configuration in force", "version", next.Version, "former_version", before, "revision", entry.Revision)
}

// Admit implements platform.Fleet.
func (v *view) Admit(team bergamotgrade.FleetTeam) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if !v.listed && team.Rate > 0 {
		return bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM has just started and does not know the others yet", "try another VM").
			WithNotRun().WithRetryAt(now.Add(firstLook))
	}
	retryAt, ok := v.limiter.Admit(now, team)
	if ok {
		return nil
	}
	heard, known := v.limiter.Heard(now)
	return bergamotgrade.NewError(bergamotgrade.KindRateExceeded, "the team's rate is used up", "try again after the time in Retry-After").
		WithNotRun().WithRetryAt(retryAt).
		WithCause(errors.Newf("rate %g/s and burst %g over all VMs, %d of %d VMs heard", team.Rate, team.Burst, heard, known))
}

// knowsFleet reports whether this VM knows the others well enough to admit
// requests.
func (v *view) knowsFleet() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed
}

// Leaving reports whether this VM stops.
func (v *view) Leaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving
}

func (v *view) leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
}

// setMembers takes the registered VMs.
func (v *view) setMembers(entries map[string]bergamotgrade.Entry) {
	members := make(map[string]member, len(entries))
	callers := 0
	for _, entry := range entries {
		var m member
		if err := json.Unmarshal(entry.Value, &m); err != nil || m.VMID == "" {
			v.log.Warn("entry of a VM cannot be read", "key", entry.Key)
			continue
		}
		members[m.VMID] = m
		if m.Callers && m.VMID != v.self {
			callers++
		}
	}
	if v.callers {
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
		v.listed = true
	}
	v.limiter.SetKnown(v.clock.Now(), callers)
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

// gossipPeers returns where the other registered VMs hear this one.
func (v *view) gossipPeers() map[string]gossip.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	peers := make(map[string]gossip.Peer, len(v.members))
	for id, m := range v.members {
		if id != v.self {
			peers[id] = gossip.Peer{Address: m.InnerAddress, DataCentre: m.DataCentre}
		}
	}
	return peers
}

// hear takes a peer's message and returns the number of VMs that take callers.
func (v *view) hear(message gossip.Message) (callers int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	v.peers[message.VMID] = peer{message: message, heardAt: now}
	if message.Callers {
		v.limiter.SetPeer(now, message.VMID, message.Incarnation, message.Admitted, message.AllAdmitted)
	}
	callers = 1
	for _, p := range v.peers {
		if p.message.Callers && p.isHeard(now, peerLife) {
			callers++
		}
	}
	return callers
}

// copySources returns the inner addresses of up to max peers that have a newer
// configuration than this VM, or of any when there are none.
func (v *view) copySources(most int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	own := int64(0)
	if v.configuration != nil {
		own = v.configuration.Version
	}
	now := v.clock.Now()
	var newer, others []string
	for id, p := range v.peers {
		m, ok := v.members[id]
		if !ok || !p.isHeard(now, peerLife) {
			continue
		}
		if p.message.Version > own {
			newer = append(newer, m.InnerAddress)
		} else {
			others = append(others, m.InnerAddress)
		}
	}
	sources := append(newer, others...)
	return sources[:min(most, len(sources))]
}

// storePeer returns the inner address of a VM that reaches the store; which one
// differs between VMs. A VM that has just started and hears nobody tries the
// registered ones in turn.
func (v *view) storePeer() (address string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, best := v.clock.Now(), uint64(0)
	if !v.listed && len(v.peers) == 0 {
		turn := now.Unix()
		for id, m := range v.members {
			if score := xxhash.Sum64String(fmt.Sprint(turn, "/", id)); !ok || score > best {
				address, best, ok = m.InnerAddress, score, true
			}
		}
		return address, ok
	}
	for id, p := range v.peers {
		m, registered := v.members[id]
		if !registered || !p.reachesStore(now) {
			continue
		}
		if score := xxhash.Sum64String(v.self + "/" + id); !ok || score > best {
			address, best, ok = m.InnerAddress, score, true
		}
	}
	return address, ok
}

// watcher returns the inner address of the VM that watches the store for the
// data centre: the live one with the lowest id that reaches the store. false
// means that it is this VM.
func (v *view) watcher(dataCentre string, away bool) (address string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	lowest := ""
	if !away && !v.leaving {
		lowest = v.self
	}
	now := v.clock.Now()
	for id, p := range v.peers {
		m, registered := v.members[id]
		if !registered || m.DataCentre != dataCentre || !p.reachesStore(now) {
			continue
		}
		if lowest == "" || id < lowest {
			lowest, address = id, m.InnerAddress
		}
	}
	return address, lowest != v.self && lowest != ""
}

// needsLevels reports once, soon after the start, that the teams' levels should
// be taken from a peer.
func (v *view) needsLevels() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.callers || v.tookLevels || v.configuration == nil || len(v.members) == 0 {
		return false
	}
	v.tookLevels = true
	return v.clock.Now().Sub(v.startedAt) < firstLook*2
}

// levels returns what each team has left of its burst.
func (v *view) levels() map[string]float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.limiter.Levels(v.clock.Now())
}

func (v *view) setLevels(levels map[string]float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.limiter.SetLevels(v.clock.Now(), levels)
}

// RunnerFor implements jobs.Fleet: rendezvous hashing over the VMs that run
// batch items; disk VMs go first, since callers' VMs have little processor.
func (v *view) RunnerFor(jobID string) (vmID string, incarnation int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	best := uint64(0)
	for _, runners := range []bool{true, false} {
		consider := func(id string, inc int64, runner bool) {
			if runner != runners {
				return
			}
			if score := xxhash.Sum64String(jobID + "/" + id); vmID == "" || score > best {
				best, vmID, incarnation = score, id, inc
			}
		}
		if !v.leaving {
			consider(v.self, v.incarnation, !v.callers)
		}
		now := v.clock.Now()
		for id, p := range v.peers {
			if p.isHeard(now, peerLife) && !p.message.Leaving {
				consider(id, p.message.Incarnation, p.message.Runner)
			}
		}
		if vmID != "" {
			return vmID, incarnation
		}
	}
	return vmID, incarnation
}

// RunnerLives implements jobs.Fleet. A process counts as ended when a newer one
// runs on its VM, when it leaves, or when it is silent and its lease has lapsed.
func (v *view) RunnerLives(vmID string, incarnation int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vmID == v.self {
		return incarnation == v.incarnation && !v.leaving
	}
	if vmID == "" {
		return false
	}
	now := v.clock.Now()
	p, heard := v.peers[vmID]
	if heard && p.message.Incarnation > incarnation {
		return false
	}
	if heard && p.message.Incarnation == incarnation && p.isHeard(now, peerLife) {
		return !p.message.Leaving
	}
	if now.Sub(v.startedAt) < firstLook {
		return true
	}
	m, registered := v.members[vmID]
	return registered && m.Incarnation == incarnation
}

// versionInForce returns the version of the configuration in force, or zero.
func (v *view) versionInForce() int64 {
	if configuration := v.Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// admitted returns the counts of admitted requests by team.
func (v *view) admitted() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.limiter.Admitted()
}
