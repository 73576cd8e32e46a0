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
	"github.com/bergamotgrade/bergamotgrade/relay"
)

// lossyStore loses answers of commits: before or after they take effect, or long
// before they do.
type lossyStore struct {
	*standin.Store
	mu sync.Mutex
	// lose says what becomes of the nth commit, counted from 0.
	lose    func(n int) string
	commits int
}

func (s *lossyStore) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	s.mu.Lock()
	fate := ""
	if s.lose != nil {
		fate = s.lose(s.commits)
	}
	s.commits++
	s.mu.Unlock()
	down := bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "no answer", "wait")
	switch fate {
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

// engine runs items: each gives four events, unless its id says otherwise.
type engine struct {
	mu       sync.Mutex
	runs     map[string]int
	resumes  []string
	lifetime time.Duration
	// spread makes each run longer than the one before it.
	spread time.Duration
	// failing names the servers that fail all requests.
	failing map[string]bool
}

func (e *engine) Exchange(ctx context.Context, server bergamotgrade.ServerRecord, attempt bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	e.mu.Lock()
	e.runs[attempt.RequestID]++
	run := e.runs[attempt.RequestID]
	lifetime := e.lifetime + time.Duration(e.total())*e.spread
	if attempt.ResumeAfter != "" {
		e.resumes = append(e.resumes, attempt.RequestID+" after "+attempt.ResumeAfter)
	}
	e.mu.Unlock()
	if lifetime > 0 {
		bergamotgrade.Sleep(ctx, lifetime)
	}
	answer := &bergamotgrade.Answer{Status: http.StatusOK, Header: http.Header{}, Signed: true}
	from, _ := strconv.Atoi(attempt.ResumeAfter)
	var text strings.Builder
	for i := from + 1; i <= 4; i++ {
		if strings.HasPrefix(attempt.RequestID, "breaks") && run == 1 && i == 3 {
			break
		}
		fmt.Fprintf(&text, "id: %d\ndata: %s-%d\n\n", i, attempt.RequestID, i)
	}
	var body io.Reader = strings.NewReader(text.String())
	switch {
	case strings.HasPrefix(attempt.RequestID, "never"):
		answer.Status = http.StatusUnprocessableEntity
	case strings.HasPrefix(attempt.RequestID, "fails"), e.failing[server.ServerID]:
		answer.Status = http.StatusInternalServerError
	case strings.HasPrefix(attempt.RequestID, "breaks") && run == 1:
		body = io.MultiReader(body, brokenBody{})
	}
	answer.Body = io.NopCloser(body)
	return answer, nil
}

// total returns the number of runs; the caller holds the lock.
func (e *engine) total() int {
	total := 0
	for _, runs := range e.runs {
		total += runs
	}
	return total
}

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// noOwners has all results read from the store.
func noOwners(context.Context, string, Head, int) []Result { return nil }

type noObserver struct{}

func (noObserver) Count(string)                  {}
func (noObserver) Observe(string, time.Duration) {}

// testVM is one process that takes and runs jobs. It is its own view of the fleet.
type testVM struct {
	name       string
	incarn     int64
	fleet      *testFleet
	ledger     *Ledger
	repository *Repository
	service    *Service
	runner     *Runner
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// testFleet is a store with the processes before it.
type testFleet struct {
	store  *lossyStore
	engine *engine
	// servers names the backend servers.
	servers []string
	config  *bergamotgrade.FleetConfiguration

	mu    sync.Mutex
	alive map[string]int64
}

func newFleet() *testFleet {
	route := bergamotgrade.FleetRoute{
		Host: "h", PathPrefix: "/b/", Kind: bergamotgrade.RouteBatch, MaxAttempts: 3, Retention: time.Minute, RunObjective: 10 * time.Second,
		Targets: []bergamotgrade.RouteTarget{{Service: "svc", Weight: 1}}, MaxWaitingTokens: 1000,
	}
	return &testFleet{
		store: &lossyStore{Store: standin.NewStore(bergamotgrade.SystemClock{})}, engine: &engine{runs: map[string]int{}}, servers: []string{"e"}, alive: map[string]int64{},
		config: bergamotgrade.NewFleetConfiguration(1, 1, []bergamotgrade.FleetRoute{route}, nil, nil, bergamotgrade.CallerLimits{}),
	}
}

func (f *testFleet) setAlive(name string, incarnation int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive[name] = incarnation
}

func (vm *testVM) Configuration() *bergamotgrade.FleetConfiguration { return vm.fleet.config }

func (vm *testVM) RunnerFor(string) (string, int64) {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	for _, name := range []string{"vm1", "vm2"} {
		if incarnation := vm.fleet.alive[name]; incarnation > 0 {
			return name, incarnation
		}
	}
	return "", 0
}

func (vm *testVM) RunnerLives(name string, incarnation int64) bool {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	return name != "" && vm.fleet.alive[name] == incarnation
}

func (f *testFleet) start(t *testing.T, name string) *testVM {
	vm := &testVM{name: name, incarn: time.Now().UnixNano(), fleet: f}
	f.setAlive(name, vm.incarn)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	clock := bergamotgrade.SystemClock{}
	vm.ledger = NewLedger(log)
	vm.repository = NewRepository(f.store, vm.ledger, 1<<20, noOwners)
	vm.service = NewService(clock, vm.repository, vm.ledger, vm.RunnerFor, log)
	desk := relay.NewDesk(clock, placement.NewBoard(name, "here"), func() {})
	records := map[string]bergamotgrade.ServerRecord{}
	for _, id := range f.servers {
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 8}
	}
	desk.SetServers(records)
	vm.runner = NewRunner(Config{
		Clock: clock, VMID: name, Incarnation: vm.incarn, Fleet: vm, Desk: desk, Exchanger: f.engine,
		Repository: vm.repository, Ledger: vm.ledger, Observer: noObserver{}, Log: log, StatusLife: time.Minute,
	})
	ctx, cancel := context.WithCancel(context.Background())
	vm.cancel = cancel
	vm.running.Go(func() { vm.runner.Run(ctx) })
	vm.running.Go(func() { vm.loop(ctx) })
	t.Cleanup(vm.kill)
	return vm
}

// loop keeps the ledger up to date.
func (vm *testVM) loop(ctx context.Context) {
	for bergamotgrade.Sleep(ctx, 10*time.Millisecond) {
		entries, _, _ := vm.fleet.store.Range(ctx, HeadPrefix, false)
		byKey := map[string]bergamotgrade.Entry{}
		for _, entry := range entries {
			byKey[entry.Key] = entry
		}
		vm.ledger.SetEntries(byKey)
	}
}

// kill ends the process without any farewell.
func (vm *testVM) kill() {
	vm.cancel()
	vm.running.Wait()
	vm.fleet.setAlive(vm.name, 0)
}

func (vm *testVM) submit(id string, itemIDs ...string) error {
	var items []Item
	for _, item := range itemIDs {
		items = append(items, Item{ItemID: item, Path: "/b/x", Body: []byte("body of " + item), Tokens: 100})
	}
	return vm.service.Submit(context.Background(), Submission{
		JobID: id, Team: "team", Host: "h", Path: "/b/" + id, Route: vm.fleet.config.Route("h", "/b/"), Items: items,
		SameRoute: func(string, string) bool { return true }, Deadline: time.Now().Add(4 * time.Second),
	})
}

// results reads until the job has so many results or the time is over.
func (vm *testVM) results(t *testing.T, id string, want int, within time.Duration) []Result {
	t.Helper()
	end := time.Now().Add(within)
	for {
		_, found, err := vm.service.Results(context.Background(), "team", id, 0, time.Now())
		if err == nil && len(found) >= want {
			return found
		}
		if time.Now().After(end) {
			t.Fatalf("%d results of %d within %s: %v", len(found), want, within, err)
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

// TestLostAnswers runs a job while each answer of a commit may be lost, before or
// after it takes effect or long before: every item has one position for good.
func TestLostAnswers(t *testing.T) {
	for _, fate := range []string{"lost", "applied", "late", "refused"} {
		t.Run(fate, func(t *testing.T) {
			f := newFleet()
			f.store.lose = func(n int) string {
				if n%3 != 2 {
					return fate
				}
				return ""
			}
			vm := f.start(t, "vm1")
			for vm.submit("j", "a", "b", "c", "d", "e") != nil {
			}
			found := vm.results(t, "j", 5, 10*time.Second)
			qt.Assert(t, byItem(found), qt.HasLen, 5)
			time.Sleep(500 * time.Millisecond)
			qt.Assert(t, vm.results(t, "j", 5, time.Second), qt.DeepEquals, found)
		})
	}
}

// TestRefusalIsTrue: a job is refused as not run only when it is certain that no
// part of it is stored.
func TestRefusalIsTrue(t *testing.T) {
	for fate, notRun := range map[string]bool{"refused": true, "late": false, "applied": false} {
		f := newFleet()
		f.store.lose = func(int) string { return fate }
		vm := f.start(t, "vm1")
		err := vm.submit("j", "a")
		if fate == "applied" {
			qt.Assert(t, err, qt.IsNil) // the next try found it
			continue
		}
		qt.Assert(t, bergamotgrade.AsError(err).NotRun(), qt.Equals, notRun, qt.Commentf(fate))
	}
}

// TestTakeover kills the owner of a job midway: another process goes on, and what
// was listed keeps its place.
func TestTakeover(t *testing.T) {
	f := newFleet()
	f.engine.lifetime = 50 * time.Millisecond
	first, second := f.start(t, "vm1"), f.start(t, "vm2")
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	qt.Assert(t, second.submit("j", ids[:10]...), qt.IsNil)
	before := second.results(t, "j", 5, 5*time.Second)
	first.kill()
	after := second.results(t, "j", 10, 10*time.Second)
	qt.Assert(t, after[:len(before)], qt.DeepEquals, before)
	qt.Assert(t, byItem(after), qt.HasLen, 10)
}

// TestRestartedOwner: the process that comes back under the same name is another
// one, and takes its former jobs up again.
func TestRestartedOwner(t *testing.T) {
	f := newFleet()
	f.engine.lifetime = 100 * time.Millisecond
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "a", "b", "c", "d"), qt.IsNil)
	vm.kill()
	again := f.start(t, "vm1")
	qt.Assert(t, byItem(again.results(t, "j", 4, 5*time.Second)), qt.HasLen, 4)
}

// TestEnd: an ended job starts no more items; what is listed stays, and bodies are
// no longer given.
func TestEnd(t *testing.T) {
	f := newFleet()
	f.engine.lifetime = 300 * time.Millisecond
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

// TestAcceptedOnce: the same job at several processes is one job; another team's
// id does not open it; a job beyond the team's waiting tokens is refused.
func TestAcceptedOnce(t *testing.T) {
	f := newFleet()
	f.engine.lifetime = time.Second
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

// TestStaleLedger: results that were read at one process are read at another one
// whose ledger lags.
func TestStaleLedger(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "a", "b"), qt.IsNil)
	found := vm.results(t, "j", 2, 5*time.Second)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ledger := NewLedger(log)
	repository := NewRepository(f.store, ledger, 1<<20, noOwners)
	ledger.Put("j", Head{Team: "team", Items: 2, Revision: 1})
	late := NewService(bergamotgrade.SystemClock{}, repository, ledger, vm.RunnerFor, log)
	_, read, err := late.Results(context.Background(), "team", "j", 0, time.Now())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, found)
}

// TestManyResultsAtOnce: results that gather while the store is away are listed
// although they do not fit one commit.
func TestManyResultsAtOnce(t *testing.T) {
	f := newFleet()
	f.store.lose = func(n int) string {
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
	qt.Assert(t, byItem(vm.results(t, "j", 90, 10*time.Second)), qt.HasLen, 90)
}

// TestResultsFromTheOwner: results come from the owner's memory where it has them,
// and only what it lacks from the store.
func TestResultsFromTheOwner(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "a", "b", "c"), qt.IsNil)
	found := vm.results(t, "j", 3, 5*time.Second)
	asked := 0
	ledger := NewLedger(slog.New(slog.NewTextHandler(io.Discard, nil)))
	reader := NewRepository(f.store, ledger, 1<<20, func(_ context.Context, jobID string, _ Head, from int) []Result {
		asked++
		return vm.repository.Cached(jobID, from)[:1]
	})
	head, _, err := reader.Find(context.Background(), "j")
	qt.Assert(t, err, qt.IsNil)
	read, err := reader.Results(context.Background(), "j", head, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, found)
	qt.Assert(t, asked, qt.Equals, 1)
}

// TestLargeBody: a body larger than a value of the store is kept whole.
func TestLargeBody(t *testing.T) {
	items := []Item{{ItemID: "a", Body: make([]byte, 2500)}, {ItemID: "b", Body: []byte("x")}}
	parts, err := splitBody(items, 1000)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(parts) > 2, qt.IsTrue)
	joined, err := joinBody(parts)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, joined, qt.DeepEquals, items)
}
