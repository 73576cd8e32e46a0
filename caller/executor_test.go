package caller

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/batch"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/quarantine"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// endingBackend ends under each of the first calls and answers the others.
type endingBackend struct {
	bergamotgrade.Backend
	mu   sync.Mutex
	ends int
}

func (b *endingBackend) Call(context.Context, bergamotgrade.BackendServer, bergamotgrade.ServiceCall) (bergamotgrade.ServiceAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ends--; b.ends >= 0 {
		return bergamotgrade.ServiceAnswer{}, bergamotgrade.MaybeRan(io.ErrUnexpectedEOF)
	}
	return bergamotgrade.ServiceAnswer{Status: http.StatusOK, Body: []byte(`"done"`)}, nil
}

// settableState is a StateSource whose state the test sets.
type settableState struct {
	StateSource
	state atomic.Pointer[release.State]
}

func newSettableState(state *release.State) *settableState {
	source := &settableState{}
	source.state.Store(state)
	return source
}

func (s *settableState) State() *release.State { return s.state.Load() }

// openLimiter admits everything.
type openLimiter struct{ bergamotgrade.Limiter }

func (openLimiter) AdmitBatch(context.Context, bergamotgrade.Team) error { return nil }

// serviceState returns a state at revision 2 with a team and a service.
func serviceState() *release.State {
	return release.NewState().Apply(release.AcceptedNote{Revision: 1}).Apply(release.AcceptedNote{Revision: 2, Note: release.Note{Set: release.Records{
		Teams:          []bergamotgrade.Team{{TeamID: "t"}},
		BackendServers: []bergamotgrade.BackendServer{{BackendServerID: "s1", Slots: 4}, {BackendServerID: "s2", Slots: 4}, {BackendServerID: "s3", Slots: 4}},
		Services:       []bergamotgrade.Service{{ServiceID: "svc", BackendServerIDs: []string{"s1", "s2", "s3"}, Routes: []bergamotgrade.Route{{Method: http.MethodPost, PathPrefix: "/", Idempotent: true}}}},
	}}})
}

// newTestExecutor returns an executor whose backend servers answer after the given number of ends.
func newTestExecutor(source StateSource, ends int) *Executor {
	clock, log := bergamotgrade.SystemClock{}, slog.New(slog.NewTextHandler(io.Discard, nil))
	dispatcher := dispatch.New(clock, &endingBackend{ends: ends}, quarantine.New(quarantine.Config{Clock: clock, Log: log}), timeline.New(clock, "vm1"), route.PolicySpread, dispatch.BatchYield)
	dispatcher.SetState(serviceState(), dispatch.VMSet{Self: "vm1", Count: 1})
	return NewExecutor(Dependencies{Clock: clock, Source: source, Limiter: openLimiter{}, Dispatcher: dispatcher})
}

func serviceItem() batch.Item {
	return batch.Item{Method: http.MethodPost, URL: "/v1/services/svc/x", Body: json.RawMessage(`{}`)}
}

// A batch item under which servers ended more often than it may fail is not given up.
func TestItemGivenUpAfterServersEndedUnderIt(t *testing.T) {
	// A request is sent to up to three servers.
	executor := newTestExecutor(newSettableState(serviceState()), 3*maxItemFailures+1)
	result, err := executor.Execute(context.Background(), batch.Job{JobID: "j", TeamID: "t"}, serviceItem())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Error, qt.IsNil)
	qt.Assert(t, string(result.Response.Body), qt.Equals, `"done"`)
}

// Guards against accepted items that fail for good because the VM that runs them does not know their team, model
// or route yet.
func TestItemWaitsForTheStateOfItsJob(t *testing.T) {
	source := newSettableState(release.NewState())
	executor := newTestExecutor(source, 0)
	ended := make(chan batch.Result, 1)
	go func() {
		result, err := executor.Execute(context.Background(), batch.Job{JobID: "j", TeamID: "t", StateRevision: 2}, serviceItem())
		qt.Check(t, err, qt.IsNil)
		ended <- result
	}()
	select {
	case result := <-ended:
		t.Fatalf("the item ended: %+v", result.Error)
	case <-time.After(2 * itemRetryDelay):
	}
	source.state.Store(serviceState())
	result := <-ended
	qt.Assert(t, result.Error, qt.IsNil)
	qt.Assert(t, string(result.Response.Body), qt.Equals, `"done"`)
	// Without the state of the acceptance, an item whose route is gone still ends.
	source.state.Store(release.NewState())
	result, err := executor.Execute(context.Background(), batch.Job{JobID: "j", TeamID: "t"}, serviceItem())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Error, qt.IsNotNil)
}
