package cropaque

import (
	"math"
	"slices"
	"time"
)

const (
	// lateFactor is how many times longer than usual a request may take: times
	// of requests spread, and one that begins when the usual time is left is late
	// every second time.
	lateFactor = 1.5
	// crowdShare is the part of the target that flows may wait in the order of
	// their age. When more wait, the last of them would be late, and so would
	// everyone who comes after them.
	crowdShare = 0.5
)

// waitQueue holds flows that wait for a slot. It answers two load patterns: a
// burst of routine requests that meets rare urgent ones, and the return of
// callers after an outage, who have waited for longer than their target
// already. The most urgent route goes first; within it those go first that can
// still be answered within their target, then the others; each the oldest first.
// While more wait than that serves in time, the newest that can still be
// answered in time goes first, so that one delay isn't handed on to everyone who
// comes after it. Times named done are when a request that began now would be
// answered.
type waitQueue []*held

// push adds a flow.
func (q *waitQueue) push(f *held) { *q = append(*q, f) }

// ahead returns how many flows may go before one.
func (q waitQueue) ahead(f *held, done time.Time) int {
	n := 0
	for _, g := range q {
		if g.before(f, done, true) {
			n++
		}
	}
	return n
}

// onTime returns how many flows can still be answered within their target: those
// that a new flow waits for.
func (q waitQueue) onTime(done time.Time) int {
	n := 0
	for _, f := range q {
		if !f.late(done) {
			n++
		}
	}
	return n
}

// crowded says whether more flows wait than are served in time in the order of
// their age; each is the time from one free slot to the next.
func (q waitQueue) crowded(done time.Time, each time.Duration) bool {
	wait, least := time.Duration(0), time.Duration(math.MaxInt64)
	for _, f := range q {
		if !f.late(done) {
			wait += each
			least = min(least, f.target)
		}
	}
	return float64(wait) > crowdShare*float64(least)
}

// pop removes the flow that goes next.
func (q *waitQueue) pop(done time.Time, each time.Duration) *held {
	next := 0
	crowded := q.crowded(done, each)
	for i, f := range *q {
		if f.before((*q)[next], done, crowded) {
			next = i
		}
	}
	f := (*q)[next]
	*q = slices.Delete(*q, next, next+1)
	return f
}

// late says whether a flow that is answered at a time misses its target.
func (f *held) late(done time.Time) bool { return done.Sub(f.came) > f.target }

// before says whether a flow goes before another; crowded puts the newest of
// those in time first.
func (f *held) before(g *held, done time.Time, crowded bool) bool {
	if f.priority != g.priority {
		return f.priority < g.priority
	}
	late, otherLate := f.late(done), g.late(done)
	if late != otherLate {
		return otherLate
	}
	if !late && crowded {
		return g.came.Before(f.came)
	}
	return f.came.Before(g.came)
}

// clean keeps the flows that stay.
func (q *waitQueue) clean(stays func(f *held) bool) {
	*q = slices.DeleteFunc(*q, func(f *held) bool { return !stays(f) })
}
