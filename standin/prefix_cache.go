package standin

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is a bounded LRU cache of prompt prefix blocks.
type prefixCache struct {
	capacity int

	mu     sync.Mutex
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// admit returns how many leading blocks of the prompt were cached, and how many
// it has, and caches all of them.
func (c *prefixCache) admit(prompt string) (cached, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		total++
		block := xxhash.Sum64String(prompt[:end])
		element, ok := c.blocks[block]
		if ok {
			c.order.MoveToFront(element)
		} else {
			c.blocks[block] = c.order.PushFront(block)
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
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}
