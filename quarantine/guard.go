// Package quarantine finds the prompt parts under which backend servers end and keeps
// requests with them away from the servers. VMs record in the platform's store which parts
// were running when a server ended, and which of them were served afterwards. Every VM
// decides from a mirror of these records, so all decide alike, also after a restart.
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

// Guard implements bergamotgrade.PromptGuard. It is safe for concurrent use.
type Guard struct {
	config Config
	// changed is signalled when run has something to do.
	changed chan struct{}

	mu       sync.Mutex
	mirrored records
	// own holds the ends that this VM has seen, by server start.
	own map[string]*ownEnd
	// ownServed holds what this VM has served since the last end that it knows of.
	ownServed map[partKey]ownServed
	// suspects holds the parts with endsToSuspect ends or more, also where another part explains
	// these, with the revision of the newest one.
	suspects map[partKey]int64
	// quarantined holds the parts that are quarantined from a time on.
	quarantined map[partKey]culprit
	// claiming holds the parts for which a trial is being claimed.
	claiming map[partKey]bool
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

// ownServed is a served part; it is written to the store at writeAt.
type ownServed struct {
	record  servedRecord
	writeAt time.Time
	saved   bool
}

var _ bergamotgrade.PromptGuard = (*Guard)(nil)

// New returns a guard without records; SetEntries gives it those of the store, and Run writes
// its own.
func New(config Config) *Guard {
	return &Guard{
		config: config, changed: make(chan struct{}, 1), mirrored: newRecords(), own: map[string]*ownEnd{}, ownServed: map[partKey]ownServed{},
		suspects: map[partKey]int64{}, quarantined: map[partKey]culprit{}, claiming: map[partKey]bool{},
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

// Quarantined returns the number of quarantined parts.
func (g *Guard) Quarantined() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.quarantined)
}

// Check implements bergamotgrade.PromptGuard.
func (g *Guard) Check(parts []string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	if id, found, ok := g.find(now, parts); ok && now.Before(g.nextTrial(found)) {
		return g.quarantineError(id, found)
	}
	return nil
}

// Admit implements bergamotgrade.PromptGuard.
func (g *Guard) Admit(ctx context.Context, parts []string) error {
	g.mu.Lock()
	now := g.config.Clock.Now()
	id, found, ok := g.find(now, parts)
	if !ok {
		g.mu.Unlock()
		return nil
	}
	part := found.part
	failure := g.quarantineError(id, found)
	if now.Before(g.nextTrial(found)) || g.claiming[part] {
		g.mu.Unlock()
		return failure
	}
	g.claiming[part] = true
	former := g.mirrored.trials[part]
	g.mu.Unlock()
	if !g.claimTrial(ctx, part, former) {
		return failure
	}
	return nil
}

// find returns the id of the first part of the prompt that is quarantined. The caller holds the
// lock.
func (g *Guard) find(now time.Time, parts []string) (id string, found culprit, ok bool) {
	if len(g.quarantined) == 0 {
		return "", culprit{}, false
	}
	for _, id := range parts {
		if found, ok := g.quarantined[newPartKey(id)]; ok && !now.Before(found.confirmedAt.Add(confirmDelay)) {
			return id, found, true
		}
	}
	return "", culprit{}, false
}

// nextTrial returns when the next request with the part may be sent to a server. The caller
// holds the lock.
func (g *Guard) nextTrial(found culprit) time.Time {
	delay, at := firstTrialDelay, found.confirmedAt
	if trial, ok := g.mirrored.trials[found.part]; ok && !trial.At.Before(found.confirmedAt) {
		at = trial.At
		for range min(trial.Count, maxTrialDelays) {
			delay *= trialDelayFactor
		}
	}
	return at.Add(delay)
}

// quarantineError returns the error for a request with the part. The caller holds the lock.
func (g *Guard) quarantineError(id string, found culprit) error {
	retryAt := g.nextTrial(found)
	if now := g.config.Clock.Now(); retryAt.Before(now) {
		retryAt = now.Add(writeRetryDelay)
	}
	return bergamotgrade.NewError(bergamotgrade.KindPromptQuarantined, "several backend servers have ended under a part of the prompt", "change the prompt, or try again after the time in Retry-After").
		WithRetryAt(retryAt).WithCause(errors.Newf("part %.64s with key %s, servers ended %d times, the third time at %s", id, found.part, found.ends, found.confirmedAt.Format(time.RFC3339Nano)))
}

// claimTrial records a trial in the store. It returns false if another VM has claimed it or
// the store does not answer.
func (g *Guard) claimTrial(ctx context.Context, part partKey, former trialRecord) bool {
	trial := trialRecord{At: g.config.Clock.Now(), Count: former.Count + 1}
	value, err := encode(trial)
	var result bergamotgrade.CommitResult
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, trialTimeout)
		defer cancel()
		result, err = g.config.Store.Commit(callCtx, bergamotgrade.KeyCommit{
			Expected: map[string]int64{trialKey(part): former.revision}, Writes: []bergamotgrade.KeyWrite{{Key: trialKey(part), Value: value}},
		})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.claiming, part)
	if err != nil || !result.Applied() {
		g.config.Log.Info("trial of a quarantined prompt part not claimed", "part", part, "trials", former.Count, "error", err)
		return false
	}
	trial.revision = result.Revision
	g.mirrored.trials[part] = trial
	g.config.Log.Info("one request with a quarantined prompt part is let through", "part", part, "trials", trial.Count)
	return true
}

// ConnectionLost implements bergamotgrade.PromptGuard.
func (g *Guard) ConnectionLost(server bergamotgrade.ServerRecord, parts []string) {
	if len(parts) == 0 {
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
		end = &ownEnd{server: server, record: endRecord{At: g.config.Clock.Now(), Parts: map[partKey]int{}}}
		g.own[start] = end
	}
	for position, id := range parts {
		part := newPartKey(id)
		if _, known := end.record.Parts[part]; !known && len(end.record.Parts) < maxParts {
			end.record.Parts[part] = position
			end.unsaved = true
		}
	}
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

// Served implements bergamotgrade.PromptGuard.
func (g *Guard) Served(parts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.suspects) == 0 {
		return
	}
	now := g.config.Clock.Now()
	for _, id := range parts {
		part := newPartKey(id)
		through, suspected := g.suspects[part]
		if !suspected || g.ownServed[part].record.Through >= through {
			continue
		}
		delay := time.Duration(rand.Int64N(int64(servedDelayPerVM)*int64(max(1, g.config.VMs())) + 1))
		g.ownServed[part] = ownServed{record: servedRecord{At: now, Through: through}, writeAt: now.Add(delay)}
		g.config.Log.Info("prompt part is served although servers have ended under it", "part", part, "revision", through)
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

// servedThrough returns the revision through which the ends under the part do not count. The
// caller holds the lock.
func (g *Guard) servedThrough(part partKey) int64 {
	return max(g.mirrored.served[part].Through, g.ownServed[part].record.Through)
}

// decide brings suspects and quarantined up to date with the records. The caller holds the
// lock.
func (g *Guard) decide() {
	now := g.config.Clock.Now()
	ends, newest := g.countedEnds(now)
	counts, _, _ := countEnds(ends)
	clear(g.suspects)
	for part, count := range counts {
		if count >= endsToSuspect {
			g.suspects[part] = newest[part]
		}
	}
	before := g.quarantined
	g.quarantined = map[partKey]culprit{}
	for _, found := range findCulprits(ends) {
		g.quarantined[found.part] = found
		if _, known := before[found.part]; !known {
			g.config.Log.Warn("prompt part quarantined; several servers have ended under it", "part", found.part, "ends", found.ends, "revision", newest[found.part], "from", found.confirmedAt.Add(confirmDelay))
		}
	}
	for part := range before {
		if _, still := g.quarantined[part]; !still {
			g.config.Log.Info("prompt part no longer quarantined", "part", part, "ends", counts[part], "served_through", g.servedThrough(part))
		}
	}
}

// countedEnds returns the ends, in the order of their times, with the parts that have not been
// served since, and the newest revision of an end by part. The caller holds the lock.
func (g *Guard) countedEnds(now time.Time) (ends []serverEnd, newest map[partKey]int64) {
	newest = map[partKey]int64{}
	byStart := map[string]*serverEnd{}
	add := func(start string, record endRecord) {
		if isOld(now, record.At) {
			return
		}
		end, ok := byStart[start]
		if !ok {
			end = &serverEnd{at: record.At, parts: map[partKey]int{}}
			byStart[start] = end
		}
		if record.At.Before(end.at) {
			end.at = record.At
		}
		revision := record.revision
		if revision == 0 {
			revision = math.MaxInt64
		}
		for part, position := range record.Parts {
			if revision <= g.servedThrough(part) {
				continue
			}
			end.parts[part] = max(end.parts[part], position)
			newest[part] = max(newest[part], record.revision)
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
