package placement

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

func TestSelectorScripts(t *testing.T) {
	scripttest.Run(t, func() scripttest.Step {
		return (&selectorScript{now: time.Unix(1000, 0), selector: NewSelector("vm1", "here")}).step
	})
}

// selectorScript runs the steps of one script file.
type selectorScript struct {
	now      time.Time
	selector *Selector
	hash     uint64
}

func (s *selectorScript) step(f []string) string {
	switch f[0] {
	case "servers": // id@data-centre:slots[:draining][:cold=TIME][:born=SECONDS] ...; cold=0s: warm
		s.selector.SetServers(s.now, parseServers(f[1:]))
	case "wait":
		d, _ := time.ParseDuration(f[1])
		s.now = s.now.Add(d)
		s.selector.ExpirePeers(s.now)
	case "peer": // peer DATA-CENTRE id=online/batch ... failed=id ...
		suspects := map[string]int{}
		for _, field := range f[2:] {
			if id, ok := strings.CutPrefix(field, "failed="); ok {
				suspects[id]++
			}
		}
		s.selector.UpdatePeers(s.now, f[1], parseLoads(f[2:]), suspects)
	case "runners": // runners LOCAL ALL: the live VMs that run batch items
		local, _ := strconv.Atoi(f[1])
		all, _ := strconv.Atoi(f[2])
		s.selector.SetRunners(local, all)
	case "vms": // vms CALLER ... + RUNNER ...: the live VMs
		callers, runners, _ := strings.Cut(strings.Join(f[1:], " "), "+")
		s.selector.SetVMs(s.now, strings.Fields(callers), strings.Fields(runners))
	case "answer": // answer id LIMIT: an answer names the limit, or none
		limit, err := strconv.ParseFloat(f[2], 64)
		s.selector.ObserveAnswer(s.now, f[1], bergamotgrade.RateLimit{Named: err == nil, PerSecond: limit})
	case "heard": // heard id LIMIT AGE: another VM has heard of the limit
		limit, err := strconv.ParseFloat(f[2], 64)
		age, _ := time.ParseDuration(f[3])
		s.selector.MergeRates(s.now, []bergamotgrade.ServerRate{{ServerID: f[1], RateLimit: bergamotgrade.RateLimit{Named: err == nil, PerSecond: limit}, Age: age}})
	case "rates": // what this VM has heard itself
		var rates []string
		for _, rate := range s.selector.Rates(s.now) {
			rates = append(rates, fmt.Sprintf("%s=%t/%g", rate.ServerID, rate.Named, rate.PerSecond))
		}
		return strings.Join(rates, " ")
	case "leaves": // leaves id BORN: the server says that it leaves; heard-leaves: another VM says so
		return s.markLeaving(f, true)
	case "heard-leaves":
		return s.markLeaving(f, false)
	case "leaving": // the servers of which this VM tells the others that they leave
		var ids []string
		for _, process := range s.selector.LeavingServers(s.now) {
			ids = append(ids, process.ServerID)
		}
		sort.Strings(ids)
		return strings.Join(ids, " ")
	case "marks": // the number of marks that are kept
		return strconv.Itoa(len(s.selector.leaving))
	case "evacuate": // evacuate DATA-CENTRE ...: the data centres that are evacuated now
		evacuated := map[string]bool{}
		for _, dataCentre := range f[1:] {
			evacuated[dataCentre] = true
		}
		s.selector.SetEvacuated(s.now, evacuated)
	case "send": // send id: whether a request with a slot at the server may be sent
		return s.selector.MaySend(s.now, s.selector.servers[f[1]].record).String()
	case "services": // services COLD-START COLD-PER-SECOND
		coldStart, _ := time.ParseDuration(f[1])
		perSecond, _ := strconv.ParseFloat(f[2], 64)
		s.selector.SetServices(s.now, map[string]bergamotgrade.FleetService{"svc": {Name: "svc", ColdStart: coldStart, ColdPerSecond: perSecond}}, 1.5)
	case "registered": // registered CALLER ... + RUNNER ...: the registered VMs
		callers, runners, _ := strings.Cut(strings.Join(f[1:], " "), "+")
		s.selector.SetRegistered(s.now, strings.Fields(callers), strings.Fields(runners))
	case "remaining": // remaining id TIME: an answer of the server says how long it stays cold
		remaining, _ := time.ParseDuration(f[2])
		s.selector.ObserveCold(s.now, s.selector.servers[f[1]].record, remaining)
	case "cold": // the servers that have become cold or warm since the last call
		changes := []string{}
		for _, change := range s.selector.ColdChanges(s.now) {
			changes = append(changes, fmt.Sprintf("%s=%t", change.ServerID, change.IsCold))
		}
		return strings.Join(append(changes, fmt.Sprint(s.selector.ColdServers())), " ")
	case "cold-wait": // cold-wait AHEAD VMS: after what time there is capacity
		ahead, _ := strconv.Atoi(f[1])
		vms, _ := strconv.Atoi(f[2])
		wait, ok := s.selector.ColdWait(s.now, bergamotgrade.ServerSet{Service: "svc"}, ahead, vms)
		if !ok {
			return "none"
		}
		return wait.Round(10 * time.Millisecond).String()
	case "usable": // whether any server takes requests
		return strconv.FormatBool(s.selector.HasServer(s.now, bergamotgrade.ServerSet{Service: "svc"}))
	case "start": // start CLASS id [count]
		for range count(f) {
			s.selector.AddRequest(s.now, f[2], class(f[1]))
		}
	case "end": // end CLASS id OUTCOME [run time]
		ran := time.Second
		if len(f) > 4 {
			ran, _ = time.ParseDuration(f[4])
		}
		s.selector.RemoveRequest(s.now, f[2], class(f[1]), outcomes[f[3]], ran)
	case "pick": // pick CLASS [avoid=id]: the server of the next request, which is not started
		return s.pick(f[1:])
	case "spread": // spread CLASS [first=OBJECTIVE] count: starts that many requests; how many each server got
		return s.spread(f[1:len(f)-1], class(f[1]), count(f[1:]))
	case "ran": // ran id TIME [count]: runs of 100 tokens end; ran-among id TIME REQUESTS: one of many
		for range count(f) {
			s.ran(f, 1)
		}
	case "ran-among":
		s.ran(f, count(f))
	case "ran-before": // ran-before id TIME: a run of a former process of the server ends
		took, _ := time.ParseDuration(f[2])
		s.selector.ObserveRun(s.now, bergamotgrade.ServerProcess{ServerID: f[1], StartedAtMs: 1}, Run{Cost: 100, Time: took, Concurrency: 1})
	case "streamed": // streamed id FIRST TIME [count]: streams end; FIRST is the time to the first of 11 events, TIME the rest
		first, _ := time.ParseDuration(f[2])
		took, _ := time.ParseDuration(f[3])
		for range count(f) {
			s.selector.ObserveRun(s.now, bergamotgrade.ProcessOf(s.selector.servers[f[1]].record), Run{Cost: 5000, Time: first + took, FirstEvent: first, Events: 11, Concurrency: 1})
		}
	case "told": // told DATA-CENTRE id TIME RUNS: its VMs tell of runs of 100 tokens
		took, _ := time.ParseDuration(f[3])
		code := encodeTime(math.Log(float64(took) / 100))
		s.selector.MergeSpeeds(s.now, f[1], []bergamotgrade.ServerSpeed{{ServerID: f[2], Time: code, Runs: count(f)}})
	case "tells": // the runs of which this VM tells the others
		tells := map[string]int{}
		for _, speed := range s.selector.Speeds(s.now) {
			tells[speed.ServerID] = speed.Runs
		}
		return formatCounts(tells)
	case "changes": // the servers that have become slow, fast or neither
		var changes []string
		for _, change := range s.selector.SpeedChanges(s.now) {
			changes = append(changes, change.ServerID+"="+change.State.String())
		}
		return strings.Join(changes, " ")
	case "slowness": // slowness id, and whether servers count as uneven
		s.selector.refreshSpeeds(s.now, true)
		return fmt.Sprintf("%.2f %t", s.selector.servers[f[1]].speed.slowness, s.selector.uneven["svc"])
	case "suspects":
		return strings.Join(s.selector.Suspects(s.now), " ")
	case "excess":
		return formatCounts(s.selector.ExcessBatch())
	case "limits": // limits VM/id=runs ...: the runs that may remain of the given ones
		return s.limits(f[1:])
	case "expected": // expected AHEAD VMS: the expected wait
		ahead, _ := strconv.Atoi(f[1])
		vms, _ := strconv.Atoi(f[2])
		return s.selector.ExpectedWait(s.now, bergamotgrade.ServerSet{Service: "svc"}, ahead, vms).Round(time.Millisecond).String()
	}
	return ""
}

// ran records the end of a run of 100 tokens beside the other requests.
func (s *selectorScript) ran(f []string, concurrency int) {
	took, _ := time.ParseDuration(f[2])
	s.selector.ObserveRun(s.now, bergamotgrade.ProcessOf(s.selector.servers[f[1]].record), Run{Cost: 100, Time: took, Concurrency: concurrency, FirstEvent: took / 10})
}

// markLeaving marks the process of a server and returns "known" if it was marked before.
func (s *selectorScript) markLeaving(f []string, heardHere bool) string {
	born, _ := strconv.ParseInt(f[2], 10, 64)
	if !s.selector.MarkLeaving(s.now, bergamotgrade.ProcessOf(bergamotgrade.ServerRecord{ServerID: f[1], StartedAt: time.Unix(born, 0)}), heardHere) {
		return "known"
	}
	return ""
}

// limits returns the limits of the given batch runs by the current excess.
func (s *selectorScript) limits(fields []string) string {
	var runs []bergamotgrade.BatchRuns
	for _, field := range fields {
		holder, count, _ := strings.Cut(field, "=")
		vmID, serverID, _ := strings.Cut(holder, "/")
		n, _ := strconv.Atoi(count)
		runs = append(runs, bergamotgrade.BatchRuns{VMID: vmID, ServerID: serverID, Runs: n})
	}
	limits := []string{}
	for _, limit := range LimitBatch(s.selector.ExcessBatch(), runs) {
		limits = append(limits, fmt.Sprintf("%s/%s=%d", limit.VMID, limit.ServerID, limit.Runs))
	}
	if len(limits) == 0 {
		return "none"
	}
	return strings.Join(limits, " ")
}

var outcomes = map[string]Outcome{"served": OutcomeServed, "failed": OutcomeFailed, "full": OutcomeFull, "left": OutcomeAborted}

func class(name string) Class {
	if name == "batch" {
		return Batch
	}
	return Online
}

func count(f []string) int {
	n, err := strconv.Atoi(f[len(f)-1])
	if err != nil {
		return 1
	}
	return n
}

func (s *selectorScript) criteria(f []string) Criteria {
	s.hash++
	criteria := Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}, Class: class(f[0]), Avoid: map[string]bool{}, Hash: bergamotgrade.MixHash(s.hash)}
	for _, option := range f[1:] {
		if id, ok := strings.CutPrefix(option, "avoid="); ok {
			criteria.Avoid[id] = true
		}
		if first, ok := strings.CutPrefix(option, "hedge="); ok { // hedge=ID: the second run of a request that runs at ID
			criteria.Hedge, criteria.Spare, criteria.Avoid[first] = true, 0.25, true
			criteria.OtherDataCentre = s.selector.servers[first].record.DataCentre
		}
		if objective, ok := strings.CutPrefix(option, "first="); ok {
			criteria.FirstEventWithin, _ = time.ParseDuration(objective)
		}
	}
	return criteria
}

func (s *selectorScript) pick(f []string) string {
	record, ok := s.selector.Pick(s.now, s.criteria(f))
	if !ok {
		return "none"
	}
	return record.ServerID
}

func (s *selectorScript) spread(f []string, c Class, n int) string {
	starts := map[string]int{}
	for range n {
		record, ok := s.selector.Pick(s.now, s.criteria(f))
		if !ok {
			starts["none"]++
			continue
		}
		s.selector.AddRequest(s.now, record.ServerID, c)
		starts[record.ServerID]++
	}
	return formatCounts(starts)
}

func formatCounts(byID map[string]int) string {
	var parts []string
	for id, n := range byID {
		parts = append(parts, fmt.Sprintf("%s=%d", id, n))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

func parseServers(fields []string) map[string]bergamotgrade.ServerRecord {
	records := map[string]bergamotgrade.ServerRecord{}
	for _, field := range fields {
		id, rest, _ := strings.Cut(field, "@")
		parts := strings.Split(rest, ":")
		slots, _ := strconv.Atoi(parts[1])
		record := bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: parts[0], Slots: slots, Draining: len(parts) > 2 && parts[2] == "draining"}
		for _, part := range parts[2:] {
			if remaining, ok := strings.CutPrefix(part, "cold="); ok {
				record.ColdNamed = true
				record.ColdRemaining, _ = time.ParseDuration(remaining)
			}
		}
		if born, ok := strings.CutPrefix(parts[len(parts)-1], "born="); ok {
			seconds, _ := strconv.ParseInt(born, 10, 64)
			record.StartedAt = time.Unix(seconds, 0)
		}
		records[id] = record
	}
	return records
}

func parseLoads(fields []string) map[string]Load {
	loads := map[string]Load{}
	for _, field := range fields {
		id, rest, _ := strings.Cut(field, "=")
		if id == "failed" {
			continue
		}
		online, batch, _ := strings.Cut(rest, "/")
		var load Load
		load[Online], _ = strconv.Atoi(online)
		load[Batch], _ = strconv.Atoi(batch)
		loads[id] = load
	}
	return loads
}

// A request that asks for a spare slot gets no server with fewer, but an idle server always.
func TestSpareSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	sel := NewSelector("vm1", "here")
	sel.SetServers(now, map[string]bergamotgrade.ServerRecord{
		"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 4},
		"b": {ServerID: "b", Service: "svc", DataCentre: "here", Slots: 1},
	})
	count := func(spare float64) int {
		criteria := Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}, Class: Online, Spare: spare}
		started := map[string]int{}
		for server, ok := sel.Pick(now, criteria); ok; server, ok = sel.Pick(now, criteria) {
			sel.AddRequest(now, server.ServerID, Online)
			started[server.ServerID]++
		}
		for id, requests := range started {
			for range requests {
				sel.RemoveRequest(now, id, Online, OutcomeAborted, 0)
			}
		}
		return started["a"]*10 + started["b"]
	}
	qt.Assert(t, count(0), qt.Equals, 41)
	qt.Assert(t, count(1e-9), qt.Equals, 31)
	qt.Assert(t, count(0.5), qt.Equals, 21)
	qt.Assert(t, count(1), qt.Equals, 11)
}
