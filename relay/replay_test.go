package relay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
	"github.com/bergamotgrade/bergamotgrade/share"
)

const (
	replayVMs, replayServers, replaySlots = 75, 57, 8
	replayTeams                           = 20
	replayObjective, replayTimeout        = 500 * time.Millisecond, 10 * time.Second
	// replayStep is the resolution of the model, replayReport the age of what VMs know of each other's load,
	// and replayAsked of the work that teams ask for.
	replayStep, replayReport, replayAsked = 5 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond
	replayLength                          = 14 * time.Second
	heavyFrom, heavyTo                    = 3 * time.Second, 9500 * time.Millisecond
)

var replayServices = bergamotgrade.ServerSet{Service: "svc"}

// replayRequest is one request of a client over all its attempts.
type replayRequest struct {
	team    int
	cost    float64
	run     time.Duration
	askedAt time.Time
	// enteredAt is when the current attempt entered at the VM.
	enteredAt  time.Time
	vm         int
	avoid      map[string]bool
	rejections int
	slot       *Slot
	waiter     *waiter
	started    bool
}

// isEarly does what the relay does.
func (r *replayRequest) isEarly(now time.Time) bool {
	return float64(now.Sub(r.enteredAt)) <= earlyFraction*float64(replayObjective)
}

// replayEvent is the end of a run or the return of a refused client.
type replayEvent struct {
	at      time.Time
	order   int
	request *replayRequest
	slot    *Slot
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayResult is what became of the requests of one team.
type replayResult struct {
	// asked counts clients, late those served with a start past the objective since they first asked,
	// gaveUp those that were never served; refusals counts attempts that were refused, slow those that
	// were refused later than a quarter of the objective.
	asked, inTime, late, gaveUp, refusals, slow int
}

func (r *replayResult) add(other replayResult) {
	r.asked += other.asked
	r.inTime += other.inTime
	r.late += other.late
	r.gaveUp += other.gaveUp
	r.refusals += other.refusals
	r.slow += other.slow
}

func (r replayResult) share() float64 { return float64(r.inTime) / float64(max(1, r.asked)) }

func (r replayResult) String() string {
	return fmt.Sprintf("%5d asked, %5d in time (%.3f), %4d late, %4d given up, %4d refusals, %3d of them slow", r.asked, r.inTime, r.share(), r.late, r.gaveUp, r.refusals, r.slow)
}

// replay plays the decisions of many schedulers before shared servers in simulated time, without a
// network. Load pattern: 75 VMs in front of 57 servers of 8 slots; traffic swings between 0.38 and 1.85 of
// 218 requests/s every 5.2 s; one team sends 7.5 times its usual load for 6.5 s.
type replay struct {
	random     *rand.Rand
	clock      *scripttest.Clock
	start      time.Time
	schedulers []*Scheduler
	groups     []int
	groupCount int
	// running counts the requests at each server.
	running map[string]int
	events  replayEvents
	order   int
	waiting []*replayRequest
	results []replayResult
	// freeAtRefusal is the sum over all refusals of the slots that were free then.
	freeAtRefusal int
	// full counts attempts that met a full server; busy is the time of slots in use while the team is heavy.
	full int
	busy time.Duration
	// idle is the time that slots were free while requests waited, slotTime all the time of the slots.
	idle, slotTime time.Duration
	load           func(at time.Duration, team int) float64
}

// replaySwing is the factor of the traffic at the time.
func replaySwing(at time.Duration) float64 {
	return 1.115 + 0.735*math.Sin(2*math.Pi*at.Seconds()/5.2)
}

// heavyLoad returns requests/s of a team, of which the first has three tenths of the usual load and becomes heavy.
func heavyLoad(at time.Duration, team int) float64 {
	base := 218 * 0.7 / (replayTeams - 1)
	if team == 0 {
		base = 218 * 0.3
		if at >= heavyFrom && at < heavyTo {
			base *= 7.5
		}
	}
	return base * replaySwing(at)
}

// calmLoad is the usual load, without a heavy team.
func calmLoad(at time.Duration, team int) float64 {
	if team == 0 {
		return 218 * 0.3 * replaySwing(at)
	}
	return 218 * 0.7 / (replayTeams - 1) * replaySwing(at)
}

func newReplay(seed uint64, cut bool, load func(time.Duration, int) float64) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, seed)), clock: scripttest.NewClock(), running: map[string]int{}, results: make([]replayResult, replayTeams), load: load, groupCount: 1}
	r.start = r.clock.Now()
	records := map[string]bergamotgrade.ServerRecord{}
	for i := range replayServers {
		id := fmt.Sprintf("s%02d", i)
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: replaySlots}
	}
	if cut {
		r.groupCount = 2
	}
	for i := range replayVMs {
		s := NewScheduler(r.clock, placement.NewSelector(fmt.Sprintf("vm%02d", i), "here"), func() {})
		s.random = r.random.Uint64
		s.SetServers(records)
		s.SetRegisteredCallers(replayVMs)
		r.schedulers = append(r.schedulers, s)
		group := 0
		if cut && i%3 == 0 {
			group = 1
		}
		r.groups = append(r.groups, group)
	}
	return r
}

// report tells each VM the load of the others that it hears, and the work that they are asked for.
func (r *replay) report(tellsWork bool) {
	for group := range r.groupCount {
		total, vms := map[string]int{}, 0
		var works [][]share.ServiceWork
		for i, s := range r.schedulers {
			if r.groups[i] != group {
				continue
			}
			vms++
			works = append(works, s.Asked())
			for id, load := range s.Load() {
				total[id] += load[placement.Online]
			}
		}
		asked := share.Sum(works...)
		for i, s := range r.schedulers {
			if r.groups[i] != group {
				continue
			}
			own := s.Load()
			others := map[string]placement.Load{}
			for id, count := range total {
				others[id] = placement.Load{count - own[id][placement.Online]}
			}
			s.UpdatePeers("here", others, nil, VMCounts{Callers: vms})
			if tellsWork {
				s.SetAsked("here", vms-1, share.Subtract(asked, s.Asked()))
			} else {
				s.SetAsked("here", vms-1, nil)
			}
		}
	}
}

func (r *replay) push(at time.Time, request *replayRequest, slot *Slot) {
	r.order++
	heap.Push(&r.events, replayEvent{at, r.order, request, slot})
}

func (r *replay) play() {
	for at := time.Duration(0); at < replayLength+replayTimeout; at += replayStep {
		if at%replayReport == 0 {
			r.report(at%replayAsked == 0)
		}
		if at < replayLength {
			r.arrive(at)
		}
		for len(r.events) > 0 && !r.events[0].at.After(r.clock.Now()) {
			event := heap.Pop(&r.events).(replayEvent)
			if event.slot != nil {
				r.running[event.slot.Server().ServerID]--
				event.slot.Release(placement.OutcomeServed)
				continue
			}
			r.enter(event.request)
		}
		r.poll()
		used := 0
		for _, count := range r.running {
			used += min(count, replaySlots)
		}
		if free := replayServers*replaySlots - used; free > 0 && len(r.waiting) > 0 {
			r.idle += time.Duration(min(free, len(r.waiting))) * replayStep
		}
		if at >= heavyFrom && at < heavyTo {
			r.busy += time.Duration(used) * replayStep
		}
		r.slotTime += replayServers * replaySlots * replayStep
		r.clock.Advance(replayStep)
	}
}

// arrive enters the fresh requests of one step.
func (r *replay) arrive(at time.Duration) {
	for team := range replayTeams {
		mean := r.load(at, team) * replayStep.Seconds()
		for p := r.random.ExpFloat64(); p < mean; p += r.random.ExpFloat64() {
			size := 0.6 + 0.8*r.random.Float64()
			request := &replayRequest{team: team, cost: 1500 * size, run: time.Duration(size * float64(700*time.Millisecond)), askedAt: r.clock.Now()}
			r.results[team].asked++
			r.enter(request)
		}
	}
}

// enter sends the request to a VM drawn at random.
func (r *replay) enter(request *replayRequest) {
	request.vm, request.enteredAt = r.random.IntN(replayVMs), r.clock.Now()
	request.avoid, request.rejections, request.slot = map[string]bool{}, 0, nil
	r.acquire(request)
}

func (r *replay) acquire(request *replayRequest) {
	slot, w, err := r.schedulers[request.vm].enter(SlotRequest{
		Servers: replayServices, Team: fmt.Sprint("team", request.team), Cost: request.cost, Avoid: request.avoid,
		LatestStart: request.enteredAt.Add(replayObjective), Deadline: request.askedAt.Add(replayTimeout), RejectIfLate: request.isEarly(r.clock.Now()), Previous: request.slot,
	})
	switch {
	case err != nil:
		r.refused(request, err)
	case slot != nil:
		r.send(request, slot)
	default:
		request.waiter = w
		r.waiting = append(r.waiting, request)
	}
}

// send runs the request at the server of the slot, unless the server is full.
func (r *replay) send(request *replayRequest, slot *Slot) {
	id := slot.Server().ServerID
	request.slot = slot
	if r.running[id] >= replaySlots {
		slot.Release(placement.OutcomeFull)
		r.full++
		request.avoid[id] = true
		if request.rejections++; request.rejections >= slot.maxRejections(request.isEarly(r.clock.Now())) {
			r.refused(request, overloadedError().WithRetryAt(r.schedulers[request.vm].FullReturn(slot)))
			return
		}
		r.acquire(request)
		return
	}
	r.running[id]++
	result := &r.results[request.team]
	if !request.started {
		request.started = true
		if r.clock.Now().Sub(request.askedAt) <= replayObjective {
			result.inTime++
		} else {
			result.late++
		}
	}
	r.push(r.clock.Now().Add(request.run), nil, slot)
}

// refused lets the client come back if Retry-After is within a third of its remaining time.
func (r *replay) refused(request *replayRequest, err error) {
	now := r.clock.Now()
	result := &r.results[request.team]
	result.refusals++
	if now.Sub(request.enteredAt) > replayObjective/4 {
		result.slow++
	}
	for _, count := range r.running {
		r.freeAtRefusal += replaySlots - min(count, replaySlots)
	}
	retryAt := bergamotgrade.AsError(err).RetryAt()
	if retryAt.Sub(now) > request.askedAt.Add(replayTimeout).Sub(now)/3 {
		result.gaveUp++
		return
	}
	r.push(retryAt, request, nil)
}

// poll takes the slots that waiting requests have got.
func (r *replay) poll() {
	waiting := r.waiting
	r.waiting = nil
	for _, request := range waiting {
		select {
		case granted := <-request.waiter.result:
			if granted.err != nil {
				r.refused(request, granted.err)
				continue
			}
			r.send(request, granted.slot)
		default:
			if !r.clock.Now().Before(request.waiter.item.Deadline) {
				r.results[request.team].gaveUp++
				continue
			}
			r.waiting = append(r.waiting, request)
		}
	}
}

// light returns the sum of the teams that are not heavy, and the least and the largest share of requests
// served in time of one of them.
func (r *replay) light() (sum replayResult, least, largest float64) {
	least = 1
	for _, result := range r.results[1:] {
		sum.add(result)
		least, largest = min(least, result.share()), max(largest, result.share())
	}
	return sum, least, largest
}

// busyFraction returns the fraction of the slots in use while the team is heavy.
func (r *replay) busyFraction() float64 {
	return r.busy.Seconds() / (heavyTo - heavyFrom).Seconds() / replayServers / replaySlots
}

func (r *replay) log(t *testing.T, name string) {
	light, least, largest := r.light()
	t.Logf("%s\n  heavy %v\n  light %v\n  light teams in time: least %.3f, largest %.3f; free slots at a refusal %.1f of 456; slots idle while requests waited %.4f; attempts at full servers %d; slots in use while the team is heavy %.3f",
		name, r.results[0], light, least, largest, float64(r.freeAtRefusal)/float64(max(1, light.refusals+r.results[0].refusals)), float64(r.idle)/float64(r.slotTime), r.full, r.busyFraction())
}

// TestReplayOfHeavyTeam guards against requests of light teams that are refused or late because of another team, with all
// VMs in contact and with a third of them cut off. Before shares, light teams got 0.843 and 0.841 of their requests served
// in time, the worst of them 0.783 and 0.773.
func TestReplayOfHeavyTeam(t *testing.T) {
	for _, cut := range []bool{false, true} {
		r := newReplay(1, cut, heavyLoad)
		r.play()
		r.log(t, fmt.Sprintf("heavy team, a third of the VMs cut off: %t", cut))
		light, least, _ := r.light()
		qt.Check(t, light.share() > 0.95, qt.IsTrue)
		qt.Check(t, least > 0.9, qt.IsTrue)
		qt.Check(t, light.refusals < light.asked/8, qt.IsTrue)
		qt.Check(t, light.slow < light.asked/50, qt.IsTrue)
		// Slots stay in use: without shares it is 0.82 over the time of the peak, with its troughs.
		qt.Check(t, r.busyFraction() > 0.76, qt.IsTrue)
	}
}

// TestReplayOfCalmLoad guards against any effect of shares below capacity.
func TestReplayOfCalmLoad(t *testing.T) {
	for _, cut := range []bool{false, true} {
		r := newReplay(1, cut, calmLoad)
		r.play()
		r.log(t, fmt.Sprintf("calm, a third of the VMs cut off: %t", cut))
		refusals := 0
		for _, result := range r.results {
			qt.Check(t, result.inTime, qt.Equals, result.asked)
			refusals += result.refusals
		}
		for _, s := range r.schedulers {
			qt.Check(t, s.ShareCounts(), qt.Equals, ShareCounts{})
		}
		if cut {
			// One request meets four servers that are full of requests of the VMs that its VM does not hear from; it is
			// the same without shares.
			qt.Check(t, refusals <= 1, qt.IsTrue)
		} else {
			qt.Check(t, refusals, qt.Equals, 0)
		}
	}
}
