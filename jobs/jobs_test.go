package jobs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/quarantine"
	"github.com/bergamotgrade/bergamotgrade/relay"
)

// faultyStore makes commits fail: refused, lost before they take effect, applied with
// the answer lost, or applied long after the caller got an error.
type faultyStore struct {
	*standin.Store
	mu sync.Mutex
	// fault returns the fault of the nth commit, counted from 0; empty for none.
	fault   func(n int) string
	commits int
	// reads counts the calls of Read; only tests without concurrency use it.
	reads int
}

func (s *faultyStore) Read(ctx context.Context, key string, stale bool) (bergamotgrade.Entry, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	return s.Store.Read(ctx, key, stale)
}

func (s *faultyStore) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	s.mu.Lock()
	fault := ""
	if s.fault != nil {
		fault = s.fault(s.commits)
	}
	s.commits++
	s.mu.Unlock()
	down := bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "no answer", "wait")
	switch fault {
	case "refused":
		return bergamotgrade.CommitResult{}, down.WithNotRun()
	case "lost":
		return bergamotgrade.CommitResult{}, down
	case "applied":
		_, _ = s.Store.Commit(ctx, commit)
		return bergamotgrade.CommitResult{}, down
	case "late":
		time.AfterFunc(400*time.Millisecond, func() { _, _ = s.Store.Commit(context.Background(), commit) })
		return bergamotgrade.CommitResult{}, down
	}
	return s.Store.Commit(ctx, commit)
}

// engine simulates the backend servers. It answers an item with four events, unless the
// prefix of the item's id selects a failure: "breaks" truncates the first answer, "ends" does
// too and its second answer ends with the connection after the head, "fails" gets status 500
// and "never" status 422.
type engine struct {
	mu sync.Mutex
	// runs counts the attempts of each item.
	runs    map[string]int
	resumes []string
	runTime time.Duration
	// runTimeStep is added to the run time for each attempt that was made so far.
	runTimeStep time.Duration
	// failingServers holds the ids of the servers that fail all requests.
	failingServers map[string]bool
	// secondBodies holds what the second answer of an item has as its body, by item; its first
	// answer is truncated.
	secondBodies map[string]string
	// unsendable is the id of an item that cannot be written as one HTTP request.
	unsendable string
}

func (e *engine) Exchange(ctx context.Context, server bergamotgrade.ServerRecord, attempt bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	e.mu.Lock()
	e.runs[attempt.RequestID]++
	run := e.runs[attempt.RequestID]
	runTime := e.runTime + time.Duration(e.totalRuns())*e.runTimeStep
	if attempt.ResumeAfter != "" {
		e.resumes = append(e.resumes, attempt.RequestID+" after "+attempt.ResumeAfter)
	}
	e.mu.Unlock()
	if attempt.RequestID == e.unsendable {
		return nil, bergamotgrade.NotSent(bergamotgrade.ErrUnsendable)
	}
	if runTime > 0 {
		bergamotgrade.Sleep(ctx, runTime)
	}
	answer := &bergamotgrade.Answer{Status: http.StatusOK, Header: http.Header{}, Signed: true}
	from, _ := strconv.Atoi(attempt.ResumeAfter)
	var text strings.Builder
	secondBody, hasSecond := e.secondBodies[attempt.RequestID]
	breaks := run == 1 && (hasSecond || strings.HasPrefix(attempt.RequestID, "breaks") || strings.HasPrefix(attempt.RequestID, "ends"))
	answer.EndsWithConnection = run == 2 && strings.HasPrefix(attempt.RequestID, "ends")
	for i := from + 1; i <= 4 && !answer.EndsWithConnection; i++ {
		if breaks && i == 3 {
			break
		}
		fmt.Fprintf(&text, "id: %d\ndata: %s-%d\n\n", i, attempt.RequestID, i)
	}
	var body io.Reader = strings.NewReader(text.String())
	switch {
	case hasSecond && run == 2:
		body = strings.NewReader(secondBody)
	case strings.HasPrefix(attempt.RequestID, "never"):
		answer.Status = http.StatusUnprocessableEntity
	case strings.HasPrefix(attempt.RequestID, "fails"), e.failingServers[server.ServerID]:
		answer.Status = http.StatusInternalServerError
	case breaks:
		body = io.MultiReader(body, brokenBody{})
	case strings.HasPrefix(attempt.RequestID, "endless") && run == 1:
		body = &endlessBody{}
	}
	answer.Body = io.NopCloser(body)
	return answer, nil
}

// attempts returns the number of attempts at all items.
func (e *engine) attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totalRuns()
}

// totalRuns returns the number of attempts; the caller holds the lock.
func (e *engine) totalRuns() int {
	total := 0
	for _, runs := range e.runs {
		total += runs
	}
	return total
}

// endlessBody is a stream of events without end.
type endlessBody struct{ events, sent int }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.events++
	n := copy(p, fmt.Sprintf("id: %d\ndata: %s\n\n", b.events, strings.Repeat("x", 1000)))
	b.sent += n
	if b.sent > 4*maxItemTextBytes {
		return 0, errors.New("the reader takes bytes without end")
	}
	return n, nil
}

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// noOwnerResults returns no results, so that all are read from the store.
func noOwnerResults(context.Context, string, Head, int) []Result { return nil }

type noObserver struct{}

func (noObserver) Count(string)                  {}
func (noObserver) Observe(string, time.Duration) {}

// testVM is one process that accepts and runs jobs. It implements Fleet for its runner.
type testVM struct {
	name        string
	incarnation int64
	fleet       *testFleet
	headCache   *HeadCache
	repository  *Repository
	service     *Service
	runner      *Runner
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// testFleet is a store and the processes that use it.
type testFleet struct {
	store  *faultyStore
	engine *engine
	// servers holds the ids of the backend servers.
	servers []string
	config  *bergamotgrade.FleetConfiguration
	// loadBytes is the budget of each runner.
	loadBytes int64

	mu sync.Mutex
	// configurations holds the configurations of the VMs that do not have config.
	configurations map[string]*bergamotgrade.FleetConfiguration
	// alive maps the VM of each running process to its incarnation.
	alive map[string]int64
}

func newFleet() *testFleet {
	route := bergamotgrade.FleetRoute{
		Host: "h", PathPrefix: "/b/", Kind: bergamotgrade.RouteBatch, MaxAttempts: 3, Retention: time.Minute, RunObjective: 10 * time.Second,
		Targets: []bergamotgrade.RouteTarget{{Service: "svc", Weight: 1}}, MaxWaitingTokens: 1000,
	}
	return &testFleet{
		store: &faultyStore{Store: standin.NewStore(bergamotgrade.SystemClock{})}, engine: &engine{runs: map[string]int{}}, servers: []string{"e"}, alive: map[string]int64{}, configurations: map[string]*bergamotgrade.FleetConfiguration{},
		config: bergamotgrade.NewFleetConfiguration(1, 1, []bergamotgrade.FleetRoute{route}, nil, nil, bergamotgrade.CallerLimits{}),
	}
}

func (f *testFleet) setAlive(name string, incarnation int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive[name] = incarnation
}

// setConfiguration puts a configuration in force at one VM.
func (f *testFleet) setConfiguration(name string, config *bergamotgrade.FleetConfiguration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configurations[name] = config
}

func (vm *testVM) Configuration() *bergamotgrade.FleetConfiguration {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	if config, ok := vm.fleet.configurations[vm.name]; ok {
		return config
	}
	return vm.fleet.config
}

func (vm *testVM) RunnerFor(_ string, homes bergamotgrade.Homes, acceptedBy string) (string, int64) {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	for _, name := range []string{"vm1", "vm2"} {
		if incarnation := vm.fleet.alive[name]; incarnation > 0 && !vm.IsOutside(name, homes) {
			return name, incarnation
		}
	}
	return acceptedBy, vm.fleet.alive[acceptedBy]
}

func (vm *testVM) RunnerAlive(name string, incarnation int64) bool {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	return name != "" && vm.fleet.alive[name] == incarnation
}

func (f *testFleet) start(t *testing.T, name string) *testVM {
	vm := &testVM{name: name, incarnation: time.Now().UnixNano(), fleet: f}
	f.setAlive(name, vm.incarnation)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	clock := bergamotgrade.SystemClock{}
	vm.headCache = NewHeadCache(log)
	vm.repository = NewRepository(f.store, anyVM(f.store), vm.headCache, 1<<20, noOwnerResults)
	vm.service = NewService(clock, name, vm.repository, vm.headCache, vm, never, log)
	scheduler := relay.NewScheduler(clock, placement.NewSelector(name, "here"), func() {})
	records := map[string]bergamotgrade.ServerRecord{}
	for _, id := range f.servers {
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 8}
	}
	scheduler.SetServers(records)
	vm.runner = NewRunner(Config{
		Clock: clock, VMID: name, Incarnation: vm.incarnation, Fleet: vm, Scheduler: scheduler, Exchanger: f.engine, Guard: quarantine.New(quarantine.Config{Clock: clock, Log: log}),
		Repository: vm.repository, HeadCache: vm.headCache, Observer: noObserver{}, Log: log, ResultRetention: time.Minute, LoadBytes: f.loadBytes,
	})
	ctx, cancel := context.WithCancel(context.Background())
	vm.cancel = cancel
	vm.running.Go(func() { vm.runner.Run(ctx) })
	vm.running.Go(func() { vm.refreshHeads(ctx) })
	t.Cleanup(vm.kill)
	return vm
}

// refreshHeads copies the heads from the store to the cache every 10 ms.
func (vm *testVM) refreshHeads(ctx context.Context) {
	for bergamotgrade.Sleep(ctx, 10*time.Millisecond) {
		entries, _, _ := vm.fleet.store.Range(ctx, HeadPrefix, false)
		byKey := map[string]bergamotgrade.Entry{}
		for _, entry := range entries {
			byKey[entry.Key] = entry
		}
		vm.headCache.SetEntries(byKey)
	}
}

// kill ends the process without a graceful stop.
func (vm *testVM) kill() {
	vm.cancel()
	vm.running.Wait()
	vm.fleet.setAlive(vm.name, 0)
}

func (vm *testVM) submit(id string, itemIDs ...string) error {
	return vm.submitFor("team", id, itemIDs...)
}

func (vm *testVM) submitFor(team, id string, itemIDs ...string) error {
	var items []Item
	for _, item := range itemIDs {
		items = append(items, Item{ItemID: item, Path: "/b/x", Body: []byte("body of " + item), Tokens: 100})
	}
	return vm.submitItemsFor(team, id, items)
}

func (vm *testVM) submitItems(id string, items []Item) error {
	return vm.submitItemsFor("team", id, items)
}

func (vm *testVM) submitItemsFor(team, id string, items []Item) error {
	return vm.service.Submit(context.Background(), Submission{
		JobID: id, Team: team, Host: "h", Path: "/b/" + id, Route: vm.fleet.config.Route("h", "/b/"), Items: items,
		SameRoute: func(string, string) bool { return true }, ConfigVersion: vm.Configuration().Version, Deadline: time.Now().Add(4 * time.Second),
	})
}

// waitForResults polls until the job has want results; the test fails if it has fewer
// after the given time.
func (vm *testVM) waitForResults(t *testing.T, id string, want int, within time.Duration) []Result {
	t.Helper()
	end := time.Now().Add(within)
	for {
		_, found, err := vm.service.Results(context.Background(), "team", id, 0, time.Now())
		if err == nil && len(found) >= want {
			return found
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d results within %s: %v", len(found), want, within, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func byItem(results []Result) map[string]Result {
	found := map[string]Result{}
	for _, result := range results {
		found[result.ItemID] = result
	}
	return found
}

// TestLostCommitAnswers runs a job while two of three commits fail in one of the ways
// of faultyStore, and checks that every item gets exactly one result and that the
// results keep their positions.
func TestLostCommitAnswers(t *testing.T) {
	for _, fault := range []string{"lost", "applied", "late", "refused"} {
		t.Run(fault, func(t *testing.T) {
			f := newFleet()
			f.store.fault = func(n int) string {
				if n%3 != 2 {
					return fault
				}
				return ""
			}
			vm := f.start(t, "vm1")
			for vm.submit("j", "a", "b", "c", "d", "e") != nil {
			}
			found := vm.waitForResults(t, "j", 5, 10*time.Second)
			qt.Assert(t, byItem(found), qt.HasLen, 5)
			time.Sleep(500 * time.Millisecond)
			qt.Assert(t, vm.waitForResults(t, "j", 5, time.Second), qt.DeepEquals, found)
		})
	}
}

// TestNotRunOnlyIfNothingStored checks that an error of Submit is marked as not run
// only when it is certain that no part of the job is or will be stored.
func TestNotRunOnlyIfNothingStored(t *testing.T) {
	for fault, notRun := range map[string]bool{"refused": true, "late": false, "applied": false} {
		f := newFleet()
		f.store.fault = func(int) string { return fault }
		vm := f.start(t, "vm1")
		err := vm.submit("j", "a")
		if fault == "applied" {
			qt.Assert(t, err, qt.IsNil) // Submit reloaded the head and found the job stored
			continue
		}
		qt.Assert(t, bergamotgrade.AsError(err).NotRun(), qt.Equals, notRun, qt.Commentf(fault))
	}
}

// TestTakeover kills the owner of a job midway and checks that another process
// completes the job and that stored results keep their positions.
func TestTakeover(t *testing.T) {
	f := newFleet()
	f.engine.runTime = 50 * time.Millisecond
	first, second := f.start(t, "vm1"), f.start(t, "vm2")
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	qt.Assert(t, second.submit("j", ids[:10]...), qt.IsNil)
	before := second.waitForResults(t, "j", 5, 5*time.Second)
	first.kill()
	after := second.waitForResults(t, "j", 10, 10*time.Second)
	qt.Assert(t, after[:len(before)], qt.DeepEquals, before)
	qt.Assert(t, byItem(after), qt.HasLen, 10)
}

// TestRestartedOwner checks that a restarted process, which has a new incarnation,
// claims and completes the jobs of the former process on its VM.
func TestRestartedOwner(t *testing.T) {
	f := newFleet()
	f.engine.runTime = 100 * time.Millisecond
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "a", "b", "c", "d"), qt.IsNil)
	vm.kill()
	again := f.start(t, "vm1")
	qt.Assert(t, byItem(again.waitForResults(t, "j", 4, 5*time.Second)), qt.HasLen, 4)
}

// TestEnd checks that a cancelled job starts no more items, that its results stay
// readable, and that its item bodies do not.
func TestEnd(t *testing.T) {
	f := newFleet()
	f.engine.runTime = 300 * time.Millisecond
	vm, other := f.start(t, "vm1"), f.start(t, "vm2")
	ctx := context.Background()
	qt.Assert(t, vm.submit("j", "a", "b", "c", "d", "e", "f", "g", "h", "i"), qt.IsNil)
	body, err := other.service.ItemBody(ctx, "team", "j", "i")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "body of i")
	qt.Assert(t, other.service.End(ctx, "team", "j"), qt.IsNil)
	qt.Assert(t, other.service.End(ctx, "team", "j"), qt.IsNil)
	time.Sleep(time.Second)
	f.engine.mu.Lock()
	qt.Assert(t, f.engine.runs["i"], qt.Equals, 0)
	f.engine.mu.Unlock()
	_, err = other.service.ItemBody(ctx, "team", "j", "i")
	qt.Assert(t, bergamotgrade.IsKind(err, bergamotgrade.KindRouteUnknown), qt.IsTrue)
	_, _, err = other.service.Results(ctx, "team", "j", 0, time.Now())
	qt.Assert(t, err, qt.IsNil)
}

// TestDuplicateSubmissions checks that a job submitted at several processes is stored
// once, that another team cannot read it, and that a job beyond the team's limit on
// waiting tokens is refused.
func TestDuplicateSubmissions(t *testing.T) {
	f := newFleet()
	f.engine.runTime = time.Second
	vm, other := f.start(t, "vm1"), f.start(t, "vm2")
	ctx := context.Background()
	var submits sync.WaitGroup
	for _, at := range []*testVM{vm, other, vm, other} {
		submits.Go(func() { qt.Check(t, at.submit("j", "a", "b"), qt.IsNil) })
	}
	submits.Wait()
	total, _, err := other.service.Results(ctx, "team", "j", 0, time.Now())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, total, qt.Equals, 2)
	_, _, err = other.service.Results(ctx, "strangers", "j", 0, time.Now())
	qt.Assert(t, bergamotgrade.IsKind(err, bergamotgrade.KindRouteUnknown), qt.IsTrue)
	qt.Assert(t, vm.submit("k", "1", "2", "3", "4", "5", "6", "7", "8", "9"), qt.Satisfies, func(err error) bool {
		return bergamotgrade.IsKind(err, bergamotgrade.KindRateExceeded)
	})
	qt.Assert(t, vm.submit("j", "a", "b"), qt.IsNil)
}

// TestStaleHeadCache checks that results which were read at one process can be read
// at another one whose head cache is older.
func TestStaleHeadCache(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "a", "b"), qt.IsNil)
	found := vm.waitForResults(t, "j", 2, 5*time.Second)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	headCache := NewHeadCache(log)
	repository := NewRepository(f.store, anyVM(f.store), headCache, 1<<20, noOwnerResults)
	headCache.Put("j", Head{Team: "team", Items: 2, Revision: 1})
	staleService := NewService(bergamotgrade.SystemClock{}, "vm1", repository, headCache, vm, never, log)
	_, read, err := staleService.Results(context.Background(), "team", "j", 0, time.Now())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, found)
}

// never is the answer of a head cache that is not up to date.
func never(context.Context, time.Duration) bool { return false }

// TestPollsWithoutStoreCalls checks that a poll for results that do not exist yet makes no
// store call while the head cache is up to date, and one while it is not. Load pattern: every
// job is polled twice a second until it is done; these polls made up most calls of a day.
func TestPollsWithoutStoreCalls(t *testing.T) {
	store := &faultyStore{Store: standin.NewStore(bergamotgrade.SystemClock{})}
	headCache := NewHeadCache(slog.New(slog.NewTextHandler(io.Discard, nil)))
	repository := NewRepository(store, anyVM(store), headCache, 1<<20, noOwnerResults)
	_, _, created, err := repository.Create(context.Background(), "j", Head{Team: "team", Items: 1}, []Item{{ItemID: "a"}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, created, qt.IsTrue)
	upToDate := true
	service := NewService(bergamotgrade.SystemClock{}, "vm1", repository, headCache, nil, func(context.Context, time.Duration) bool { return upToDate }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, reads := range []int{0, 1} {
		before := store.reads
		total, found, err := service.Results(context.Background(), "team", "j", 0, time.Now())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, total, qt.Equals, 1)
		qt.Assert(t, found, qt.HasLen, 0)
		qt.Assert(t, store.reads-before, qt.Equals, reads)
		upToDate = false
	}
	// A caller that has read further than the cache shows is told by the store.
	upToDate = true
	before := store.reads
	_, _, err = service.Results(context.Background(), "team", "j", 1, time.Now())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, store.reads-before, qt.Equals, 1)
}

// TestMoreResultsThanOneCommit checks that results which accumulate while the store
// refuses commits are all stored, although they do not fit one commit.
func TestMoreResultsThanOneCommit(t *testing.T) {
	f := newFleet()
	f.store.fault = func(n int) string {
		if n > 0 && n < 12 {
			return "refused"
		}
		return ""
	}
	vm := f.start(t, "vm1")
	var ids []string
	for i := range 90 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	f.config.Route("h", "/b/").MaxWaitingTokens = 0
	qt.Assert(t, vm.submit("j", ids...), qt.IsNil)
	qt.Assert(t, byItem(vm.waitForResults(t, "j", 90, 10*time.Second)), qt.HasLen, 90)
}

// TestResultsFromOwnerMemory checks that results are read from the owner's memory
// first, and that the store supplies the results which the owner does not return.
func TestResultsFromOwnerMemory(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "a", "b", "c"), qt.IsNil)
	found := vm.waitForResults(t, "j", 3, 5*time.Second)
	asked := 0
	headCache := NewHeadCache(slog.New(slog.NewTextHandler(io.Discard, nil)))
	reader := NewRepository(f.store, anyVM(f.store), headCache, 1<<20, func(_ context.Context, jobID string, _ Head, from int) []Result {
		asked++
		return vm.repository.CachedResults(jobID, from)[:1]
	})
	_, head, _, err := reader.Find(context.Background(), "team", "j")
	qt.Assert(t, err, qt.IsNil)
	read, err := reader.Results(context.Background(), "j", head, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, found)
	qt.Assert(t, asked, qt.Equals, 1)
}

// TestLargeBody checks that a body larger than a value of the store is split and
// joined without loss.
func TestLargeBody(t *testing.T) {
	items := []Item{{ItemID: "a", Body: make([]byte, 2500)}, {ItemID: "b", Body: []byte("x")}}
	parts, err := splitBody(items, 1000)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(parts) > 2, qt.IsTrue)
	joined, err := joinBody(parts)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, joined, qt.DeepEquals, items)
}
