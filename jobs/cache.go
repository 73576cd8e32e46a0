package jobs

import (
	"container/list"
	"sync"
)

// cache keeps values that never change, up to a number of bytes; the least
// recently used ones yield.
type cache struct {
	mu     sync.Mutex
	limit  int
	bytes  int
	values map[string]*list.Element
	order  *list.List
}

type cached struct {
	key   string
	value any
	size  int
}

func newCache(limit int) *cache {
	return &cache{limit: limit, values: map[string]*list.Element{}, order: list.New()}
}

func (c *cache) get(key string) (any, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, ok := c.values[key]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(element)
	return element.Value.(*cached).value, true
}

func (c *cache) put(key string, value any, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.values[key]; ok {
		return
	}
	c.values[key] = c.order.PushFront(&cached{key: key, value: value, size: size})
	c.bytes += size
	for c.bytes > c.limit && c.order.Len() > 1 {
		oldest := c.order.Remove(c.order.Back()).(*cached)
		delete(c.values, oldest.key)
		c.bytes -= oldest.size
	}
}
