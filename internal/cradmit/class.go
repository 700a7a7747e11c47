package cradmit

import (
	"cmp"
	"slices"
	"time"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// latencyEWMAWeight is the weight of a new answer in a class's
	// exponentially weighted mean latency.
	latencyEWMAWeight = 0.1
	// minLatenciesToDeadline is the least time to the deadline with which a
	// request may start, in mean latencies of its class.
	minLatenciesToDeadline = 2
	// minStartCost is the least slot time charged for a start. A class without
	// answers is charged this cost.
	minStartCost = time.Millisecond
)

// class is a request class of the service document with its queue.
type class struct {
	doc crdoc.Class
	// queue is ordered by deadline, earliest first.
	queue []*Request
	// running counts the class's running requests.
	running int
	// virtualTime is the virtual time of start-time fair queueing. It advances
	// by the slot time that the class uses divided by its weight, in seconds.
	virtualTime float64
	// meanLatency is the mean time to a complete answer; 0 before the first.
	meanLatency time.Duration
	floor       latencyFloor
}

// weight returns the configured weight, at least 1.
func (c *class) weight() float64 { return float64(max(c.doc.Weight, 1)) }

// push inserts a request into the queue by its deadline.
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

// pop removes and returns the request with the earliest deadline.
func (c *class) pop() *Request {
	r := c.queue[0]
	c.queue = slices.Delete(c.queue, 0, 1)
	return r
}

// remove deletes a request from the queue.
func (c *class) remove(r *Request) {
	if i := slices.Index(c.queue, r); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

// queuedBefore returns how many queued requests have an earlier deadline.
func (c *class) queuedBefore(deadline time.Time) int {
	n, _ := slices.BinarySearchFunc(c.queue, deadline, func(q *Request, d time.Time) int {
		return cmp.Or(q.Deadline.Compare(d), -1)
	})
	return n
}

// canMeetDeadline reports whether a request that starts now can be expected
// to finish before its deadline.
func (c *class) canMeetDeadline(r *Request, now time.Time) bool {
	return r.Deadline.Sub(now) > minLatenciesToDeadline*c.meanLatency
}

// startCost returns the slot time charged to the class when a request starts.
func (c *class) startCost() time.Duration { return max(c.meanLatency, minStartCost) }

// recordAnswer records the latency of a complete answer. atLimit reports
// whether its request started at the limit.
func (c *class) recordAnswer(latency time.Duration, atLimit bool) {
	if c.meanLatency == 0 {
		c.meanLatency = latency
	}
	c.meanLatency += time.Duration(latencyEWMAWeight * float64(latency-c.meanLatency))
	c.floor.add(latency, atLimit)
}
