package jobs

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/relay"
)

// ownedItem is an item of an owned job. The job's lock guards finished, running and
// notBefore; the fields below them belong to the goroutine that runs the item.
type ownedItem struct {
	job   *ownedJob
	item  Item
	index int
	hash  uint64
	// urgency is set by the runner each time it looks for items to start.
	urgency urgency

	finished  bool
	running   bool
	notBefore time.Time

	// text holds the data of the events received in all attempts so far, and events their
	// sequence.
	text      []string
	textBytes int
	events    *relay.Sequence
	// timer measures the current attempt.
	timer *relay.RunTimer
	// origin is where the first of these events came from; zero without events. The job's
	// lock guards it.
	origin bergamotgrade.StreamOrigin
	// failedServers holds the ids of the servers that failed to run the item; avoid
	// holds these and the server of the last attempt.
	failedServers map[string]bool
	avoid         map[string]bool
	// failures is the number of attempts in which a server ran the item and failed.
	failures int
	// ends is the number of attempts in a row whose connection broke before any event. The
	// job's lock guards it.
	ends int
}

// batchSlot is a server slot with a context that ends when an online request
// preempts it.
type batchSlot struct {
	*relay.Slot
	ctx context.Context
}

// servers returns the servers in the homes at which the item may run, whose route leads to the service. An
// item whose output cannot go on, because no server of its origin is left, starts anew.
func (i *ownedItem) servers(service string, homes bergamotgrade.Homes) bergamotgrade.ServerSet {
	i.job.mu.Lock()
	defer i.job.mu.Unlock()
	servers := i.origin.Servers(service, homes)
	if i.running || i.origin.IsZero() || servers.Service == service && i.job.runner.scheduler.HasServer(servers) {
		return servers
	}
	anew := bergamotgrade.ServerSet{Service: service, Homes: homes}
	if !i.job.runner.scheduler.HasServer(anew) {
		return servers // as while all data centres of the service are evacuated
	}
	i.job.runner.log.Info("item starts anew; no server of the software that began its output is left", "job", i.job.id, "item", i.item.ItemID,
		"version", i.origin.SoftwareVersion, "service", i.origin.Service, "last_event_id", i.events.Last())
	i.clearText()
	return anew
}

// clearText drops the output received so far. The caller holds the job's lock.
func (i *ownedItem) clearText() {
	i.text, i.textBytes, i.events, i.origin = nil, 0, relay.NewSequence(""), bergamotgrade.StreamOrigin{}
}

// acquire returns a slot for the item, or nil when none is free or the item may not
// start.
func (i *ownedItem) acquire(servers bergamotgrade.ServerSet) *batchSlot {
	i.job.mu.Lock()
	defer i.job.mu.Unlock()
	if i.running || i.finished || i.job.ctx.Err() != nil {
		return nil
	}
	ctx, slot, ok := i.job.runner.scheduler.AcquireBatch(i.job.ctx, servers, i.avoid, i.urgency.preemptionDue())
	if !ok {
		return nil
	}
	i.running = true
	return &batchSlot{Slot: slot, ctx: ctx}
}

// isSuspect reports whether servers may end under the item: they did in its last attempts, or
// under requests with a part of its prompt.
func (i *ownedItem) isSuspect() bool {
	i.job.mu.Lock()
	ends := i.ends
	i.job.mu.Unlock()
	return ends >= endsToSuspect || i.job.runner.guard.IsQuarantined(i.item.traits())
}

// recordResult counts what the attempt tells of the item. Only ends of servers before the first
// event speak against its prompt: later ones take sound items with them.
func (i *ownedItem) recordResult(server bergamotgrade.ServerRecord, result attemptResult, sentAt time.Time) {
	i.job.mu.Lock()
	switch result {
	case resultServerEnded:
		i.ends++
	case resultProgress:
		i.ends = 0
	}
	i.job.mu.Unlock()
	if result == resultServerEnded {
		i.job.runner.guard.ConnectionLost(server, i.item.traits(), sentAt)
	}
}

// run makes one attempt at the item and then finishes, abandons or requeues it. suspect tells
// that the item has taken the suspect lane.
func (i *ownedItem) run(slot *batchSlot, maxAttempts int, suspect bool) {
	runner := i.job.runner
	server := slot.Server()
	startedAt := runner.clock.Now()
	eventBefore, failuresBefore := i.events.Last(), i.failures
	i.timer = slot.StartRun()
	outcome, err := i.attempt(slot.ctx, server)
	if err == nil {
		i.timer.Complete(0) // the cost of an item is counted in another unit
	}
	preempted := errors.Is(context.Cause(slot.ctx), relay.ErrPreempted)
	if slot.ctx.Err() != nil && err != nil {
		outcome = placement.OutcomeAborted
	}
	slot.Release(outcome)
	result := resultUnknown
	switch {
	case err == nil || i.events.Last() != eventBefore:
		result = resultProgress
	case outcome == placement.OutcomeFailed && bergamotgrade.IsConnectionLoss(err):
		result = resultServerEnded
	}
	i.recordResult(server, result, startedAt)
	if suspect {
		runner.leaveSuspectLane(result)
	}
	switch {
	case err == nil:
		runner.observer.Count("items_done")
		runTime := runner.clock.Now().Sub(startedAt)
		runner.observer.Observe("item", runTime)
		if eventBefore == "" {
			runner.recordRunTime(runTime)
		}
		i.job.finish(i, Result{ItemID: i.item.ItemID, State: ResultDone, Text: strings.Join(i.text, "\n")})
	case errors.Is(err, bergamotgrade.ErrUnsendable):
		i.abandon(err.Error()) // accepted before submissions were checked
	case errors.Is(err, errUnprocessable):
		i.abandon("server " + server.ServerID + " reported that it cannot process the item")
	case i.failures >= maxAttempts:
		i.abandon(fmt.Sprintf("%d attempts failed, the last one at server %s", i.failures, server.ServerID))
	case preempted:
		runner.observer.Count("items_yielded")
		i.requeue(0)
	default:
		runner.observer.Count("item_attempts_failed")
		runner.log.Info("item attempt failed; retrying the item", "job", i.job.id, "item", i.item.ItemID, "server", server.ServerID,
			"last_event_id", i.events.Last(), "failures", i.failures, "prompt_parts", i.item.PromptParts, "cause", err.Error())
		i.avoid = maps.Clone(i.failedServers)
		i.avoid[server.ServerID] = true
		delay := itemRetryDelay
		if i.failures > failuresBefore && i.failures+1 == maxAttempts {
			delay = finalAttemptDelay
		}
		i.requeue(delay)
	}
	runner.Wake()
}

// requeue allows the item to start again after the delay.
func (i *ownedItem) requeue(delay time.Duration) {
	i.job.mu.Lock()
	defer i.job.mu.Unlock()
	i.running = false
	i.notBefore = i.job.runner.clock.Now().Add(delay)
}

// abandonIfIdle abandons the item unless it is running or finished.
func (i *ownedItem) abandonIfIdle(reason string) {
	i.job.mu.Lock()
	idle := !i.running && !i.finished
	i.job.mu.Unlock()
	if idle {
		i.abandon(reason)
	}
}

// abandon finishes the item with ResultAbandoned.
func (i *ownedItem) abandon(reason string) {
	i.job.runner.observer.Count("items_abandoned")
	i.job.runner.log.Info("item abandoned", "job", i.job.id, "item", i.item.ItemID, "failures", i.failures, "reason", reason)
	i.job.finish(i, Result{ItemID: i.item.ItemID, State: ResultAbandoned})
}

// beginAttempt drops output that no server can go on with.
func (i *ownedItem) beginAttempt() {
	if i.events.CanResume() {
		return
	}
	i.job.mu.Lock()
	defer i.job.mu.Unlock()
	i.clearText()
}

// errUnprocessable is returned for a signed answer 422: no server can process the item.
var errUnprocessable = errors.New("server cannot process the item")

// attempt sends the item to the server, which resumes after the last event received.
func (i *ownedItem) attempt(ctx context.Context, server bergamotgrade.ServerRecord) (placement.Outcome, error) {
	job := i.job
	i.beginAttempt()
	answer, err := job.runner.exchanger.Exchange(ctx, server, bergamotgrade.Attempt{
		RequestID: i.item.ItemID, Method: http.MethodPost, Target: i.item.Path, Host: job.spec.Host,
		Header: i.item.Header(), Body: i.item.Body, Team: job.spec.Team,
		ResumeAfter: i.events.Last(), ResponseHeaderTimeout: firstEventTimeout, StallTimeout: stallTimeout, Repeatable: true,
	})
	switch {
	case errors.Is(err, bergamotgrade.ErrUnsendable), bergamotgrade.IsServerIneligible(err):
		return placement.OutcomeAborted, err
	case err != nil:
		return placement.OutcomeFailed, err
	}
	defer answer.Body.Close()
	switch {
	case answer.NotRun:
		return placement.OutcomeFull, errors.Newf("server answered %d without running the item", answer.Status)
	case answer.Status == http.StatusUnprocessableEntity && answer.Signed:
		return placement.OutcomeAborted, errUnprocessable
	case answer.Status == http.StatusInternalServerError && answer.Signed:
		i.failures++
		i.failedServers[server.ServerID] = true
		return placement.OutcomeAborted, errors.New("server answered 500")
	case answer.Status != http.StatusOK || !answer.Signed:
		return placement.OutcomeFailed, errors.Newf("server answered %d, signed: %t", answer.Status, answer.Signed)
	}
	return i.readEvents(server, answer)
}

// readEvents appends the events of one answer of the server to text.
func (i *ownedItem) readEvents(server bergamotgrade.ServerRecord, answer *bergamotgrade.Answer) (placement.Outcome, error) {
	events := relay.NewEventReader(answer.Body)
	begun := i.events.Last()
	for {
		event, err := events.Next()
		switch {
		case err == io.EOF && i.events.Last() == begun && answer.EndsWithConnection && i.events.CanResume():
			return placement.OutcomeFailed, io.ErrUnexpectedEOF // the server ended before its first event
		case err == io.EOF && begun != "" && i.events.Last() == begun:
			// Whether the output was complete without its end is not known; it is made anew.
			i.job.mu.Lock()
			i.clearText()
			i.job.mu.Unlock()
			return placement.OutcomeFailed, errors.Newf("nothing follows event %q", begun)
		case err == io.EOF && len(i.text) > 0:
			if !answer.EndsWithConnection {
				i.job.runner.guard.Served(i.item.traits())
			}
			return placement.OutcomeServed, nil
		case err == io.EOF:
			return placement.OutcomeFailed, errors.New("answer contains no event")
		case err != nil:
			return placement.OutcomeFailed, err
		}
		if err := i.events.Append(event); err != nil {
			return placement.OutcomeFailed, err
		}
		i.setOrigin(server)
		if event.HasData() {
			answer.MadeProgress()
			i.timer.Event()
			i.text = append(i.text, event.Data())
			i.textBytes += len(event.Raw)
		}
		if i.textBytes > maxItemTextBytes {
			i.job.mu.Lock()
			i.clearText()
			i.job.mu.Unlock()
			return placement.OutcomeFailed, errors.Newf("output is longer than %d bytes", maxItemTextBytes)
		}
	}
}

// setOrigin records where the output comes from unless it has begun.
func (i *ownedItem) setOrigin(server bergamotgrade.ServerRecord) {
	i.job.mu.Lock()
	defer i.job.mu.Unlock()
	if i.origin.IsZero() {
		i.origin = bergamotgrade.OriginOf(server)
	}
}
