package jobs

import (
	"log/slog"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
)

// HeadCache caches the heads of all jobs on this VM.
type HeadCache struct {
	log *slog.Logger

	mu    sync.Mutex
	heads map[string]Head
	// changed is closed and replaced whenever a head changes.
	changed chan struct{}
}

// NewHeadCache returns an empty cache.
func NewHeadCache(log *slog.Logger) *HeadCache {
	return &HeadCache{log: log, heads: map[string]Head{}, changed: make(chan struct{})}
}

// SetEntries replaces the cached heads with those in the store's entries. Heads that
// are cached in a newer revision stay.
func (c *HeadCache) SetEntries(entries map[string]bergamotgrade.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := int64(0)
	for key, entry := range entries {
		newest = max(newest, entry.Revision)
		id := recordIDOf(key)
		if known, ok := c.heads[id]; ok && known.Revision >= entry.Revision {
			continue
		}
		head, err := decodeHead(entry)
		if err != nil {
			c.log.Warn("cannot decode the head of a job; ignoring it", "job", id, "cause", err.Error())
			continue
		}
		c.heads[id] = head
	}
	for id, head := range c.heads {
		if _, ok := entries[headKey(id)]; !ok && head.Revision < newest {
			delete(c.heads, id)
		}
	}
	c.notify()
}

// Put caches a head that this VM has read or written, unless a newer one is cached.
func (c *HeadCache) Put(jobID string, head Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.heads[jobID]; ok && known.Revision >= head.Revision {
		return
	}
	c.heads[jobID] = head
	c.notify()
}

func (c *HeadCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Head returns the cached head of the job and a channel that is closed at the next
// change of any head.
func (c *HeadCache) Head(jobID string) (head Head, ok bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, ok = c.heads[jobID]
	return head, ok, c.changed
}

// All returns a copy of all cached heads and a channel that is closed at the next
// change.
func (c *HeadCache) All() (heads map[string]Head, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	heads = make(map[string]Head, len(c.heads))
	for id, head := range c.heads {
		heads[id] = head
	}
	return heads, c.changed
}

// WaitingTokens returns the waiting tokens of the team's open jobs for which onRoute
// returns true.
func (c *HeadCache) WaitingTokens(team string, onRoute func(Head) bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := int64(0)
	for _, head := range c.heads {
		if head.Team == team && head.Open() && onRoute(head) {
			total += head.WaitingTokens
		}
	}
	return total
}
