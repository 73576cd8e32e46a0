package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// leavingExchanger answers each request with status; the answers say that the server leaves.
type leavingExchanger struct {
	mu     sync.Mutex
	status int
	sent   []string
}

func (e *leavingExchanger) Exchange(_ context.Context, server bergamotgrade.ServerRecord, _ bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, server.ServerID)
	return &bergamotgrade.Answer{Status: e.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), ServerLeaving: true}, nil
}

// TestWaitingRequestsOfEvacuatedServersAreRefused guards against requests that hold a slot without having
// been sent, or wait, when the data centre of all their servers is evacuated.
func TestWaitingRequestsOfEvacuatedServersAreRefused(t *testing.T) {
	scheduler := newScheduler("a")
	inner := &leavingExchanger{status: http.StatusOK}
	exchanger := NewObservingExchanger(inner, scheduler, slog.New(slog.NewTextHandler(io.Discard, nil)))
	now := time.Now()
	request := SlotRequest{Servers: bergamotgrade.ServerSet{Service: "svc"}, LatestStart: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	slot, err := scheduler.Acquire(context.Background(), request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, scheduler.MaySend(slot), qt.IsNil)
	waited := make(chan error, 1)
	go func() {
		_, err := scheduler.Acquire(context.Background(), request)
		waited <- err
	}()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		scheduler.mu.Lock()
		waiting = scheduler.queue(request.Servers).Len()
		scheduler.mu.Unlock()
	}
	scheduler.SetEvacuated(map[string]bool{slot.Server().DataCentre: true})
	select {
	case err := <-waited:
		failure := bergamotgrade.AsError(err)
		qt.Assert(t, failure.Kind(), qt.Equals, bergamotgrade.KindNoBackendServer)
		qt.Assert(t, failure.RetryAt().After(now), qt.IsTrue)
	case <-time.After(time.Second):
		t.Fatal("a request still waits for a server of an evacuated data centre")
	}
	qt.Assert(t, errors.Is(scheduler.MaySend(slot), bergamotgrade.ErrServerEvacuated), qt.IsTrue)
	_, err = exchanger.Exchange(context.Background(), slot.Server(), bergamotgrade.Attempt{})
	var dispatch *bergamotgrade.DispatchError
	qt.Assert(t, errors.As(err, &dispatch), qt.IsTrue)
	qt.Assert(t, dispatch.MaybeRan(), qt.IsFalse)
	qt.Assert(t, inner.sent, qt.HasLen, 0)
	_, _, ok := scheduler.AcquireBatch(context.Background(), request.Servers, nil, now)
	qt.Assert(t, ok, qt.IsFalse)
}

// TestNothingReachesServerThatLeaves guards against requests that got their slot, or began to wait,
// before the server said that it leaves; any answer counts.
func TestNothingReachesServerThatLeaves(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusMisdirectedRequest} {
		scheduler := newScheduler("a")
		inner := &leavingExchanger{status: status}
		exchanger := NewObservingExchanger(inner, scheduler, slog.New(slog.NewTextHandler(io.Discard, nil)))
		now := time.Now()
		request := SlotRequest{Servers: bergamotgrade.ServerSet{Service: "svc"}, LatestStart: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
		slot, err := scheduler.Acquire(context.Background(), request)
		qt.Assert(t, err, qt.IsNil)
		waited := make(chan error, 1)
		go func() {
			_, err := scheduler.Acquire(context.Background(), request)
			waited <- err
		}()
		for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
			scheduler.mu.Lock()
			waiting = scheduler.queue(request.Servers).Len()
			scheduler.mu.Unlock()
		}
		_, err = exchanger.Exchange(context.Background(), slot.Server(), bergamotgrade.Attempt{})
		qt.Assert(t, err, qt.IsNil)

		// The request that waits is rejected at once: no server is left.
		select {
		case err := <-waited:
			failure := bergamotgrade.AsError(err)
			qt.Assert(t, failure.Kind(), qt.Equals, bergamotgrade.KindNoBackendServer)
			qt.Assert(t, failure.RetryAt().After(now), qt.IsTrue)
		case <-time.After(time.Second):
			t.Fatal("a request still waits for a server that leaves")
		}
		_, err = exchanger.Exchange(context.Background(), slot.Server(), bergamotgrade.Attempt{})
		var dispatch *bergamotgrade.DispatchError
		qt.Assert(t, errors.As(err, &dispatch), qt.IsTrue)
		qt.Assert(t, dispatch.MaybeRan(), qt.IsFalse)
		qt.Assert(t, errors.Is(err, bergamotgrade.ErrServerLeaving), qt.IsTrue)
		qt.Assert(t, inner.sent, qt.HasLen, 1)
		slot.Release(placement.OutcomeServed)
		_, err = scheduler.Acquire(context.Background(), request)
		qt.Assert(t, bergamotgrade.IsKind(err, bergamotgrade.KindNoBackendServer), qt.IsTrue)
		_, _, ok := scheduler.AcquireBatch(context.Background(), request.Servers, nil, now)
		qt.Assert(t, ok, qt.IsFalse)
	}
}
