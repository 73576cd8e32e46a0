package jobs

import (
	"container/list"
	"sync"
)

// lruCache holds immutable values up to a total of limit bytes and evicts the least
// recently used ones. A single larger value is kept until the next one is added.
type lruCache struct {
	mu     sync.Mutex
	limit  int
	bytes  int
	values map[string]*list.Element
	// recency orders the entries from the most to the least recently used.
	recency *list.List
}

type cacheEntry struct {
	key   string
	value any
	size  int
}

func newLRUCache(limit int) *lruCache {
	return &lruCache{limit: limit, values: map[string]*list.Element{}, recency: list.New()}
}

func (c *lruCache) get(key string) (any, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, ok := c.values[key]
	if !ok {
		return nil, false
	}
	c.recency.MoveToFront(element)
	return element.Value.(*cacheEntry).value, true
}

func (c *lruCache) put(key string, value any, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.values[key]; ok {
		return
	}
	c.values[key] = c.recency.PushFront(&cacheEntry{key: key, value: value, size: size})
	c.bytes += size
	for c.bytes > c.limit && c.recency.Len() > 1 {
		oldest := c.recency.Remove(c.recency.Back()).(*cacheEntry)
		delete(c.values, oldest.key)
		c.bytes -= oldest.size
	}
}
