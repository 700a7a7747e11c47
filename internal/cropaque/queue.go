package cropaque

import (
	"math"
	"slices"
	"time"
)

const (
	// slowRequestFactor is how many times the average latency a request is
	// assumed to take. Latencies vary: a request that begins with only the
	// average left until its target misses the target every second time.
	slowRequestFactor = 1.5
	// crowdedShare is the share of the target latency that queued flows may
	// wait in order of age. When the queue is longer, its last flow would miss
	// its target, and so would all flows that arrive after it.
	crowdedShare = 0.5
)

// waitQueue holds flows that wait for a slot. It is made for two load
// patterns: a burst of routine requests together with rare urgent ones, and
// the return of callers after an outage, who have already waited for longer
// than their target. A route that gets less than its minimum goes first, then
// the most urgent one. Within a route, flows that can still be answered within
// their target go before the others. Of these, flows of accounts within their
// share go first, and older flows before newer ones. While the queue is crowded,
// the newest flow that can still be answered in time goes first, so that one
// delay isn't passed on to all later flows. The parameter completion is when a
// request that begins now would be answered.
type waitQueue []*agentFlow

// push adds a flow.
func (q *waitQueue) push(f *agentFlow) { *q = append(*q, f) }

// countAhead returns how many queued flows may go before f.
func (q waitQueue) countAhead(f *agentFlow, completion time.Time) int {
	n := 0
	for _, g := range q {
		if g.goesBefore(f, completion, true) {
			n++
		}
	}
	return n
}

// countOnTime returns how many queued flows can still be answered within their
// target. A new flow waits for these.
func (q waitQueue) countOnTime(completion time.Time) int {
	n := 0
	for _, f := range q {
		if !f.missesTarget(completion) {
			n++
		}
	}
	return n
}

// crowded reports whether more flows are queued than can be served in time in
// order of age; flows with a larger excess than maxExcess don't count; slotInterval is
// the time from one free slot to the next.
func (q waitQueue) crowded(completion time.Time, slotInterval, maxExcess time.Duration) bool {
	wait, minTarget := time.Duration(0), time.Duration(math.MaxInt64)
	for _, f := range q {
		if f.excess <= maxExcess && !f.missesTarget(completion) {
			wait += slotInterval
			minTarget = min(minTarget, f.target)
		}
	}
	return float64(wait) > crowdedShare*float64(minTarget)
}

// pop removes and returns the flow that goes next.
func (q *waitQueue) pop(completion time.Time, slotInterval time.Duration) *agentFlow {
	next := 0
	crowded := q.crowded(completion, slotInterval, 0)
	for i, f := range *q {
		if f.goesBefore((*q)[next], completion, crowded) {
			next = i
		}
	}
	f := (*q)[next]
	*q = slices.Delete(*q, next, next+1)
	return f
}

// missesTarget reports whether a flow that is answered at a time misses its
// target.
func (f *agentFlow) missesTarget(at time.Time) bool { return at.Sub(f.arrivedAt) > f.target }

// goesBefore reports whether a flow goes before another. Late flows go last even
// if their account is within its share: the answer that still comes in time
// counts for more. If crowded, the newest of the flows that can be answered in time
// goes first.
func (f *agentFlow) goesBefore(g *agentFlow, completion time.Time, crowded bool) bool {
	if f.starved != g.starved {
		return f.starved
	}
	if f.priority != g.priority {
		return f.priority < g.priority
	}
	late, otherLate := f.missesTarget(completion), g.missesTarget(completion)
	if late != otherLate {
		return otherLate
	}
	if f.excess != g.excess {
		return f.excess < g.excess
	}
	if !late && crowded {
		return g.arrivedAt.Before(f.arrivedAt)
	}
	return f.arrivedAt.Before(g.arrivedAt)
}

// lastOverShare returns the flow that goes last of those whose accounts are beyond
// their shares, nil if there is none.
func (q waitQueue) lastOverShare(completion time.Time) *agentFlow {
	var last *agentFlow
	for _, f := range q {
		if f.excess > 0 && (last == nil || last.goesBefore(f, completion, true)) {
			last = f
		}
	}
	return last
}

// countOfRoute returns how many flows of f's route are queued, and how many of
// more urgent routes.
func (q waitQueue) countOfRoute(f *agentFlow) (same, urgent int) {
	for _, g := range q {
		switch {
		case g.key.Service == f.key.Service:
			same++
		case g.priority < f.priority:
			urgent++
		}
	}
	return same, urgent
}

// retain removes the flows for which keep returns false.
func (q *waitQueue) retain(keep func(f *agentFlow) bool) {
	*q = slices.DeleteFunc(*q, func(f *agentFlow) bool { return !keep(f) })
}
