package jobs

import (
	"log/slog"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
)

// Ledger is this VM's view of the heads of all jobs.
type Ledger struct {
	log *slog.Logger

	mu    sync.Mutex
	heads map[string]Head
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewLedger returns an empty view.
func NewLedger(log *slog.Logger) *Ledger {
	return &Ledger{log: log, heads: map[string]Head{}, changed: make(chan struct{})}
}

// SetEntries replaces the view by the entries of the store. A head that this VM
// knows in a newer revision stays.
func (l *Ledger) SetEntries(entries map[string]bergamotgrade.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := int64(0)
	for key, entry := range entries {
		newest = max(newest, entry.Revision)
		id := jobIDOf(key)
		if known, ok := l.heads[id]; ok && known.Revision >= entry.Revision {
			continue
		}
		head, err := decodeHead(entry)
		if err != nil {
			l.log.Warn("head of a job cannot be read", "job", id, "cause", err.Error())
			continue
		}
		l.heads[id] = head
	}
	for id, head := range l.heads {
		if _, ok := entries[headKey(id)]; !ok && head.Revision < newest {
			delete(l.heads, id)
		}
	}
	l.notify()
}

// Put takes one head that this VM has read or written itself.
func (l *Ledger) Put(jobID string, head Head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.heads[jobID]; ok && known.Revision >= head.Revision {
		return
	}
	l.heads[jobID] = head
	l.notify()
}

func (l *Ledger) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Head returns the head of the job and a channel that is closed at the next
// change of any head.
func (l *Ledger) Head(jobID string) (head Head, ok bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	head, ok = l.heads[jobID]
	return head, ok, l.changed
}

// All returns all heads and a channel that is closed at the next change.
func (l *Ledger) All() (heads map[string]Head, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	heads = make(map[string]Head, len(l.heads))
	for id, head := range l.heads {
		heads[id] = head
	}
	return heads, l.changed
}

// WaitingTokens returns the tokens of the team's open items on the route.
func (l *Ledger) WaitingTokens(team string, onRoute func(Head) bool) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := int64(0)
	for _, head := range l.heads {
		if head.Team == team && head.Open() && onRoute(head) {
			total += head.WaitingTokens
		}
	}
	return total
}
