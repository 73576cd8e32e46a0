// Package memory accounts for the bytes that a process holds for its clients, servers and peers, and
// evicts the holdings that cost most when they exceed the budget. It bounds the connections and
// the heads of requests of a listener.
package memory

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// ErrNoRoom is returned if the budget has no room for further bytes, or if the holding was evicted.
var ErrNoRoom = errors.New("the bytes held for clients and servers are at the budget")

// Shortage is the state of an account that has evicted or refused bytes.
type Shortage struct {
	Held, Budget       int64
	Evicted, Refused   int64
	Holdings           int
	LargestVictimBytes int64
}

// Account is the budget of the bytes that a process holds. It is safe for concurrent use.
type Account struct {
	clock  bergamotgrade.Clock
	budget int64
	// report is called at most once in reportInterval while the budget is short.
	report func(Shortage)

	mu       sync.Mutex
	held     int64
	peak     int64
	holdings map[*Holding]struct{}
	evicted  int64
	refused  int64
	largest  int64
	reportAt time.Time
}

// New returns an account with the budget in bytes. report is called when the budget is short, a
// bounded number of times; nil reports nothing.
func New(clock bergamotgrade.Clock, budget int64, report func(Shortage)) *Account {
	if report == nil {
		report = func(Shortage) {}
	}
	return &Account{clock: clock, budget: budget, report: report, holdings: map[*Holding]struct{}{}}
}

// Budget returns the budget in bytes.
func (a *Account) Budget() int64 { return a.budget }

// Holding is the bytes that are held for one connection or call. A nil Holding takes any number of
// bytes and counts none.
type Holding struct {
	account *Account
	evict   func()

	bytes int64
	// unread is the part of bytes that has arrived in the socket and was not read.
	unread     int64
	progressAt time.Time
	pinned     bool
	evicted    bool
}

// Open returns an empty holding. evict is called when the account needs its bytes and has to make
// their owner let go of them; a nil evict marks a holding that is never evicted.
func (a *Account) Open(evict func()) *Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := &Holding{account: a, evict: evict, progressAt: a.clock.Now()}
	a.holdings[h] = struct{}{}
	return h
}

// Reserve adds bytes to the holding before they are read or copied. If the budget is short, the
// holdings with the most bytes and the longest time without progress are evicted; if that is
// this one, or there is none to evict, it returns ErrNoRoom and adds nothing.
func (h *Holding) Reserve(n int64) error {
	if h == nil {
		return nil
	}
	a := h.account
	a.mu.Lock()
	now := a.clock.Now()
	victims, ok := a.makeRoom(now, h, n)
	if ok {
		h.bytes += n
		h.progressAt = now
		a.held += n
		a.peak = max(a.peak, a.held)
	} else {
		a.refused++
	}
	shortage, due := Shortage{}, (len(victims) > 0 || !ok) && !now.Before(a.reportAt)
	if due {
		a.reportAt = now.Add(reportInterval)
		shortage = Shortage{Held: a.held, Budget: a.budget, Evicted: a.evicted, Refused: a.refused, Holdings: len(a.holdings), LargestVictimBytes: a.largest}
	}
	a.mu.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
	if due {
		a.report(shortage)
	}
	if !ok {
		return ErrNoRoom
	}
	return nil
}

// SetUnread replaces the number of bytes that have arrived for the holding and were not read. These are
// there whether there is room or not, so holdings are evicted, this one included, until
// the others fit.
func (h *Holding) SetUnread(n int64) {
	a := h.account
	a.mu.Lock()
	var victims []*Holding
	if !h.evicted {
		h.bytes += n - h.unread
		a.held += n - h.unread
		h.unread = n
		a.peak = max(a.peak, a.held)
		for now := a.clock.Now(); a.held > a.budget; {
			victim := a.costliest(now, h, 0)
			if victim == nil {
				break
			}
			a.largest = max(a.largest, victim.bytes)
			a.evicted++
			a.remove(victim)
			victims = append(victims, victim)
			if victim == h {
				break
			}
		}
	}
	a.mu.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
}

// isPinned reports whether the holding may not be evicted. A client that sends a lot while its request
// waits or runs loses that protection.
func (h *Holding) isPinned() bool {
	return h.evict == nil || h.pinned && h.unread <= pinnedUnreadBytes
}

// makeRoom chooses and removes the holdings that have to go so that h can grow by n bytes. ok is
// false if h cannot grow.
func (a *Account) makeRoom(now time.Time, h *Holding, n int64) (victims []*Holding, ok bool) {
	if h.evicted {
		return nil, false
	}
	limit := a.budget
	if h.bytes+n > smallBytes {
		limit -= a.budget / reservedPart
	}
	for a.held+n > limit {
		victim := a.costliest(now, h, n)
		if victim == nil || victim == h {
			return victims, false
		}
		a.largest = max(a.largest, victim.bytes)
		a.evicted++
		a.remove(victim)
		victims = append(victims, victim)
	}
	return victims, true
}

// costliest returns the holding that may be evicted with the highest cost, where h counts with n
// further bytes and just now made progress.
func (a *Account) costliest(now time.Time, h *Holding, n int64) *Holding {
	costliest, most := (*Holding)(nil), 0.0
	if !h.isPinned() {
		costliest, most = h, cost(h.bytes+n, 0)
	}
	for other := range a.holdings {
		if other == h || other.isPinned() || other.bytes == 0 {
			continue
		}
		if c := cost(other.bytes, now.Sub(other.progressAt)); c > most {
			costliest, most = other, c
		}
	}
	return costliest
}

// cost weighs a holding of the bytes that has made no progress for the time.
func cost(bytes int64, stalled time.Duration) float64 {
	return float64(bytes) * (stalled + stallBase).Seconds()
}

// remove takes the holding and its bytes out of the account.
func (a *Account) remove(h *Holding) {
	a.held -= h.bytes
	h.bytes, h.unread, h.evicted = 0, 0, true
	delete(a.holdings, h)
}

// Release takes bytes out of the holding.
func (h *Holding) Release(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	n = min(n, h.bytes) // an evicted holding has none left
	h.bytes -= n
	h.account.held -= n
}

// Progress records that the owner of the holding has made progress.
func (h *Holding) Progress() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.progressAt = h.account.clock.Now()
}

// Pin sets whether the holding is kept even if the budget is short, as it is while a server may be
// running the request.
func (h *Holding) Pin(pinned bool) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.pinned = pinned
}

// Evicted reports whether the holding was evicted or closed.
func (h *Holding) Evicted() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Close releases all bytes of the holding. It may be called more than once.
func (h *Holding) Close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.evicted {
		h.account.remove(h)
	}
}

// Gauges returns the functions that read the account's figures, by the name of the metric.
func (a *Account) Gauges() map[string]func() int64 {
	read := func(value *int64) func() int64 {
		return func() int64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return *value
		}
	}
	return map[string]func() int64{
		"held_bytes": read(&a.held), "held_bytes_peak": read(&a.peak), "held_bytes_budget": read(&a.budget),
		"held_evictions_total": read(&a.evicted), "held_refusals_total": read(&a.refused),
	}
}
