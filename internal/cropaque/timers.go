package cropaque

import (
	"container/heap"
	"time"
)

// timer is a flow and the time at which it must be checked.
type timer struct {
	at   time.Time
	flow *balancerFlow
}

// timerQueue is a heap of timers, earliest first.
type timerQueue []timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less orders timers by time.
func (q timerQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) {
	if item, ok := x.(timer); ok {
		*q = append(*q, item)
	}
}

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return item
}

// push adds a timer for a flow at its timerAt.
func (q *timerQueue) push(f *balancerFlow) { heap.Push(q, timer{at: f.timerAt, flow: f}) }

// pop removes and returns the earliest timer.
func (q *timerQueue) pop() timer {
	item, _ := heap.Pop(q).(timer)
	return item
}
