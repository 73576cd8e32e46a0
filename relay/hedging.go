package relay

import (
	"log/slog"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/hedge"
)

// HedgeObserver records the metrics of hedged requests.
type HedgeObserver interface {
	// CountAt adds n to the named counter of the server.
	CountAt(name, serverID string, n int64)
}

// hedging holds what this VM has learned for hedging, for all requests.
type hedging struct {
	clock    bergamotgrade.Clock
	observer HedgeObserver

	mu     sync.Mutex
	delays *hedge.Delays
	budget *hedge.Budget
	// logged counts the log lines of the second that began at loggedAt.
	logged   int
	loggedAt time.Time
}

// EnableHedging makes the relay try a second server for late repeatable requests, for at most the share of
// the requests. It has to be called before Serve; without it, and with a share of 0, the relay hedges nothing.
func (r *Relay) EnableHedging(share float64, observer HedgeObserver) error {
	if err := hedge.CheckShare(share); err != nil || share == 0 {
		return err
	}
	r.hedging = &hedging{clock: r.clock, observer: observer, delays: hedge.NewDelays(), budget: hedge.NewBudget(share)}
	return nil
}

// delay returns the time after which the request is late, or false if it is not known. isNew marks the first
// attempt of a request, which fills the budget.
func (h *hedging) delay(req *Request, isNew bool) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if isNew {
		h.budget.Add(req.Cost)
	}
	if !req.Repeatable {
		return 0, false
	}
	return h.delays.Delay(h.clock.Now(), req.Service, hedge.SizeClass(req.Cost))
}

// observe records that the request began its response, or had not begun it, after the time.
func (h *hedging) observe(req *Request, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delays.Observe(h.clock.Now(), req.Service, hedge.SizeClass(req.Cost), delay)
}

// take takes the request from the budget.
func (h *hedging) take(req *Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Take(req.Cost)
}

// giveBack returns the request to the budget.
func (h *hedging) giveBack(req *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Return(req.Cost)
}

// logEnd logs how a hedged request went on, at most maxHedgeLogs times a second.
func (h *hedging) logEnd(log *slog.Logger, req *Request, first, second *leg, winner string) {
	h.mu.Lock()
	now := h.clock.Now()
	if now.Sub(h.loggedAt) >= time.Second {
		h.logged, h.loggedAt = 0, now
	}
	h.logged++
	skip := h.logged > maxHedgeLogs
	h.mu.Unlock()
	if skip {
		return
	}
	log.Debug("request hedged", "request_id", req.RequestID, "first", first.slot.server.ServerID, "second", second.slot.server.ServerID,
		"after", second.sentAt.Sub(first.sentAt).String(), "took", now.Sub(first.sentAt).String(), "winner", winner, "tokens", req.Cost)
}
