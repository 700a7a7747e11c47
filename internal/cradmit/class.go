package cradmit

import (
	"cmp"
	"slices"
	"time"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// latencyGain is the weight of a new answer in a class's mean latency.
	latencyGain = 0.1
	// meetLatencies is how much time a start needs before its deadline, in
	// mean latencies.
	meetLatencies = 2
	// costMin is charged for a start before any answer is known.
	costMin = time.Millisecond
)

// class is one class of the document with its queue.
type class struct {
	doc crdoc.Class
	// queue is ordered by deadline, the earliest first.
	queue []*Request
	// running counts the requests under way.
	running int
	// virtual is the class's slot time divided by its weight, as in
	// start-time fair queueing.
	virtual float64
	// latency is the mean time to a whole answer, 0 before the first.
	latency time.Duration
	// floor remembers the latency of an unloaded backend server.
	floor floor
}

// weight returns the class's weight, at least 1.
func (c *class) weight() float64 { return float64(max(c.doc.Weight, 1)) }

// push queues a request and keeps the order.
func (c *class) push(r *Request) {
	i, _ := slices.BinarySearchFunc(c.queue, r, func(q, r *Request) int {
		if order := q.Deadline.Compare(r.Deadline); order != 0 {
			return order
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, i, r)
	r.stage = stageQueued
}

// pop takes the request with the earliest deadline.
func (c *class) pop() *Request {
	r := c.queue[0]
	c.queue = slices.Delete(c.queue, 0, 1)
	return r
}

// remove takes a queued request out of the queue.
func (c *class) remove(r *Request) {
	if i := slices.Index(c.queue, r); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

// ahead counts the queued requests that go before a deadline.
func (c *class) ahead(deadline time.Time) int {
	n, _ := slices.BinarySearchFunc(c.queue, deadline, func(q *Request, d time.Time) int {
		return cmp.Or(q.Deadline.Compare(d), -1)
	})
	return n
}

// meets tells whether a request that starts now is answered in time.
func (c *class) meets(r *Request, now time.Time) bool {
	return r.Deadline.Sub(now) > meetLatencies*c.latency
}

// charge returns what a start costs, in slot time.
func (c *class) charge() time.Duration { return max(c.latency, costMin) }

// answered learns the latency of a whole answer, and whether its request
// started at the limit.
func (c *class) answered(latency time.Duration, reached bool) {
	if c.latency == 0 {
		c.latency = latency
	}
	c.latency += time.Duration(latencyGain * float64(latency-c.latency))
	c.floor.add(latency, reached)
}
