package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// unevenConfig is the load of one replay.
type unevenConfig struct {
	seed uint64
	// perSecond is the usual rate; the load swings between 0.38 and 1.85 of it every 5.2 s.
	perSecond float64
	// factor is the time per step of a server relative to the usual one, at a time of the replay.
	factor func(server int, at time.Duration) float64
	// moments makes 15 % of the servers 2.5 times slower for up to 0.6 s, about every 3 s.
	moments bool
	// addAt is when one more server appears; zero for never.
	addAt time.Duration
	// slots returns the slots of a server; nil for 8 each.
	slots func(server int) int
	// onRun is called for each complete run; nil is the placement without speeds.
	onRun func(f *unevenFleet, vm int, r *unevenRun)
	// onReport is called each second, when speeds are exchanged; nil if they are not.
	onReport func(f *unevenFleet)
	// choose replaces Pick; nil for Pick.
	choose func(f *unevenFleet, vm int) (bergamotgrade.ServerRecord, bool)
}

const (
	unevenVMs, unevenServers = 60, 44
	unevenStep               = 5 * time.Millisecond
	unevenDuration           = 40 * time.Second
	unevenSwing              = 5200 * time.Millisecond
	// unevenObjective is the objective for the first event.
	unevenObjective = 300 * time.Millisecond
)

// unevenServer is an engine that batches continuously: each step of its running requests takes a
// fixed time and a little for each of them. Requests beyond its slots wait in order of arrival.
type unevenServer struct {
	id       string
	running  []*unevenRun
	queue    []*unevenRun
	slowTill time.Duration
}

// unevenRun is one stream; its work is counted in usual time of a step with one request.
type unevenRun struct {
	arrived, sent, first time.Duration
	vm, concurrency      int
	server               *unevenServer
	prompt, outputs      int
	prefill, left        float64
}

// unevenFleet is VMs of one data centre before servers of uneven speed, on reports 0.1 s old.
type unevenFleet struct {
	config    unevenConfig
	random    *rand.Rand
	now       time.Time
	at        time.Duration
	records   map[string]bergamotgrade.ServerRecord
	selectors []*Selector
	servers   []*unevenServer
	own       []map[string]int
	waiting   [][]*unevenRun
	result    unevenResult
	firsts    []time.Duration
	nextSlow  time.Duration
}

// unevenResult is what a replay measures.
type unevenResult struct {
	requests int
	// late is the fraction of first events after the objective, full the fraction of the requests
	// that were sent to a server without a free slot.
	late, full float64
	p50, p99   time.Duration
	// used is the mean fraction of the slots in use, by server.
	used []float64
	// sent counts the requests by server, meanRun is the mean run time.
	sent    []int
	meanRun time.Duration
}

func newUnevenFleet(config unevenConfig) *unevenFleet {
	f := &unevenFleet{config: config, random: rand.New(rand.NewPCG(config.seed, 1)), now: time.Unix(1000, 0), records: map[string]bergamotgrade.ServerRecord{}}
	for range unevenServers {
		f.addServer()
	}
	for i := range unevenVMs {
		selector := NewSelector(fmt.Sprint("vm", i), "here")
		selector.SetServers(f.now, f.records)
		f.selectors, f.own, f.waiting = append(f.selectors, selector), append(f.own, map[string]int{}), append(f.waiting, nil)
	}
	return f
}

func (f *unevenFleet) addServer() {
	slots := 8
	if f.config.slots != nil {
		slots = f.config.slots(len(f.servers))
	}
	id := fmt.Sprintf("server%02d", len(f.servers))
	f.servers = append(f.servers, &unevenServer{id: id})
	f.records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: slots, StartedAt: f.now}
	f.result.used, f.result.sent = append(f.result.used, 0), append(f.result.sent, 0)
}

// play runs the replay for the duration and returns what it measured.
func (f *unevenFleet) play(duration time.Duration) unevenResult {
	runTimes, full := time.Duration(0), 0
	steps := 0
	for ; f.at < duration; f.at += unevenStep {
		f.now = time.Unix(1000, 0).Add(f.at)
		steps++
		if f.config.addAt > 0 && f.at == f.config.addAt {
			f.addServer()
			for _, selector := range f.selectors {
				selector.SetServers(f.now, f.records)
			}
		}
		f.slowMoments()
		for i, server := range f.servers {
			f.advance(i, server, func(r *unevenRun) {
				runTimes += f.at - r.sent
				f.end(r)
			})
			f.result.used[i] += float64(len(server.running)) / float64(f.records[server.id].Slots)
		}
		if f.at%(100*time.Millisecond) == 0 {
			f.report()
		}
		if f.at%time.Second == 0 && f.config.onReport != nil {
			f.config.onReport(f)
		}
		level := 0.38
		if (f.at/(unevenSwing/2))%2 == 1 {
			level = 1.85
		}
		for range f.poisson(f.config.perSecond * level * unevenStep.Seconds()) {
			vm := f.random.IntN(len(f.selectors))
			prompt, outputs := 100+f.random.IntN(1100), 12+f.random.IntN(60)
			r := &unevenRun{arrived: f.at, prompt: prompt, outputs: outputs, prefill: float64(prompt) * 0.1 / 15}
			r.left = r.prefill + float64(outputs)
			f.waiting[vm] = append(f.waiting[vm], r)
		}
		for vm, waiting := range f.waiting {
			for len(waiting) > 0 {
				record, ok := f.pick(vm)
				if !ok {
					break
				}
				if f.send(vm, waiting[0], record) {
					full++
				}
				waiting = waiting[1:]
			}
			f.waiting[vm] = waiting
		}
	}
	slices.Sort(f.firsts)
	late := len(f.firsts) - firstAfter(f.firsts, unevenObjective)
	r := f.result
	r.requests = len(f.firsts)
	r.late, r.full = float64(late)/float64(len(f.firsts)), float64(full)/float64(len(f.firsts))
	r.p50, r.p99 = f.firsts[len(f.firsts)/2], f.firsts[len(f.firsts)*99/100]
	r.meanRun = runTimes / time.Duration(len(f.firsts))
	r.used = slices.Clone(r.used)
	for i := range r.used {
		r.used[i] /= float64(steps)
	}
	return r
}

func firstAfter(sorted []time.Duration, limit time.Duration) int {
	at, _ := slices.BinarySearch(sorted, limit)
	return at
}

func (f *unevenFleet) poisson(mean float64) int {
	n, p := 0, f.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= f.random.Float64()
	}
	return n
}

func (f *unevenFleet) slowMoments() {
	if !f.config.moments || f.at < f.nextSlow {
		return
	}
	f.nextSlow = f.at + 2*time.Second + time.Duration(f.random.IntN(2000))*time.Millisecond
	for _, i := range f.random.Perm(len(f.servers))[:len(f.servers)*15/100] {
		f.servers[i].slowTill = f.at + 300*time.Millisecond + time.Duration(f.random.IntN(300))*time.Millisecond
	}
}

func (f *unevenFleet) pick(vm int) (bergamotgrade.ServerRecord, bool) {
	if f.config.choose != nil {
		return f.config.choose(f, vm)
	}
	return f.selectors[vm].Pick(f.now, Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}, Hash: f.random.Uint64(), FirstEventWithin: unevenObjective})
}

// advance runs the server's requests for one step of the replay.
func (f *unevenFleet) advance(i int, server *unevenServer, ended func(*unevenRun)) {
	factor := f.config.factor(i, f.at)
	if f.at < server.slowTill {
		factor *= 2.5
	}
	perStep := 15 * (1 + 0.02*float64(len(server.running)-1)) * factor
	progress := float64(unevenStep.Milliseconds()) / perStep
	server.running = slices.DeleteFunc(server.running, func(r *unevenRun) bool {
		r.left -= progress
		if r.first == 0 && r.left <= float64(r.outputs)-1 {
			r.first = f.at
			f.firsts = append(f.firsts, f.at-r.arrived)
		}
		if r.left > 0 {
			return false
		}
		ended(r)
		return true
	})
	for len(server.queue) > 0 && len(server.running) < f.records[server.id].Slots {
		server.running, server.queue = append(server.running, server.queue[0]), server.queue[1:]
	}
}

// send starts the run and reports whether the server was full.
func (f *unevenFleet) send(vm int, r *unevenRun, record bergamotgrade.ServerRecord) bool {
	for i, server := range f.servers {
		if server.id == record.ServerID {
			r.server = server
			f.result.sent[i]++
		}
	}
	r.sent, r.vm, r.concurrency = f.at, vm, len(r.server.running)+len(r.server.queue)+1
	f.selectors[vm].AddRequest(f.now, record.ServerID, Online)
	f.own[vm][record.ServerID]++
	isFull := len(r.server.running) >= record.Slots
	r.server.queue = append(r.server.queue, r)
	return isFull
}

func (f *unevenFleet) end(r *unevenRun) {
	if f.config.onRun != nil {
		f.config.onRun(f, r.vm, r)
	}
	f.selectors[r.vm].RemoveRequest(f.now, r.server.id, Online, OutcomeServed, f.at-r.sent)
	f.own[r.vm][r.server.id]--
}

// report gives every VM the load of the others as it is now.
func (f *unevenFleet) report() {
	for vm, selector := range f.selectors {
		loads := map[string]Load{}
		for _, server := range f.servers {
			loads[server.id] = Load{len(server.running) + len(server.queue) - f.own[vm][server.id], 0}
		}
		selector.UpdatePeers(f.now, "here", loads, nil)
	}
}

// unevenFactor is the time per step of the load addressed: a quarter of the servers take 0.55 times
// the usual time, the rest 1.2 times.
func unevenFactor(server int, _ time.Duration) float64 {
	if server%4 == 0 {
		return 0.55
	}
	return 1.2
}

func (r unevenResult) String() string {
	fast, slow, lowest, highest := 0.0, 0.0, 1.0, 0.0
	fastSent, slowSent := 0, 0
	for i, used := range r.used {
		lowest, highest = min(lowest, used), max(highest, used)
		if i%4 == 0 {
			fast += used / float64((len(r.used)+3)/4)
			fastSent += r.sent[i]
		} else {
			slow += used / float64(len(r.used)-(len(r.used)+3)/4)
			slowSent += r.sent[i]
		}
	}
	return fmt.Sprintf("%d requests, late %.2f %%, sent to full servers %.2f %%, first event p50 %s p99 %s, run %s, slots used: fast %.2f, slow %.2f, least %.2f, most %.2f; sent to fast %.2f",
		r.requests, 100*r.late, 100*r.full, r.p50, r.p99, r.meanRun.Round(time.Millisecond), fast, slow, lowest, highest, float64(fastSent)/float64(fastSent+slowSent))
}
