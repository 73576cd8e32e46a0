// Package queue orders waiting requests fairly between teams. It reads no clock; the
// current time is an argument.
package queue

import (
	"container/heap"
	"time"
)

// Class is the priority class of a request; the lower value is served first.
type Class int

// The priority classes, highest priority first.
const (
	ClassOnline Class = iota
	// ClassBeyondShare is for online requests of a team that asks for more than its share in scarcity.
	ClassBeyondShare
	ClassBatch
	classCount
)

// Item is one waiting request.
type Item struct {
	TeamID string
	// Weight is the team's share of the capacity relative to other teams; zero or less
	// counts as 1.
	Weight float64
	// Cost is the expected work in any unit that all items share; less than 1 counts
	// as 1.
	Cost     float64
	Class    Class
	Deadline time.Time
	// Due orders the items of a team in a queue by deadline; zero selects Deadline.
	Due time.Time

	// startTag and finishTag are the virtual times at which the item's service would begin and end.
	startTag, finishTag float64
	// sequence is the order of arrival.
	sequence uint64
	// heapIndex is the item's position in its class's heap; -1 once removed.
	heapIndex int
}

// Fair is a bounded queue with self-clocked fair queueing (SCFQ) between teams and a
// virtual clock per class. It is not safe for concurrent use.
type Fair struct {
	// byDeadline orders the items of a team by deadline instead of arrival.
	byDeadline bool
	maxItems   int
	maxPerTeam int
	sequence   uint64
	perTeam    map[string]int
	classes    [classCount]classQueue
}

type classQueue struct {
	virtualTime float64
	// lastFinishTag holds the finish tag of each team's latest item.
	lastFinishTag map[string]float64
	items         itemHeap
	// byTeam holds the items of each team in order; only if they are ordered by deadline.
	byTeam map[string][]*Item
}

// NewFair returns an empty queue for at most maxItems items, of which a team may have at
// most maxPerTeam.
func NewFair(maxItems, maxPerTeam int) *Fair {
	q := &Fair{maxItems: maxItems, maxPerTeam: maxPerTeam, perTeam: map[string]int{}}
	for i := range q.classes {
		q.classes[i].lastFinishTag, q.classes[i].byTeam = map[string]float64{}, map[string][]*Item{}
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
func (q *Fair) LenOf(class Class) int { return len(q.classes[class].items) }

// TeamFull reports whether the team has maxPerTeam items in the queue.
func (q *Fair) TeamFull(teamID string) bool { return q.perTeam[teamID] >= q.maxPerTeam }

// Push adds the item. It returns false if the queue is full or the team has reached its
// limit.
func (q *Fair) Push(item *Item) bool {
	if q.Len() >= q.maxItems || q.TeamFull(item.TeamID) {
		return false
	}
	q.push(item)
	return true
}

// push adds the item regardless of the bounds.
func (q *Fair) push(item *Item) {
	c := &q.classes[item.Class]
	item.startTag = max(c.virtualTime, c.lastFinishTag[item.TeamID])
	item.finishTag = item.startTag + item.size()
	c.lastFinishTag[item.TeamID] = item.finishTag
	q.sequence++
	item.sequence = q.sequence
	q.perTeam[item.TeamID]++
	heap.Push(&c.items, item)
	if q.byDeadline {
		c.insertByDeadline(item)
	}
}

// size returns the virtual time that the item's service takes.
func (item *Item) size() float64 {
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	return max(item.Cost, 1) / weight
}

// Pop removes and returns the next item, and the expired items found before it. The next
// item is nil if the queue is empty.
func (q *Fair) Pop(now time.Time) (next *Item, expired []*Item) {
	for i := range q.classes {
		c := &q.classes[i]
		for len(c.items) > 0 {
			item := heap.Pop(&c.items).(*Item)
			c.removeFromTeam(item, !now.Before(item.Deadline))
			if now.Before(item.Deadline) {
				c.virtualTime = max(c.virtualTime, item.finishTag)
				q.removed(item)
				return item, expired
			}
			q.removed(item)
			expired = append(expired, item)
		}
	}
	return nil, expired
}

// Peek returns the item that Pop would return, or nil, without removing it. It removes
// and returns the expired items found before it.
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

// Remove removes the item and reports whether it was in the queue.
func (q *Fair) Remove(item *Item) bool {
	c := &q.classes[item.Class]
	if item.heapIndex < 0 || item.heapIndex >= len(c.items) || c.items[item.heapIndex] != item {
		return false
	}
	heap.Remove(&c.items, item.heapIndex)
	c.removeFromTeam(item, true)
	q.removed(item)
	return true
}

// removed updates the counts of the queue after the item was taken off its heap.
func (q *Fair) removed(item *Item) {
	item.heapIndex = -1
	q.perTeam[item.TeamID]--
	if q.perTeam[item.TeamID] == 0 {
		delete(q.perTeam, item.TeamID)
	}
	if c := &q.classes[item.Class]; len(c.items) == 0 {
		// An empty class has no backlog, so finish tags from earlier service must not
		// put a team behind others.
		clear(c.lastFinishTag)
		clear(c.byTeam)
		c.virtualTime = 0
	}
}

// itemHeap is a min-heap of items by finish tag, then by order of arrival.
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
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.heapIndex = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
