// Package queue orders waiting requests fairly between teams. It is pure: the
// time goes in with each call.
package queue

import (
	"container/heap"
	"time"
)

// Class is the urgency of a request; a lower class waits behind a higher one.
type Class int

// The classes, the most urgent first.
const (
	ClassOnline Class = iota
	ClassBatch
	classCount
)

// Item is one waiting request.
type Item struct {
	TeamID string
	// Weight is the team's share; zero counts as one.
	Weight float64
	// Cost is the expected work, in any unit that all items share.
	Cost     float64
	Class    Class
	Deadline time.Time

	finishTag float64
	sequence  uint64
	index     int
}

// Fair is a bounded queue by self-clocked fair queueing, one virtual clock per
// class. It is not safe for concurrent use.
type Fair struct {
	maxItems   int
	maxPerTeam int
	sequence   uint64
	perTeam    map[string]int
	classes    [classCount]class
}

type class struct {
	virtual  float64
	finished map[string]float64
	items    itemHeap
}

// NewFair returns an empty queue with its bounds.
func NewFair(maxItems, maxPerTeam int) *Fair {
	q := &Fair{maxItems: maxItems, maxPerTeam: maxPerTeam, perTeam: map[string]int{}}
	for i := range q.classes {
		q.classes[i].finished = map[string]float64{}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Fair) Len() int {
	total := 0
	for i := range q.classes {
		total += len(q.classes[i].items)
	}
	return total
}

// LenOf returns the number of waiting items of the class.
func (q *Fair) LenOf(wanted Class) int { return len(q.classes[wanted].items) }

// TeamFull reports whether the team's own part of the queue is used up.
func (q *Fair) TeamFull(teamID string) bool { return q.perTeam[teamID] >= q.maxPerTeam }

// Push adds the item, or reports false when the queue or the team's part of it
// is full.
func (q *Fair) Push(item *Item) bool {
	if q.Len() >= q.maxItems || q.TeamFull(item.TeamID) {
		return false
	}
	c := &q.classes[item.Class]
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	start := max(c.virtual, c.finished[item.TeamID])
	item.finishTag = start + max(item.Cost, 1)/weight
	c.finished[item.TeamID] = item.finishTag
	q.sequence++
	item.sequence = q.sequence
	q.perTeam[item.TeamID]++
	heap.Push(&c.items, item)
	return true
}

// Pop returns the next item and the expired ones before it; the item is nil
// when nothing waits.
func (q *Fair) Pop(now time.Time) (next *Item, expired []*Item) {
	for i := range q.classes {
		c := &q.classes[i]
		for len(c.items) > 0 {
			item := heap.Pop(&c.items).(*Item)
			if now.Before(item.Deadline) {
				c.virtual = max(c.virtual, item.finishTag)
				q.leave(item)
				return item, expired
			}
			q.leave(item)
			expired = append(expired, item)
		}
	}
	return nil, expired
}

// Peek returns the item that Pop would return, or nil, and drops expired ones.
func (q *Fair) Peek(now time.Time) (next *Item, expired []*Item) {
	for i := range q.classes {
		c := &q.classes[i]
		for len(c.items) > 0 {
			item := c.items[0]
			if now.Before(item.Deadline) {
				return item, expired
			}
			q.Remove(item)
			expired = append(expired, item)
		}
	}
	return nil, expired
}

// Remove takes a waiting item out and reports whether it was there.
func (q *Fair) Remove(item *Item) bool {
	c := &q.classes[item.Class]
	if item.index < 0 || item.index >= len(c.items) || c.items[item.index] != item {
		return false
	}
	heap.Remove(&c.items, item.index)
	q.leave(item)
	return true
}

func (q *Fair) leave(item *Item) {
	item.index = -1
	q.perTeam[item.TeamID]--
	if q.perTeam[item.TeamID] == 0 {
		delete(q.perTeam, item.TeamID)
	}
	if c := &q.classes[item.Class]; len(c.items) == 0 {
		// An empty class owes nobody anything.
		clear(c.finished)
		c.virtual = 0
	}
}

// itemHeap orders items by finish tag, then by arrival.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].sequence < h[j].sequence
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
