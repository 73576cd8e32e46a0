package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Run is a completed run of a request at a server.
type Run struct {
	// Cost is the work in tokens that took Time; zero if unknown.
	Cost float64
	Time time.Duration
	// Events is the number of events of the response, FirstEvent the time to the first of them.
	Events     int
	FirstEvent time.Duration
	// Concurrency is the number of requests at the server when the run started, this one included.
	Concurrency int
}

// work returns the work that tells of the server's speed and the time that it took: of a stream the
// events after the first, each an output token, so that the length of the prompt does not matter.
func (r Run) work() (cost float64, took time.Duration) {
	if r.isStream() {
		return float64(outputTokenCost * (r.Events - 1)), r.Time - r.FirstEvent
	}
	return r.Cost, r.Time
}

func (r Run) isStream() bool { return r.Events >= minSpeedEvents }

// serverSpeed is what is known of the time that one process of a server takes for a unit of cost.
// Times are logarithms of the nanoseconds per token, so that a factor is a difference.
type serverSpeed struct {
	own ownSpeed
	// reports holds the latest reports of the data centres.
	reports map[string]speedReport
	// time and runs are the merged estimate and the number of runs that it is known to rest on.
	time float64
	runs int
	// slowness is the time relative to the mean of the service; zero before any has been computed.
	slowness float64
	// ignoreUntil is until when reports may be about an earlier process.
	ignoreUntil time.Time
	// announced is the state that was last announced, announcedAt is when.
	announced   SpeedState
	announcedAt time.Time
}

// ownSpeed is the moving average over the runs of this VM.
type ownSpeed struct {
	time float64
	runs int
	// recent counts the runs since recentAt, former those in the period before.
	recent, former int
	recentAt       time.Time
	// deviatesSince is the end of the first of the latest runs that all deviate to one side by more
	// than maxDeviation; side is that side.
	deviatesSince time.Time
	side          int
}

// speedReport is the mean of a data centre, by its VMs' recent runs.
type speedReport struct {
	time       float64
	runs       int
	receivedAt time.Time
}

// timePerToken returns the logarithm of the time per unit of cost of the run, as if the server ran
// no other request. ok is false for runs that waited in the server's queue or that are too short to
// tell.
func (r Run) timePerToken(slots int) (value float64, ok bool) {
	cost, took := r.work()
	if r.Concurrency > slots || cost < minSpeedCost || took < minSpeedTime {
		return 0, false
	}
	step := 1 + stepGrowth*float64(max(0, r.Concurrency-1))/float64(max(1, slots))
	return math.Log(float64(took) / cost / step), true
}

// add takes a run of this VM into the average. total is the number of recent runs of all VMs, which
// together move the merged estimate by speedWeight for each run.
func (o *ownSpeed) add(now time.Time, value float64, ran time.Duration, total int) {
	o.expire(now)
	o.recent++
	o.runs++
	weight := speedWeight * float64(total) / float64(o.count())
	weight = max(min(weight, maxSpeedWeight), speedWeight, 1/float64(o.runs))
	deviation := value - o.time
	side := 0
	switch {
	case o.runs <= minSpeedRuns:
		o.time += weight * deviation
		return
	case deviation > maxDeviation:
		side = 1
	case deviation < -maxDeviation:
		side = -1
	}
	if side == 0 || side != o.side {
		o.side, o.deviatesSince = side, now
	}
	// A run that began within momentLimit after the first deviation may have met the same slow moment.
	if side != 0 && now.Add(-ran).Before(o.deviatesSince.Add(momentLimit)) {
		deviation = float64(side) * maxDeviation
	}
	o.time += weight * max(-maxSlownessLog, min(maxSlownessLog, deviation))
}

// expire drops the counts of runs that are not recent.
func (o *ownSpeed) expire(now time.Time) {
	switch age := now.Sub(o.recentAt); {
	case age > 2*speedPeriod:
		o.recent, o.former, o.recentAt = 0, 0, now
	case age > speedPeriod:
		o.recent, o.former, o.recentAt = 0, o.recent, now
	}
}

// count returns the number of recent runs.
func (o *ownSpeed) count() int { return o.recent + o.former }

// total returns the number of recent runs of all VMs, as far as known.
func (s *serverSpeed) total(now time.Time) int {
	total := 0
	for _, report := range s.reports {
		if now.Sub(report.receivedAt) <= speedReportTTL {
			total += report.runs
		}
	}
	return max(total, s.own.count())
}

// merge brings the estimate up to date. Reports of the own data centre include the runs of this VM,
// which thus have some more weight.
func (s *serverSpeed) merge(now time.Time) {
	s.own.expire(now)
	sum, count := s.own.time*float64(s.own.count()), s.own.count()
	for dataCentre, report := range s.reports {
		if now.Sub(report.receivedAt) > speedReportTTL {
			delete(s.reports, dataCentre)
			continue
		}
		sum += report.time * float64(report.runs)
		count += report.runs
	}
	if count > 0 {
		s.time, s.runs = sum/float64(count), max(s.runs, s.total(now), s.own.runs)
	}
}

// isKnown reports whether enough runs have ended.
func (s *serverSpeed) isKnown() bool { return s.runs >= minSpeedRuns }

// ObserveRun learns from a run at the process of a server that is complete. What runs without events
// tell depends on the lengths of prompts, so they count only for services without streams.
func (sel *Selector) ObserveRun(now time.Time, process bergamotgrade.ServerProcess, run Run) {
	s, ok := sel.servers[process.ServerID]
	if !ok || bergamotgrade.ProcessOf(s.record) != process {
		return
	}
	if run.isStream() && !sel.streamed[s.record.Service] {
		sel.streamed[s.record.Service] = true
		sel.forgetOwnSpeeds(s.record.Service)
	}
	if !run.isStream() && sel.streamed[s.record.Service] {
		return
	}
	if run.FirstEvent > 0 && run.Concurrency <= s.record.Slots {
		sel.addFirstEvent(s, run.FirstEvent)
	}
	value, ok := run.timePerToken(s.record.Slots)
	if !ok {
		return
	}
	if s.speed.own.expire(now); s.speed.own.count() == 0 && s.speed.isKnown() {
		// Goes on from what the other VMs know.
		s.speed.own.time, s.speed.own.runs = s.speed.time, max(minSpeedRuns, s.speed.own.runs)
	}
	s.speed.own.add(now, value, run.Time, s.speed.total(now))
	sel.refreshSpeeds(now, false)
}

// addFirstEvent takes a time to the first event into the mean of the service, as if the server were
// of mean speed.
func (sel *Selector) addFirstEvent(s *serverState, took time.Duration) {
	took = time.Duration(float64(took) / sel.slowness(s))
	mean, ok := sel.firstEvents[s.record.Service]
	if !ok {
		mean = took
	}
	sel.firstEvents[s.record.Service] = mean + time.Duration(runTimeWeight*float64(took-mean))
}

// forgetOwnSpeeds drops what this VM has measured by another kind of runs.
func (sel *Selector) forgetOwnSpeeds(service string) {
	for _, s := range sel.servers {
		if s.record.Service == service {
			s.speed.own = ownSpeed{}
		}
	}
}

// Concurrency returns the number of requests at the server, as far as known.
func (sel *Selector) Concurrency(serverID string) int {
	if s, ok := sel.servers[serverID]; ok {
		return s.total()
	}
	return 0
}

// Speeds returns what the recent runs of this VM tell of servers.
func (sel *Selector) Speeds(now time.Time) []bergamotgrade.ServerSpeed {
	var speeds []bergamotgrade.ServerSpeed
	for _, id := range sel.serverIDs {
		own := &sel.servers[id].speed.own
		if own.expire(now); own.count() > 0 {
			speeds = append(speeds, bergamotgrade.ServerSpeed{ServerID: id, Time: encodeTime(own.time), Runs: own.count()})
		}
	}
	return speeds
}

// MergeSpeeds takes over what the recent runs of the VMs of a data centre tell of servers.
func (sel *Selector) MergeSpeeds(now time.Time, dataCentre string, speeds []bergamotgrade.ServerSpeed) {
	for _, speed := range speeds {
		s, ok := sel.servers[speed.ServerID]
		if !ok || now.Before(s.speed.ignoreUntil) || speed.Runs <= 0 {
			continue
		}
		if s.speed.reports == nil {
			s.speed.reports = map[string]speedReport{}
		}
		s.speed.reports[dataCentre] = speedReport{decodeTime(speed.Time), min(speed.Runs, maxReportedRuns), now}
	}
	if len(speeds) > 0 {
		sel.refreshSpeeds(now, false)
	}
}

// encodeTime returns the byte that stands for a time per token in messages; decodeTime is the
// inverse.
func encodeTime(value float64) byte {
	return byte(max(0, min(255, math.Round((value-speedByteBase)/speedByteStep))))
}

func decodeTime(code byte) float64 { return speedByteBase + float64(code)*speedByteStep }

// refreshSpeeds computes the slowness of all servers, unless it has just been computed and force is
// not set.
func (sel *Selector) refreshSpeeds(now time.Time, force bool) {
	if !force && now.Sub(sel.speedsAt) < speedRefreshInterval {
		return
	}
	sel.speedsAt = now
	byService := map[string][]*serverState{}
	for _, id := range sel.serverIDs {
		s := sel.servers[id]
		s.speed.merge(now)
		byService[s.record.Service] = append(byService[s.record.Service], s)
	}
	for service := range sel.uneven {
		if len(byService[service]) == 0 {
			delete(sel.uneven, service)
		}
	}
	for service, servers := range byService {
		limit := unevenFrom
		if sel.uneven[service] {
			limit = unevenUntil
		}
		sel.uneven[service] = setSlowness(servers) > limit
	}
}

// setSlowness computes the slowness of the servers of one service and returns the logarithm of the
// greatest factor by which one differs from the mean. A server of which too little is known counts
// as slow as the slowest quarter.
func setSlowness(servers []*serverState) (difference float64) {
	mean := 0.0
	var known []float64
	for _, s := range servers {
		if s.speed.isKnown() && !s.record.Draining {
			known = append(known, s.speed.time)
			mean += s.speed.time
		}
	}
	quarter := 0.0
	if len(known) > 0 {
		mean /= float64(len(known))
		slices.Sort(known)
		quarter = max(mean, known[len(known)*3/4])
	}
	for _, s := range servers {
		value := quarter
		if s.speed.isKnown() {
			value = s.speed.time
		}
		s.speed.slowness = math.Exp(max(-maxSlownessLog, min(maxSlownessLog, value-mean)))
		if s.speed.runs >= unevenRuns {
			difference = max(difference, math.Abs(value-mean))
		}
	}
	return difference
}

// slowness returns the server's time for a unit of cost relative to the mean of its service, or 1
// while the servers of the service do not differ.
func (sel *Selector) slowness(s *serverState) float64 {
	if s.speed.slowness == 0 || !sel.uneven[s.record.Service] {
		return 1
	}
	return s.speed.slowness
}

// rankBySpeed adjusts the rank of a server for an online request where servers differ; load is what
// the rank goes by. The slowness is rounded, so that VMs on stale reports don't all choose the one
// that is a little faster than the others.
func (sel *Selector) rankBySpeed(s *serverState, criteria Criteria, r *rank, load int) {
	slowness := sel.slowness(s)
	rounded := math.Exp(math.Round(math.Log(slowness)/slownessStep) * slownessStep)
	r.weight = float64(load+1) / float64(s.record.Slots) * rounded
	if r.tier < tierLimited && s.load(Online) >= sel.onlineSlots(s, criteria) {
		r.tier = tierSlow
	}
}

// onlineSlots returns the number of slots of a server that online requests take before those of
// other servers are in use: all, unless the server is so slow that the request would miss its
// objectives there. A server that is slow within the objectives keeps all its slots, since a run
// there does not take longer beside others (docs/design/server-speed.md).
func (sel *Selector) onlineSlots(s *serverState, criteria Criteria) int {
	slowness, bound := sel.slowness(s), 1.0
	if first := sel.firstEvents[s.record.Service]; criteria.FirstEventWithin > 0 {
		bound = max(bound, slowness*float64(first)/float64(criteria.FirstEventWithin))
	}
	if criteria.PauseWithin > 0 && s.speed.isKnown() {
		bound = max(bound, outputTokenCost*math.Exp(s.speed.time)/float64(criteria.PauseWithin))
	}
	return max(1, int(float64(s.record.Slots)/bound))
}
