package relay

import (
	"context"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// handleNotRun ends an attempt that no server has run. Another attempt follows until
// maxRejections attempts were rejected or too little time is left.
func (run *requestRun) handleNotRun(ctx context.Context, slot *Slot, outcome placement.Outcome, cause error) (done bool, _ error) {
	if ctx.Err() != nil {
		slot.Release(placement.OutcomeAborted)
		return true, run.contextError(ctx, cause)
	}
	slot.Release(outcome)
	run.avoid[slot.Server().ServerID] = true
	run.relay.observer.Count("attempts_refused")
	run.relay.log.Info("server did not run the request", "request_id", run.req.RequestID, "server", slot.Server().ServerID, "cause", cause.Error())
	if run.rejections++; run.rejections >= slot.maxRejections(run.isEarly()) || run.relay.clock.Now().After(run.req.Deadline.Add(-minAttemptTime)) {
		return true, overloadedError().WithCause(cause).WithRetryAt(run.relay.scheduler.FullReturn(slot))
	}
	return false, nil
}

// handleFailure ends an attempt that a server may have run. Only repeatable requests
// are attempted again.
func (run *requestRun) handleFailure(ctx context.Context, slot *Slot, cause error) (done bool, _ error) {
	if ctx.Err() != nil {
		slot.Release(placement.OutcomeAborted)
		return true, run.contextError(ctx, cause)
	}
	slot.Release(placement.OutcomeFailed)
	run.avoid[slot.Server().ServerID] = true
	if bergamotgrade.IsConnectionLoss(cause) {
		if run.events.Last() == run.resumedAfter {
			run.lostConnections++
		}
		run.relay.guard.ConnectionLost(slot.Server(), run.req.traits(), run.sentAt)
	}
	again := run.req.Repeatable && run.canGoOn() && run.runs < run.req.MaxAttempts && run.lostConnections < maxLostConnections && run.relay.clock.Now().Before(run.req.Deadline.Add(-minAttemptTime))
	run.relay.observer.Count("attempts_failed")
	run.relay.log.Info("server failed and may have run the request", "request_id", run.req.RequestID, "server", slot.Server().ServerID, "version", slot.Server().SoftwareVersion, "cause", cause.Error(),
		"attempt", run.runs, "resumes", run.req.Resumes, "last_event_id", run.events.Last(), "prompt_parts", run.req.PromptParts, "fingerprint", run.req.Fingerprint, "again", again)
	if again {
		return false, nil
	}
	return true, bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the backend server failed and may have run the request", "check its effect before sending it again").WithCause(cause)
}
