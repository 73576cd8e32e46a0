package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// race is the first run of a request at a server and, if that is late, a second one.
type race struct {
	run           *requestRun
	attempt       bergamotgrade.Attempt
	first, second *leg
	// firstLost is set once the first run was closed: the second one won, or they overlapped for too long.
	firstLost bool
}

// exchange sends the attempt with the slot, and to a second server if the first one is late. It returns the
// run whose result counts; the caller closes it. Its slot is that of run.slot then.
func (run *requestRun) exchange(ctx context.Context, slot *Slot, attempt bergamotgrade.Attempt) *leg {
	h := run.relay.hedging
	delay, known := h.delay(run.req, run.runs+run.rejections == 0)
	if !run.req.Repeatable || run.headSent || !run.origin.IsZero() || run.events.Last() != "" {
		l, legCtx := run.newLeg(ctx, slot)
		defer close(l.ended)
		l.answer, l.err = run.relay.exchanger.Exchange(legCtx, slot.server, attempt)
		l.headAt = run.relay.clock.Now()
		return l
	}
	r := &race{run: run, attempt: attempt}
	var legCtx context.Context
	r.first, legCtx = run.newLeg(ctx, slot)
	if !known || !run.mayHedge() {
		run.runLeg(legCtx, r.first, attempt)
	} else {
		go run.runLeg(legCtx, r.first, attempt)
		r.waitFor(r.first, delay)
		if !r.first.hasEnded() {
			r.startSecond(ctx)
		}
	}
	winner := r.finish(ctx)
	run.slot, run.timer, run.sentAt, run.serverID = winner.slot, winner.timer, winner.sentAt, winner.slot.server.ServerID
	return winner
}

// mayHedge reports whether the request may run at one more server than now. A request under which a connection
// has broken is not spread to further servers at the same time.
func (run *requestRun) mayHedge() bool {
	return !run.hedged && run.canRetry() && run.lostConnections == 0 && !run.relay.guard.IsQuarantined(run.req.traits())
}

// waitFor waits for the end of the leg for at most d.
func (r *race) waitFor(l *leg, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.ended:
	case <-timer.C:
	}
}

// startSecond starts the second run if the request, the budget and a free slot allow it.
func (r *race) startSecond(ctx context.Context) {
	run, req, h := r.run, r.run.req, r.run.relay.hedging
	now := run.relay.clock.Now()
	if ctx.Err() != nil || !run.mayHedge() || !now.Before(req.Deadline.Add(-minAttemptTime)) || !h.take(req) {
		return
	}
	servers := bergamotgrade.ServerSet{Service: req.Service, Homes: req.Homes}
	if req.Streams {
		// The record of the stream's origin holds for both runs.
		servers = bergamotgrade.OriginOf(r.first.slot.server).Servers(req.Service, req.Homes)
	}
	slot := run.relay.scheduler.AcquireHedge(r.first.slot, servers, SlotRequest{Avoid: run.avoid, Bytes: int64(len(req.Body)), LatestStart: req.LatestStart, PauseObjective: req.GapObjective})
	if slot == nil {
		h.giveBack(req)
		return
	}
	run.hedged = true
	attempt := r.attempt
	attempt.ResponseHeaderTimeout = 0
	attempt.MayMove = run.moveCheck(slot.server)
	run.isLast.Store(run.runs+2 >= req.MaxAttempts)
	if !run.isLast.Load() {
		attempt.ResponseHeaderTimeout = time.Duration(responseHeaderShare * float64(req.Deadline.Sub(now)))
	}
	var legCtx context.Context
	r.second, legCtx = run.newLeg(ctx, slot)
	h.observer.CountAt("hedges_started", slot.server.ServerID, 1)
	h.observer.CountAt("hedge_tokens", slot.server.ServerID, int64(req.Cost))
	go run.runLeg(legCtx, r.second, attempt)
}

// finish waits for the first usable result, or for the last one, and closes the other run.
func (r *race) finish(ctx context.Context) *leg {
	if r.second == nil {
		<-r.first.ended
		r.observeFirst()
		return r.first
	}
	winner, loser := r.decide()
	switch {
	case r.firstLost: // closed before
	case loser.hasEnded() && !loser.usable:
		r.settleFailed(ctx, loser)
	default:
		r.cancel(loser)
	}
	r.observeFirst()
	result := "none"
	switch {
	case winner.usable && winner == r.second:
		result = "second"
		r.run.relay.hedging.observer.CountAt("hedges_won", winner.slot.server.ServerID, 1)
	case winner.usable:
		result = "first"
	}
	r.run.relay.hedging.logEnd(r.run.relay.log, r.run.req, r.first, r.second, result)
	return winner
}

// decide waits for the result that counts: the first usable one, else the last one. If both are usable in the
// same moment, the first run wins. After maxOverlap, the first run is closed.
func (r *race) decide() (winner, loser *leg) {
	overlap := time.NewTimer(maxOverlap)
	defer overlap.Stop()
	select {
	case <-r.first.ended:
	case <-r.second.ended:
	case <-overlap.C:
	}
	switch {
	case r.first.hasEnded() && r.first.usable:
		return r.first, r.second
	case r.second.hasEnded() && r.second.usable:
		return r.second, r.first
	case r.first.hasEnded():
		<-r.second.ended
		return r.second, r.first
	case r.second.hasEnded():
		<-r.first.ended
		return r.first, r.second
	}
	r.cancel(r.first)
	<-r.second.ended
	return r.second, r.first
}

// cancel closes the losing run at once. It counts as run: the server may have begun with it.
func (r *race) cancel(loser *leg) {
	run := r.run
	run.runs++
	r.firstLost = r.firstLost || loser == r.first
	run.avoid[loser.slot.server.ServerID] = true
	if loser == r.second {
		run.relay.hedging.observer.CountAt("hedges_cancelled", loser.slot.server.ServerID, 1)
	}
	loser.cancel()
	go loser.runClose()
}

// settleFailed ends a run that failed before the other one ended.
func (r *race) settleFailed(ctx context.Context, l *leg) {
	run := r.run
	defer l.close()
	server := l.slot.server
	run.avoid[server.ServerID] = true
	var dispatch *bergamotgrade.DispatchError
	isRefused := l.err == nil && l.answer.NotRun
	isUnsent := errors.As(l.err, &dispatch) && !dispatch.MaybeRan()
	if isRefused || isUnsent {
		run.rejections++
	} else {
		run.runs++
	}
	switch {
	case ctx.Err() != nil:
		l.slot.Release(placement.OutcomeAborted)
	case isRefused:
		l.slot.Release(placement.OutcomeFull)
		run.relay.observer.Count("attempts_refused")
	case isUnsent && bergamotgrade.IsServerIneligible(l.err):
		l.slot.Release(placement.OutcomeAborted)
		run.relay.observer.Count("attempts_refused")
	case isUnsent:
		l.slot.Release(placement.OutcomeFailed)
		run.relay.observer.Count("attempts_refused")
	default:
		l.slot.Release(placement.OutcomeFailed)
		run.relay.observer.Count("attempts_failed")
		if bergamotgrade.IsConnectionLoss(l.cause()) {
			run.lostConnections++
			run.relay.guard.ConnectionLost(server, run.req.traits(), l.sentAt)
		}
	}
}

// observeFirst records how long the first run took to begin, or how long it had not begun when it lost. The
// second run is not recorded: it would count the late requests twice.
func (r *race) observeFirst() {
	h, req := r.run.relay.hedging, r.run.req
	switch {
	case !r.firstLost && r.first.hasEnded() && r.first.usable:
		h.observe(req, r.first.begunAt.Sub(r.first.sentAt))
	case r.firstLost:
		h.observe(req, r.run.relay.clock.Now().Sub(r.first.sentAt))
	}
}
