package standin

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is a bounded LRU cache of prompt prefix blocks.
type prefixCache struct {
	capacity int

	mu      sync.Mutex
	recency *list.List
	blocks  map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// insert caches all full blocks of the prompt. It returns how many leading blocks were
// cached already and how many full blocks the prompt has.
func (c *prefixCache) insert(prompt string) (cached, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		total++
		block := xxhash.Sum64String(prompt[:end])
		element, ok := c.blocks[block]
		if ok {
			c.recency.MoveToFront(element)
		} else {
			c.blocks[block] = c.recency.PushFront(block)
		}
		hit = hit && ok
		if hit {
			cached++
		}
	}
	c.evict()
	return cached, total
}

func (c *prefixCache) evict() {
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		c.recency.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}
