package cropaque

import (
	"container/heap"
	"time"
)

// dueItem is a flow to look at.
type dueItem struct {
	at   time.Time
	flow *flow
}

// dueQueue orders flows by when they are due.
type dueQueue []dueItem

// Len is for container/heap.
func (q dueQueue) Len() int { return len(q) }

// Less orders by time.
func (q dueQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

// Swap is for container/heap.
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *dueQueue) Push(x any) {
	if item, ok := x.(dueItem); ok {
		*q = append(*q, item)
	}
}

// Pop is for container/heap.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = dueItem{}
	*q = (*q)[:last]
	return item
}

// push adds a flow at its due time.
func (q *dueQueue) push(f *flow) { heap.Push(q, dueItem{at: f.due, flow: f}) }

// pop removes the earliest.
func (q *dueQueue) pop() dueItem {
	item, _ := heap.Pop(q).(dueItem)
	return item
}
