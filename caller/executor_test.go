package caller

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"

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

// fixedState is a StateSource with one state.
type fixedState struct {
	StateSource
	state *release.State
}

func (s fixedState) State() *release.State { return s.state }

// openLimiter admits everything.
type openLimiter struct{ bergamotgrade.Limiter }

func (openLimiter) AdmitBatch(context.Context, bergamotgrade.Team) error { return nil }

// A batch item under which servers ended more often than it may fail is not given up.
func TestItemGivenUpAfterServersEndedUnderIt(t *testing.T) {
	state := release.NewState().Apply(release.AcceptedNote{Revision: 1, Note: release.Note{Set: release.Records{
		Teams:          []bergamotgrade.Team{{TeamID: "t"}},
		BackendServers: []bergamotgrade.BackendServer{{BackendServerID: "s1", Slots: 4}, {BackendServerID: "s2", Slots: 4}, {BackendServerID: "s3", Slots: 4}},
		Services:       []bergamotgrade.Service{{ServiceID: "svc", BackendServerIDs: []string{"s1", "s2", "s3"}, Routes: []bergamotgrade.Route{{Method: http.MethodPost, PathPrefix: "/", Idempotent: true}}}},
	}}})
	clock, log := bergamotgrade.SystemClock{}, slog.New(slog.NewTextHandler(io.Discard, nil))
	backend := &endingBackend{ends: 3*maxItemFailures + 1} // a request is sent to up to three servers
	dispatcher := dispatch.New(clock, backend, quarantine.New(quarantine.Config{Clock: clock, Log: log}), timeline.New(clock, "vm1"), route.PolicySpread, dispatch.BatchYield)
	dispatcher.SetState(state, dispatch.VMSet{Self: "vm1", Count: 1})
	executor := NewExecutor(Dependencies{Clock: clock, Source: fixedState{state: state}, Limiter: openLimiter{}, Dispatcher: dispatcher})
	result, err := executor.Execute(context.Background(), batch.Job{JobID: "j", TeamID: "t"}, batch.Item{Method: http.MethodPost, URL: "/v1/services/svc/x", Body: json.RawMessage(`{}`)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Error, qt.IsNil)
	qt.Assert(t, string(result.Response.Body), qt.Equals, `"done"`)
}
