// Package quarantine finds the requests, and the parts of prompts, under which backend servers
// end and keeps them away from the servers. VMs record in the platform's store what was
// running when a server ended, and which of it was served afterwards. Every VM decides from a
// mirror of these records, so all decide alike, also after a restart.
package quarantine

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// Config holds the parameters and dependencies of a Guard.
type Config struct {
	Clock  bergamotgrade.Clock
	VMID   string
	Store  bergamotgrade.KeyValue
	Prober bergamotgrade.ServerProber
	// VMs returns the number of live VMs.
	VMs func() int
	Log *slog.Logger
}

// Guard implements bergamotgrade.RequestGuard. It is safe for concurrent use.
type Guard struct {
	config Config
	// changed is signalled when run has something to do.
	changed chan struct{}

	mu       sync.Mutex
	mirrored records
	// own holds the ends that this VM has seen, by server start.
	own map[string]*ownEnd
	// ownServed holds what this VM has served since the last end that it knows of.
	ownServed map[traitKey]ownServed
	// recent holds the traits that this VM has served before servers ended under them.
	recent *recentTraits
	// suspects holds the traits with endsToSuspect ends or more, also where another one explains
	// these, with the revision of the newest one.
	suspects map[traitKey]int64
	// quarantined holds the traits that are quarantined from a time on.
	quarantined map[traitKey]culprit
	// claiming holds the traits for which a trial is being claimed.
	claiming map[traitKey]bool
}

// ownEnd is a broken connection, and from its confirmation on the end of a server.
type ownEnd struct {
	server    bergamotgrade.ServerRecord
	record    endRecord
	confirmed bool
	// unsaved is set while the store does not have the record, mirrored once it has been seen
	// there.
	unsaved, mirrored bool
}

// ownServed is a served trait; it is written to the store at writeAt.
type ownServed struct {
	record  servedRecord
	writeAt time.Time
	saved   bool
}

var _ bergamotgrade.RequestGuard = (*Guard)(nil)

// New returns a guard without records; SetEntries gives it those of the store, and Run writes
// its own.
func New(config Config) *Guard {
	return &Guard{
		config: config, changed: make(chan struct{}, 1), mirrored: newRecords(), own: map[string]*ownEnd{}, ownServed: map[traitKey]ownServed{}, recent: newRecentTraits(),
		suspects: map[traitKey]int64{}, quarantined: map[traitKey]culprit{}, claiming: map[traitKey]bool{},
	}
}

// SetEntries replaces the records of the store, given by key.
func (g *Guard) SetEntries(entries map[string]bergamotgrade.Entry) {
	decoded, invalid := decodeRecords(entries)
	for _, key := range invalid {
		g.config.Log.Warn("quarantine record cannot be decoded; ignoring it", "key", key)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mirrored = decoded
	for start, end := range g.own {
		_, found := decoded.ends[start][g.config.VMID]
		if end.mirrored && !found {
			delete(g.own, start) // somebody has deleted the record
			continue
		}
		end.mirrored = found
	}
	g.decide()
}

// Quarantined returns the numbers of quarantined prompt parts and requests.
func (g *Guard) Quarantined() (parts, requests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for trait := range g.quarantined {
		if trait.isRequest() {
			requests++
		} else {
			parts++
		}
	}
	return parts, requests
}

// Check implements bergamotgrade.RequestGuard.
func (g *Guard) Check(traits bergamotgrade.RequestTraits) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	if found, ok := g.find(now, traits); ok && now.Before(g.nextTrial(found)) {
		return g.quarantineError(traits, found)
	}
	return nil
}

// IsQuarantined implements bergamotgrade.RequestGuard.
func (g *Guard) IsQuarantined(traits bergamotgrade.RequestTraits) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.find(g.config.Clock.Now(), traits)
	return ok
}

// Admit implements bergamotgrade.RequestGuard.
func (g *Guard) Admit(ctx context.Context, traits bergamotgrade.RequestTraits) error {
	g.mu.Lock()
	now := g.config.Clock.Now()
	found, ok := g.find(now, traits)
	if !ok {
		g.mu.Unlock()
		return nil
	}
	trait := found.trait
	failure := g.quarantineError(traits, found)
	if now.Before(g.nextTrial(found)) || g.claiming[trait] {
		g.mu.Unlock()
		return failure
	}
	g.claiming[trait] = true
	former := g.mirrored.trials[trait]
	g.mu.Unlock()
	if !g.claimTrial(ctx, trait, former) {
		return failure
	}
	return nil
}

// find returns the first of the traits that is quarantined. The caller holds the lock.
func (g *Guard) find(now time.Time, traits bergamotgrade.RequestTraits) (found culprit, ok bool) {
	if len(g.quarantined) == 0 {
		return culprit{}, false
	}
	for _, trait := range traitKeys(traits) {
		if found, ok := g.quarantined[trait]; ok && !now.Before(found.confirmedAt.Add(confirmDelay)) {
			return found, true
		}
	}
	return culprit{}, false
}

// nextTrial returns when the next request with the trait may be sent to a server. The caller
// holds the lock.
func (g *Guard) nextTrial(found culprit) time.Time {
	delay, at := firstTrialDelay, found.confirmedAt
	if trial, ok := g.mirrored.trials[found.trait]; ok && !trial.At.Before(found.confirmedAt) {
		at = trial.At
		for range min(trial.Count, maxTrialDelays) {
			delay *= trialDelayFactor
		}
	}
	return at.Add(delay)
}

// quarantineError returns the error for a request with the trait. The caller holds the lock.
func (g *Guard) quarantineError(traits bergamotgrade.RequestTraits, found culprit) error {
	retryAt := g.nextTrial(found)
	if now := g.config.Clock.Now(); retryAt.Before(now) {
		retryAt = now.Add(writeRetryDelay)
	}
	name := traits.Fingerprint
	kind, message, remedy := bergamotgrade.KindPromptQuarantined, "several backend servers have ended under a part of the prompt", "change the prompt, or try again after the time in Retry-After"
	if found.trait.isRequest() {
		kind, message, remedy = bergamotgrade.KindRequestQuarantined, "several backend servers have ended under this request", "change the request, or try again after the time in Retry-After"
	}
	for _, id := range traits.PromptParts {
		if newPartKey(id) == found.trait {
			name = id
		}
	}
	return bergamotgrade.NewError(kind, message, remedy).WithRetryAt(retryAt).
		WithCause(errors.Newf("trait %.64s with key %s, servers ended %d times, the third time at %s", name, found.trait, found.ends, found.confirmedAt.Format(time.RFC3339Nano)))
}

// claimTrial records a trial in the store. It returns false if another VM has claimed it or
// the store does not answer.
func (g *Guard) claimTrial(ctx context.Context, trait traitKey, former trialRecord) bool {
	trial := trialRecord{At: g.config.Clock.Now(), Count: former.Count + 1}
	value, err := encode(trial)
	var result bergamotgrade.CommitResult
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, trialTimeout)
		defer cancel()
		result, err = g.config.Store.Commit(callCtx, bergamotgrade.KeyCommit{
			Expected: map[string]int64{trialKey(trait): former.revision}, Writes: []bergamotgrade.KeyWrite{{Key: trialKey(trait), Value: value}},
		})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.claiming, trait)
	if err != nil || !result.Applied() {
		g.config.Log.Info("trial of a quarantined trait not claimed", "trait", trait, "trials", former.Count, "error", err)
		return false
	}
	trial.revision = result.Revision
	g.mirrored.trials[trait] = trial
	g.config.Log.Info("one request with a quarantined trait is let through", "trait", trait, "trials", trial.Count)
	return true
}

// ConnectionLost implements bergamotgrade.RequestGuard.
func (g *Guard) ConnectionLost(server bergamotgrade.ServerRecord, traits bergamotgrade.RequestTraits, sentAt time.Time) {
	if len(traits.PromptParts) == 0 && traits.Fingerprint == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	start := serverStart(server)
	end, ok := g.own[start]
	if !ok {
		if len(g.own) >= maxOwnEnds {
			g.dropOldestOwn()
		}
		end = &ownEnd{server: server, record: newEndRecord(g.config.Clock.Now())}
		g.own[start] = end
	}
	end.unsaved = end.record.add(traits, sentAt) || end.unsaved
	if end.confirmed {
		g.decide()
	}
	g.signal()
}

// dropOldestOwn removes the oldest end that this VM has seen. The caller holds the lock.
func (g *Guard) dropOldestOwn() {
	oldest := ""
	for start, end := range g.own {
		if oldest == "" || end.record.At.Before(g.own[oldest].record.At) {
			oldest = start
		}
	}
	delete(g.own, oldest)
}

// Served implements bergamotgrade.RequestGuard.
func (g *Guard) Served(traits bergamotgrade.RequestTraits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	keys := traitKeys(traits)
	for _, trait := range keys {
		g.recent.add(trait)
	}
	if len(g.suspects) == 0 {
		return
	}
	now := g.config.Clock.Now()
	for _, trait := range keys {
		through, suspected := g.suspects[trait]
		if !suspected || g.ownServed[trait].record.Through >= through {
			continue
		}
		delay := time.Duration(rand.Int64N(int64(servedDelayPerVM)*int64(max(1, g.config.VMs())) + 1))
		g.ownServed[trait] = ownServed{record: servedRecord{At: now, Through: through}, writeAt: now.Add(delay)}
		g.config.Log.Info("trait is served although servers have ended under it", "trait", trait, "revision", through)
		g.decide()
		g.signal()
	}
}

func (g *Guard) signal() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// servedThrough returns the revision through which the ends under the trait do not count. The
// caller holds the lock.
func (g *Guard) servedThrough(trait traitKey) int64 {
	return max(g.mirrored.served[trait].Through, g.ownServed[trait].record.Through)
}

// decide brings suspects and quarantined up to date with the records. The caller holds the
// lock.
func (g *Guard) decide() {
	now := g.config.Clock.Now()
	ends, newest := g.countedEnds(now)
	tallies := countEnds(ends, g.recent.has)
	clear(g.suspects)
	for trait, counted := range tallies {
		if counted.separate >= endsToSuspect {
			g.suspects[trait] = newest[trait]
		}
	}
	before := g.quarantined
	g.quarantined = map[traitKey]culprit{}
	for _, found := range findCulprits(ends, g.recent.has) {
		g.quarantined[found.trait] = found
		if _, known := before[found.trait]; !known {
			g.config.Log.Warn("trait quarantined; several servers have ended under requests with it", "trait", found.trait, "ends", found.ends, "revision", newest[found.trait], "from", found.confirmedAt.Add(confirmDelay))
		}
	}
	for trait := range before {
		if _, still := g.quarantined[trait]; !still {
			g.config.Log.Info("trait no longer quarantined", "trait", trait, "ends", tallies[trait].separate, "served_through", g.servedThrough(trait))
		}
	}
}

// countedEnds returns the ends, in the order of their times, with the traits that have not been
// served since, and the newest revision of an end by trait. The caller holds the lock.
func (g *Guard) countedEnds(now time.Time) (ends []serverEnd, newest map[traitKey]int64) {
	newest = map[traitKey]int64{}
	byStart := map[string]*serverEnd{}
	add := func(start string, record endRecord) {
		if isOld(now, record.At) {
			return
		}
		end, ok := byStart[start]
		if !ok {
			end = &serverEnd{at: record.At, traits: map[traitKey]evidence{}}
			byStart[start] = end
		}
		if record.At.Before(end.at) {
			end.at = record.At
		}
		revision := record.revision
		if revision == 0 {
			revision = math.MaxInt64
		}
		for trait, found := range record.evidence() {
			if revision <= g.servedThrough(trait) {
				continue
			}
			end.traits[trait] = end.traits[trait].merge(found)
			newest[trait] = max(newest[trait], record.revision)
		}
	}
	for start, byVM := range g.mirrored.ends {
		for _, record := range byVM {
			add(start, record)
		}
	}
	for start, end := range g.own {
		if end.confirmed {
			add(start, end.record)
		}
	}
	for _, end := range byStart {
		ends = append(ends, *end)
	}
	slices.SortFunc(ends, func(a, b serverEnd) int { return a.at.Compare(b.at) })
	return ends, newest
}
