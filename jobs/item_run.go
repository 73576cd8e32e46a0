package jobs

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/relay"
)

// itemRun is one item of an owned job. The job's lock guards the flags; the rest
// belongs to the goroutine that runs the item.
type itemRun struct {
	job   *ownedJob
	item  Item
	index int
	hash  uint64
	// urgency is that of the last look for items to start; the runner sets it.
	urgency urgency

	finished  bool
	running   bool
	notBefore time.Time

	// text and lastEventID hold what earlier attempts have generated.
	text        []string
	lastEventID string
	// failedAt holds the servers that have failed the item, avoid also the one of
	// the last attempt.
	failedAt map[string]bool
	avoid    map[string]bool
	failures int
}

// batchPlace is a place with the context that ends when it is taken back.
type batchPlace struct {
	*relay.Place
	ctx context.Context
}

// acquire returns a place for the item, or nil when there is none.
func (i *itemRun) acquire(_ context.Context, service string) *batchPlace {
	i.job.mu.Lock()
	defer i.job.mu.Unlock()
	if i.running || i.finished || i.job.ctx.Err() != nil {
		return nil
	}
	ctx, place, ok := i.job.runner.desk.AcquireBatch(i.job.ctx, service, i.avoid, i.urgency.yieldDue())
	if !ok {
		return nil
	}
	i.running = true
	return &batchPlace{Place: place, ctx: ctx}
}

// run makes one attempt at the item.
func (i *itemRun) run(place *batchPlace, maxAttempts int) {
	runner := i.job.runner
	server := place.Server()
	startedAt := runner.clock.Now()
	whole, failuresBefore := i.lastEventID == "", i.failures
	outcome, err := i.attempt(place.ctx, server)
	yielded := errors.Is(context.Cause(place.ctx), relay.ErrYielded)
	if place.ctx.Err() != nil && err != nil {
		outcome = placement.OutcomeLeft
	}
	place.Release(outcome)
	switch {
	case err == nil:
		runner.observer.Count("items_done")
		ran := runner.clock.Now().Sub(startedAt)
		runner.observer.Observe("item", ran)
		if whole {
			runner.noteRun(ran)
		}
		i.job.finish(i, Result{ItemID: i.item.ItemID, State: ResultDone, Text: strings.Join(i.text, "\n")})
	case errors.Is(err, errNeverDone):
		i.abandonNow("server " + server.ServerID + " says that it can never be done")
	case i.failures >= maxAttempts:
		i.abandonNow(fmt.Sprintf("it failed %d times, last at server %s", i.failures, server.ServerID))
	case yielded:
		runner.observer.Count("items_yielded")
		i.waitAgain(0)
	default:
		runner.observer.Count("item_attempts_failed")
		runner.log.Info("item attempt ended", "job", i.job.id, "item", i.item.ItemID, "server", server.ServerID,
			"last_event_id", i.lastEventID, "failures", i.failures, "cause", err.Error())
		i.avoid = maps.Clone(i.failedAt)
		i.avoid[server.ServerID] = true
		pause := itemPause
		if i.failures > failuresBefore && i.failures+1 == maxAttempts {
			pause = lastPause
		}
		i.waitAgain(pause)
	}
	runner.Wake()
}

// waitAgain lets the item start again after the pause.
func (i *itemRun) waitAgain(pause time.Duration) {
	i.job.mu.Lock()
	defer i.job.mu.Unlock()
	i.running = false
	i.notBefore = i.job.runner.clock.Now().Add(pause)
}

// abandon gives the item up if it does not run.
func (i *itemRun) abandon(reason string) {
	i.job.mu.Lock()
	idle := !i.running && !i.finished
	i.job.mu.Unlock()
	if idle {
		i.abandonNow(reason)
	}
}

func (i *itemRun) abandonNow(reason string) {
	i.job.runner.observer.Count("items_abandoned")
	i.job.runner.log.Info("item abandoned", "job", i.job.id, "item", i.item.ItemID, "failures", i.failures, "reason", reason)
	i.job.finish(i, Result{ItemID: i.item.ItemID, State: ResultAbandoned})
}

// errNeverDone is the failure of an item that no server can do.
var errNeverDone = errors.New("the item can never be done")

// attempt runs the item from the first event that is not there yet.
func (i *itemRun) attempt(ctx context.Context, server bergamotgrade.ServerRecord) (placement.Outcome, error) {
	job := i.job
	answer, err := job.runner.exchanger.Exchange(ctx, server, bergamotgrade.Attempt{
		RequestID: i.item.ItemID, Method: http.MethodPost, Target: i.item.Path, Host: job.spec.Host,
		Header: i.item.header(), Body: i.item.Body, Team: job.spec.Team,
		ResumeAfter: i.lastEventID, HeadLimit: headLimit, StallLimit: stallLimit, Repeatable: true,
	})
	if err != nil {
		return placement.OutcomeFailed, err
	}
	defer answer.Body.Close()
	switch {
	case answer.NotRun:
		return placement.OutcomeFull, errors.Newf("server answered %d unrun", answer.Status)
	case answer.Status == http.StatusUnprocessableEntity && answer.Signed:
		return placement.OutcomeLeft, errNeverDone
	case answer.Status == http.StatusInternalServerError && answer.Signed:
		i.failures++
		i.failedAt[server.ServerID] = true
		return placement.OutcomeLeft, errors.New("server answered 500")
	case answer.Status != http.StatusOK || !answer.Signed:
		return placement.OutcomeFailed, errors.Newf("server answered %d, signed: %t", answer.Status, answer.Signed)
	}
	return i.collect(answer)
}

// collect gathers the events of one answer.
func (i *itemRun) collect(answer *bergamotgrade.Answer) (placement.Outcome, error) {
	events := relay.NewEventReader(answer.Body)
	for {
		event, err := events.Next()
		switch {
		case err == io.EOF && len(i.text) > 0:
			return placement.OutcomeServed, nil
		case err == io.EOF:
			return placement.OutcomeFailed, errors.New("the answer held no event")
		case err != nil:
			return placement.OutcomeFailed, err
		}
		if !i.continues(event) {
			return placement.OutcomeFailed, errors.Newf("event %q does not follow event %q", event.ID, i.lastEventID)
		}
		if event.ID != "" {
			i.lastEventID = event.ID
		}
		if event.HasData() {
			i.text = append(i.text, event.Data())
		}
	}
}

// continues reports whether the event is the next one.
func (i *itemRun) continues(event relay.Event) bool {
	if event.ID == "" || i.lastEventID == "" {
		return true
	}
	last, errLast := strconv.ParseInt(i.lastEventID, 10, 64)
	next, errNext := strconv.ParseInt(event.ID, 10, 64)
	return errLast != nil || errNext != nil || next == last+1
}
