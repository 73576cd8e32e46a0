package quarantine

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Run probes servers whose connections broke and writes records until the context ends.
func (g *Guard) Run(ctx context.Context) {
	pause := refreshInterval
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-g.changed:
			timer.Stop()
			bergamotgrade.Sleep(ctx, coalesceDelay)
		case <-timer.C:
		}
		g.confirmEnds(ctx)
		pause = g.write(ctx)
	}
}

// confirmEnds probes the servers whose connections broke: only an end of the process speaks
// against the requests that it ran.
func (g *Guard) confirmEnds(ctx context.Context) {
	g.mu.Lock()
	var unconfirmed []*ownEnd
	for _, end := range g.own {
		if !end.confirmed {
			unconfirmed = append(unconfirmed, end)
		}
	}
	g.mu.Unlock()
	if len(unconfirmed) == 0 {
		return
	}
	hasEnded := make([]bool, len(unconfirmed))
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for i, end := range unconfirmed {
		probes.Go(func() { hasEnded[i] = g.config.Prober.HasEnded(probeCtx, end.server) })
	}
	probes.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, end := range unconfirmed {
		if !hasEnded[i] {
			delete(g.own, serverStart(end.server))
			continue
		}
		end.confirmed = true
		g.config.Log.Info("backend server ended while it ran requests", "server", end.server.ServerID, "started_at", end.server.StartedAt, "parts", end.record.Parts, "requests", end.record.Requests)
	}
	g.decide()
}

// write writes what is due to the store, and returns the pause until the next write.
func (g *Guard) write(ctx context.Context) time.Duration {
	g.mu.Lock()
	now := g.config.Clock.Now()
	g.dropOld(now)
	commit, ends, served := g.dueWrites(now)
	pause := g.pauseUntilDue(now)
	g.mu.Unlock()
	if len(commit.Writes) == 0 {
		return pause
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := g.config.Store.Commit(callCtx, commit)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.config.Log.Warn("quarantine records cannot be written; retrying", "records", len(commit.Writes), "cause", err.Error())
		for _, start := range ends {
			if end, ok := g.own[start]; ok {
				end.unsaved = true
			}
		}
		return writeRetryDelay
	}
	for _, start := range ends {
		if end, ok := g.own[start]; ok {
			end.record.revision = result.Revision
		}
	}
	for _, trait := range served {
		state := g.ownServed[trait]
		state.saved = true
		g.ownServed[trait] = state
	}
	g.mirrored.revision = max(g.mirrored.revision, result.Revision)
	g.decide()
	return g.pauseUntilDue(now)
}

// dropOld removes what no longer counts from memory. The caller holds the lock.
func (g *Guard) dropOld(now time.Time) {
	for start, end := range g.own {
		if isOld(now, end.record.At) {
			delete(g.own, start)
		}
	}
	for trait, served := range g.ownServed {
		if isOld(now, served.record.At) {
			delete(g.ownServed, trait)
		}
	}
	g.decide()
}

// dueWrites returns a commit of the records that are due, with the start of each written end
// and the traits that are recorded as served. It also deletes records that are old or too
// many. The caller holds the lock.
func (g *Guard) dueWrites(now time.Time) (commit bergamotgrade.KeyCommit, ends []string, served []traitKey) {
	add := func(key string, record any) bool {
		value, err := encode(record)
		if err != nil {
			g.config.Log.Error("quarantine record cannot be encoded; not written", "key", key, "cause", err.Error())
			return false
		}
		commit.Writes = append(commit.Writes, bergamotgrade.KeyWrite{Key: key, Value: value})
		return true
	}
	for start, end := range g.own {
		if end.confirmed && end.unsaved && len(commit.Writes) < maxCommitEntries/2 && add(endKey(start, g.config.VMID), end.record) {
			ends = append(ends, start)
			end.unsaved = false
		}
	}
	// Once one trait is due, all are written: the other VMs then need not write them.
	isDue := false
	for _, state := range g.ownServed {
		isDue = isDue || !state.saved && !now.Before(state.writeAt)
	}
	for trait, state := range g.ownServed {
		if !isDue || state.saved || len(commit.Writes) >= maxCommitEntries/2 {
			continue
		}
		if g.mirrored.served[trait].Through >= state.record.Through {
			state.saved = true // another VM was faster
			g.ownServed[trait] = state
		} else if add(servedKey(trait), state.record) {
			served = append(served, trait)
		}
	}
	if len(commit.Writes) > 0 {
		commit.Deletes = g.surplusKeys(now, maxCommitEntries-len(commit.Writes))
		for _, write := range commit.Writes {
			commit.Deletes = slices.DeleteFunc(commit.Deletes, func(key string) bool { return key == write.Key })
		}
	}
	return commit, ends, served
}

// surplusKeys returns up to most keys of records that are old, or that exceed maxRecords: the
// oldest first, and those on which a quarantine rests last. The caller holds the lock.
func (g *Guard) surplusKeys(now time.Time, most int) []string {
	keys := make([]string, 0, len(g.mirrored.times))
	for key := range g.mirrored.times {
		keys = append(keys, key)
	}
	needed := g.mirrored.keysOf(g.quarantined)
	rank := func(key string) int {
		switch {
		case isOld(now, g.mirrored.times[key]):
			return 0
		case !needed[key]:
			return 1
		}
		return 2
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), g.mirrored.times[a].Compare(g.mirrored.times[b]))
	})
	surplus := max(0, len(keys)-maxRecords)
	for surplus < len(keys) && rank(keys[surplus]) == 0 {
		surplus++
	}
	return keys[:min(surplus, most)]
}

// pauseUntilDue returns the time until the next write is due. The caller holds the lock.
func (g *Guard) pauseUntilDue(now time.Time) time.Duration {
	pause := refreshInterval
	for _, state := range g.ownServed {
		if !state.saved {
			pause = min(pause, max(0, state.writeAt.Sub(now)))
		}
	}
	for _, end := range g.own {
		if end.confirmed && end.unsaved {
			pause = 0
		}
	}
	return pause
}
