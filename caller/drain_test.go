package caller

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// Guards against requests that a draining VM takes and cuts at the end of the drain.
func TestDrainRefusesWhatItMayNotAnswer(t *testing.T) {
	clock := bergamotgrade.SystemClock{}
	server := &Server{deps: Dependencies{Clock: clock}, requests: newInFlight()}
	begunAt := clock.Now()
	qt.Assert(t, server.checkStop(begunAt.Add(time.Hour), false), qt.IsNil)
	ctx, cancel := context.WithDeadline(context.Background(), begunAt.Add(time.Second))
	defer cancel()
	requestCtx, cancelRequest := context.WithCancelCause(context.Background())
	defer server.requests.add(identity{}, cancelRequest)()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_ = server.Drain(ctx, &http.Server{}, 300*time.Millisecond, time.Minute)
	}()
	for !server.Draining() {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, server.checkStop(begunAt.Add(500*time.Millisecond), false), qt.IsNil)
	qt.Check(t, server.checkStop(begunAt.Add(time.Minute), true), qt.IsNil)
	early := server.checkStop(begunAt.Add(time.Minute), false)
	time.Sleep(time.Until(begunAt.Add(350 * time.Millisecond)))
	late := server.checkStop(begunAt.Add(time.Minute), true)
	for _, err := range []error{early, late} {
		qt.Check(t, bergamotgrade.AsError(err).NotRun(), qt.IsTrue)
		qt.Check(t, bergamotgrade.AsError(err).Status(), qt.Equals, http.StatusServiceUnavailable)
	}
	<-requestCtx.Done()
	qt.Check(t, context.Cause(requestCtx), qt.Equals, error(errStopping))
	qt.Check(t, clock.Now().Before(begunAt.Add(time.Second)), qt.IsTrue)
	<-drained
}
