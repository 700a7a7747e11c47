package cradmit

import (
	"math"
	"time"
)

// refusalReason reports whether a new request must be refused immediately, and
// why.
func (a *Admission) refusalReason(c *class, r *Request, now time.Time) (Reason, bool) {
	switch {
	case a.limit.probing && len(a.running) >= a.limit.current(now):
		return ReasonEjected, true
	case a.stalled(now):
		return ReasonStalled, true
	case len(c.queue) >= maxQueueLen:
		return ReasonFull, true
	case !c.canMeetDeadline(r, now) || a.estimateWait(c, r, now) > a.maxWait(c, r, now):
		return ReasonDeadline, true
	}
	return 0, false
}

// estimateWait estimates how long a request would stay in the queue.
func (a *Admission) estimateWait(c *class, r *Request, now time.Time) time.Duration {
	slots, share := a.limit.current(now), 1.0
	ahead := c.queuedBefore(r.Deadline)
	if !c.doc.Priority {
		slots = a.routineLimit(now)
		share = a.slotShare(c)
		if ahead == 0 && len(a.running) < slots {
			return 0
		}
	} else if ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * float64(c.meanLatency) / (share * float64(max(slots, 1))))
}

// maxWait returns how long a request may stay in the queue.
func (a *Admission) maxWait(c *class, r *Request, now time.Time) time.Duration {
	share := maxRoutineWaitShare
	if c.doc.Priority {
		share = maxPriorityWaitShare
	}
	return time.Duration(share * float64(r.Deadline.Sub(now)-c.meanLatency))
}

// slotShare returns the share of the routine slots that a class can expect.
func (a *Admission) slotShare(c *class) float64 {
	total := c.weight()
	for _, other := range a.routine {
		if other != c && (len(other.queue) > 0 || other.running > 0) {
			total += other.weight()
		}
	}
	return c.weight() / total
}

// routineLimit returns the number of running requests, of all classes, below
// which a routine request may start. It is the limit without the headroom:
// priority requests displace routine requests and must not push them into the
// headroom.
func (a *Admission) routineLimit(now time.Time) int {
	n := a.limit.current(now)
	if len(a.priority) == 0 {
		return n
	}
	headroom := int(math.Ceil(a.limit.doc.Headroom * float64(n)))
	return min(n, max(1, n-headroom))
}

// stalled reports whether the backend server has stopped answering: several
// requests have been running for far longer than usual, and no answer has
// arrived within stallTimeout.
func (a *Admission) stalled(now time.Time) bool {
	if len(a.running) == 0 || now.Sub(a.lastAnswer) < stallTimeout {
		return false
	}
	overdue := 0
	for _, r := range a.running {
		mean := r.class.meanLatency
		if mean > 0 && now.Sub(r.started) > max(stallTimeout, overdueLatencies*mean) {
			overdue++
		}
	}
	return overdue > 0 && overdue >= min(minOverdueRequests, a.limit.current(now))
}

// countQueued returns the number of queued requests of the classes.
func countQueued(classes []*class) int {
	n := 0
	for _, c := range classes {
		n += len(c.queue)
	}
	return n
}
