package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// coldState is what is known of whether a server is cold.
type coldState struct {
	// until is when the server turns warm by all that follows; zero if it never was cold.
	until time.Time
	// listed is set if the server was in the first listing of this VM; else appearedAt is when it first
	// appeared.
	listed     bool
	appearedAt time.Time
	// entryUntil is when the server turns warm by its last registry entry. saidWarm is set once the
	// process has said that it is warm.
	entryUntil time.Time
	saidWarm   bool
	// answeredAt is when an answer of the server last said how long it stays cold, answerUntil what
	// follows from it.
	answeredAt, answerUntil time.Time
	// isCold and isLogged hold whether the server was cold at the last look, and at the last ColdChanges.
	isCold, isLogged bool
	share            coldShare
}

// release returns for how long after its cold period this VM still treats the server as cold. VMs
// differ in it, so that they don't all start to use the server at the same moment.
func (sel *Selector) release(s *serverState) time.Duration {
	return time.Duration(xxhash.Sum64String(sel.vmID+"~"+s.record.ServerID) % uint64(coldRelease))
}

// isCold reports whether this VM treats the server as cold now.
func (sel *Selector) isCold(now time.Time, s *serverState) bool {
	return !s.cold.until.IsZero() && now.Before(s.cold.until.Add(sel.release(s)))
}

// readEntry takes over what a registry entry of the server says; isNew is set for the first entry of a
// process, before for the record that was known.
func (sel *Selector) readEntry(now time.Time, s *serverState, before bergamotgrade.ServerRecord, isNew bool) {
	record := s.record
	if isNew {
		s.cold = coldState{listed: !sel.listed, appearedAt: now, share: s.cold.share, isCold: s.cold.isCold, isLogged: s.cold.isLogged}
	} else if record.ColdNamed == before.ColdNamed && record.ColdRemaining == before.ColdRemaining {
		sel.updateCold(now, s) // the entry that was seen before
		return
	}
	if record.ColdNamed {
		s.cold.entryUntil = time.Time{}
		if record.ColdRemaining > 0 {
			s.cold.entryUntil = now.Add(record.ColdRemaining)
		} else {
			s.cold.saidWarm = true
		}
		if now.Sub(s.cold.answeredAt) > maxEntryAge {
			s.cold.answerUntil = time.Time{}
		}
	}
	sel.updateCold(now, s)
}

// ObserveCold records that an answer of the process of a server said how long it stays cold.
func (sel *Selector) ObserveCold(now time.Time, server bergamotgrade.ServerRecord, remaining time.Duration) {
	s, ok := sel.servers[server.ServerID]
	if !ok || bergamotgrade.ProcessOf(s.record) != bergamotgrade.ProcessOf(server) {
		return
	}
	s.cold.answeredAt, s.cold.answerUntil, s.cold.entryUntil = now, time.Time{}, time.Time{}
	if remaining > 0 {
		s.cold.answerUntil = now.Add(remaining)
	}
	s.cold.saidWarm = true // what the start of the process says is replaced too
	wasCold := s.cold.isCold
	if sel.updateCold(now, s); s.cold.isCold != wasCold {
		sel.forgetWarm()
		sel.chooseHome(now)
	}
}

// updateCold recomputes until when the server is cold.
func (sel *Selector) updateCold(now time.Time, s *serverState) {
	c := &s.cold
	service := sel.services[s.record.Service]
	wasCold, before := sel.isCold(now, s), c.until
	c.until = time.Time{}
	extend := func(until time.Time) {
		if until.After(c.until) {
			c.until = until
		}
	}
	if service.ColdPerSecond > 0 {
		extend(c.entryUntil)
		extend(c.answerUntil)
		startedAt := c.appearedAt
		if !s.record.StartedAt.IsZero() && s.record.StartedAt.Before(startedAt) {
			startedAt = s.record.StartedAt
		}
		if service.ColdStart > 0 && !c.saidWarm && (!c.listed || !s.record.StartedAt.IsZero()) {
			extend(startedAt.Add(service.ColdStart))
		}
	}
	if returnedAt, ok := sel.returnedAt[s.record.DataCentre]; ok && !c.answeredAt.After(returnedAt) {
		extend(returnedAt)
		if service.ColdPerSecond > 0 {
			extend(returnedAt.Add(service.ColdStart))
		}
	}
	if wasCold && c.until.Before(now) {
		// It has turned warm sooner than expected, or this VM has yet to release it.
		c.until = before
		if before.After(now) {
			c.until = now
		}
	}
	if !wasCold && sel.isCold(now, s) {
		c.share = coldShare{}
		sel.shareCold(now, s)
	}
	sel.refreshCold(now, s)
}

// refreshCold updates isCold and reports whether it changed.
func (sel *Selector) refreshCold(now time.Time, s *serverState) bool {
	isCold := sel.isCold(now, s)
	if isCold == s.cold.isCold {
		return false
	}
	s.cold.isCold = isCold
	sel.coldServers--
	if isCold {
		sel.coldServers += 2
	}
	return true
}

// expireCold notices which servers have turned warm, and shares the bounds of the others anew when that
// is due.
func (sel *Selector) expireCold(now time.Time) {
	if sel.coldServers == 0 {
		return
	}
	changed := false
	for _, s := range sel.servers {
		changed = sel.refreshCold(now, s) || changed
	}
	if changed {
		sel.chooseHome(now)
	}
	if !sel.shareAt.IsZero() && !now.Before(sel.shareAt) {
		sel.shareAllCold(now)
	}
}

// hasWarm reports whether any server of the service is warm. It remembers the services for the time
// now, as a choice asks for it at each cold server.
func (sel *Selector) hasWarm(now time.Time, service string) bool {
	if !now.Equal(sel.warmAt) || sel.warmServices == nil {
		sel.warmAt, sel.warmServices = now, map[string]bool{}
		for _, s := range sel.servers {
			if !sel.warmServices[s.record.Service] && !sel.isCold(now, s) && sel.countsForItself(now, s) {
				sel.warmServices[s.record.Service] = true
			}
		}
	}
	return sel.warmServices[service]
}

// forgetWarm makes hasWarm look again.
func (sel *Selector) forgetWarm() { sel.warmServices = nil }

// ColdServers returns the number of cold servers.
func (sel *Selector) ColdServers() int { return sel.coldServers }

// ColdChange says that a server has become cold or warm.
type ColdChange struct {
	ServerID string
	IsCold   bool
	// Until is when a cold server turns warm by what is known now.
	Until time.Time
}

// ColdChanges returns the servers that have become cold or warm since the last call.
func (sel *Selector) ColdChanges(now time.Time) []ColdChange {
	var changes []ColdChange
	for _, id := range sel.serverIDs {
		s := sel.servers[id]
		sel.refreshCold(now, s)
		if s.cold.isCold != s.cold.isLogged {
			s.cold.isLogged = s.cold.isCold
			changes = append(changes, ColdChange{ServerID: id, IsCold: s.cold.isCold, Until: s.cold.until})
		}
	}
	return changes
}

// ColdWait returns after what time there is capacity in the set, which has cold servers, for a request
// behind ahead others at each of vms VMs: by the rates of the cold servers and the slots of the others
// over all VMs, or when the first cold server turns warm if that is sooner. ok is false without cold
// servers.
func (sel *Selector) ColdWait(now time.Time, servers bergamotgrade.ServerSet, ahead, vms int) (wait time.Duration, ok bool) {
	perSecond := 0.0
	var warmAt time.Time
	for _, s := range sel.servers {
		switch {
		case !sel.counts(now, s, servers):
		case sel.isCold(now, s):
			perSecond += sel.services[s.record.Service].ColdPerSecond
			if at := s.cold.until.Add(sel.release(s)); warmAt.IsZero() || at.Before(warmAt) {
				warmAt = at
			}
		default:
			perSecond += float64(s.record.Slots) / sel.runTime.Seconds()
		}
	}
	if warmAt.IsZero() {
		return 0, false
	}
	wait = warmAt.Sub(now)
	if perSecond > 0 {
		byRate := time.Duration(float64((ahead+1)*max(1, vms)) / perSecond * float64(time.Second))
		wait = min(wait, byRate)
	}
	return wait, true
}
