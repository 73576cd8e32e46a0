package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Drain stops the server without interrupting requests. Responses ask callers to close
// their connections. The server accepts connections for the notice period, and after it
// until no new connection has arrived for the quiet period; then Drain waits for all
// requests to finish. If ctx ends before the quiet period has passed, the server closes
// all connections at once, which interrupts open requests. Requests that are not sure to be answered before
// the deadline of ctx are refused before they run.
func (s *Server) Drain(ctx context.Context, server *http.Server, notice, quiet time.Duration) error {
	noticeEnd := time.Now().Add(notice)
	stop := bergamotgrade.PlannedStop{NoticeEnd: noticeEnd}
	if end, ok := ctx.Deadline(); ok {
		stop.AnswersBy = end.Add(-lastAnswersReserve)
		lastAnswers := time.AfterFunc(time.Until(stop.AnswersBy), func() { s.requests.cancelAll(errStopping) })
		defer lastAnswers.Stop()
	}
	s.stop.Store(&stop)
	ticker := time.NewTicker(max(quiet/10, time.Millisecond))
	defer ticker.Stop()
	for {
		lastAccept := time.Unix(0, s.lastAccept.Load())
		if time.Now().After(noticeEnd) && time.Since(lastAccept) > quiet {
			break
		}
		select {
		case <-ctx.Done():
			return server.Close()
		case <-ticker.C:
		}
	}
	return server.Shutdown(ctx)
}

// Draining reports whether Drain has been called.
func (s *Server) Draining() bool { return s.stop.Load() != nil }

// errStopping refuses or ends requests of a VM that stops.
var errStopping = bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM stops before the request is sure to be answered", "try another VM")

// checkStop refuses a request, which has not run, if this VM may stop before it is answered.
func (s *Server) checkStop(deadline time.Time, repeatable bool) error {
	stop, now := s.stop.Load(), s.deps.Clock.Now()
	if stop == nil || stop.MayTake(now, deadline, repeatable) {
		return nil
	}
	return errStopping.WithNotRun().WithRetryAt(now)
}
