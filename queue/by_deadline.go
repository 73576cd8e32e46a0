package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// NewFairByDeadline returns a queue like NewFair in which the items of a team are ordered by deadline. The cost of an
// item counts against its team and not against the item's own position in it.
func NewFairByDeadline(maxItems, maxPerTeam int) *Fair {
	q := NewFair(maxItems, maxPerTeam)
	q.byDeadline = true
	return q
}

func (item *Item) due() time.Time {
	if item.Due.IsZero() {
		return item.Deadline
	}
	return item.Due
}

// insertByDeadline moves a pushed item to its place among the items of its team.
func (c *classQueue) insertByDeadline(item *Item) {
	items := c.byTeam[item.TeamID]
	at, _ := slices.BinarySearchFunc(items, item, func(a, b *Item) int {
		return cmp.Or(a.due().Compare(b.due()), cmp.Compare(a.sequence, b.sequence))
	})
	start := item.startTag
	if at < len(items) {
		start = items[at].startTag
	}
	c.byTeam[item.TeamID] = slices.Insert(items, at, item)
	c.retag(item.TeamID, at, start)
}

// retag computes the tags of the team's items from the index on.
func (c *classQueue) retag(teamID string, from int, start float64) {
	for _, item := range c.byTeam[teamID][from:] {
		item.startTag, item.finishTag = start, start+item.size()
		start = item.finishTag
		heap.Fix(&c.items, item.heapIndex)
	}
	c.lastFinishTag[teamID] = start
}

// removeFromTeam removes an item that is no longer on the heap from its team's items. unserved moves the team's later
// items forward: the work was not done, so it does not count against the team.
func (c *classQueue) removeFromTeam(item *Item, unserved bool) {
	items := c.byTeam[item.TeamID]
	at := slices.Index(items, item)
	if at < 0 {
		return
	}
	items = slices.Delete(items, at, at+1)
	c.byTeam[item.TeamID] = items
	if unserved {
		c.retag(item.TeamID, at, item.startTag)
	}
	if len(items) == 0 {
		delete(c.byTeam, item.TeamID)
	}
}

// Take removes the item, which may come after others in order, and counts it as served.
func (q *Fair) Take(item *Item) {
	c := &q.classes[item.Class]
	if c.items[0] == item {
		c.virtualTime = max(c.virtualTime, item.finishTag)
	}
	heap.Remove(&c.items, item.heapIndex)
	c.removeFromTeam(item, false)
	q.removed(item)
}

// compareOrder orders items as they are served.
func compareOrder(a, b *Item) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.finishTag, b.finishTag), cmp.Compare(a.sequence, b.sequence))
}

// Ordered returns the waiting items in the order in which they are served if no other item arrives.
func (q *Fair) Ordered() []*Item {
	ordered := make([]*Item, 0, q.Len())
	for i := range q.classes {
		ordered = append(ordered, q.classes[i].items...)
	}
	slices.SortFunc(ordered, compareOrder)
	return ordered
}

// PushDisplacing adds the item to a queue by deadline. If the team or the queue is full, it removes and returns the last
// item in order, of the team or of all; it may be the added one.
func (q *Fair) PushDisplacing(item *Item) (displaced *Item) {
	teamFull, full := q.TeamFull(item.TeamID), q.Len() >= q.maxItems
	q.push(item)
	q.exchangeClass(item)
	if !teamFull && !full {
		return nil
	}
	for i := range q.classes {
		for _, other := range q.classes[i].items {
			if (!teamFull || other.TeamID == item.TeamID) && (displaced == nil || compareOrder(other, displaced) > 0) {
				displaced = other
			}
		}
	}
	q.Remove(displaced)
	return displaced
}

// exchangeClass keeps the classes of a team's online items in the order of their deadlines: of two items, the one with
// the earlier deadline is within the share.
func (q *Fair) exchangeClass(item *Item) {
	var other *Item
	switch item.Class {
	case ClassOnline:
		if beyond := q.classes[ClassBeyondShare].byTeam[item.TeamID]; len(beyond) > 0 && beyond[0].due().Before(item.due()) {
			other = beyond[0]
		}
	case ClassBeyondShare:
		if within := q.classes[ClassOnline].byTeam[item.TeamID]; len(within) > 0 && item.due().Before(within[len(within)-1].due()) {
			other = within[len(within)-1]
		}
	}
	if other == nil {
		return
	}
	q.Remove(item)
	q.Remove(other)
	item.Class, other.Class = other.Class, item.Class
	q.push(item)
	q.push(other)
}
