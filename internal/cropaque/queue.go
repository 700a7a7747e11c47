package cropaque

import "container/heap"

// waitQueue holds flows that wait for a slot: the most urgent route first, and
// within it the oldest. It answers the load pattern of a burst of routine
// requests that meets rare urgent ones.
type waitQueue []*held

// Len is for container/heap.
func (q waitQueue) Len() int { return len(q) }

// Less orders by priority, then by age.
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].came.Before(q[j].came)
}

// Swap is for container/heap.
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *waitQueue) Push(x any) {
	if f, ok := x.(*held); ok {
		*q = append(*q, f)
	}
}

// Pop is for container/heap.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	f := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return f
}

// push adds a flow.
func (q *waitQueue) push(f *held) { heap.Push(q, f) }

// pop removes the flow that goes next.
func (q *waitQueue) pop() *held {
	f, _ := heap.Pop(q).(*held)
	return f
}

// clean keeps the flows that stay.
func (q *waitQueue) clean(stays func(f *held) bool) {
	kept := (*q)[:0]
	for _, f := range *q {
		if stays(f) {
			kept = append(kept, f)
		}
	}
	*q = kept
	heap.Init(q)
}
