package cradmit

import (
	"math"
	"time"
)

// objection returns why a request is refused at once.
func (a *Admission) objection(c *class, r *Request, now time.Time) (Reason, bool) {
	switch {
	case a.limit.probing && len(a.running) >= a.limit.at(now):
		return ReasonEjected, true
	case a.stalled(now):
		return ReasonStalled, true
	case len(c.queue) >= queueMax:
		return ReasonFull, true
	case !c.meets(r, now) || a.wait(c, r, now) > a.patience(c, r, now):
		return ReasonDeadline, true
	}
	return 0, false
}

// wait estimates how long a request would be queued.
func (a *Admission) wait(c *class, r *Request, now time.Time) time.Duration {
	slots, share := a.limit.at(now), 1.0
	ahead := c.ahead(r.Deadline)
	if !c.doc.Priority {
		slots = a.routineMax(now)
		share = a.share(c)
		if ahead == 0 && len(a.running) < slots {
			return 0
		}
	} else if ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * float64(c.latency) / (share * float64(max(slots, 1))))
}

// patience returns how long a request may wait.
func (a *Admission) patience(c *class, r *Request, now time.Time) time.Duration {
	share := waitRoutine
	if c.doc.Priority {
		share = waitPriority
	}
	return time.Duration(share * float64(r.Deadline.Sub(now)-c.latency))
}

// share returns the part of the routine places that a class can count on.
func (a *Admission) share(c *class) float64 {
	total := c.weight()
	for _, other := range a.routine {
		if other != c && (len(other.queue) > 0 || other.running > 0) {
			total += other.weight()
		}
	}
	return c.weight() / total
}

// routineMax returns how many requests may be under way when a routine one
// starts: priority ones push routine ones out of the room, not into the
// headroom.
func (a *Admission) routineMax(now time.Time) int {
	n := a.limit.at(now)
	if len(a.priority) == 0 {
		return n
	}
	free := int(math.Ceil(a.limit.doc.Headroom * float64(n)))
	return min(n, max(1, n-free))
}

// stalled tells whether several requests have been under way for far longer
// than they take, and nothing has been answered meanwhile.
func (a *Admission) stalled(now time.Time) bool {
	if len(a.running) == 0 || now.Sub(a.heard) < stallTime {
		return false
	}
	late := 0
	for _, r := range a.running {
		usual := r.class.latency
		if usual > 0 && now.Sub(r.started) > max(stallTime, stallLatencies*usual) {
			late++
		}
	}
	return late > 0 && late >= min(stallLate, a.limit.at(now))
}

// waiting counts the queued requests of classes.
func waiting(classes []*class) int {
	n := 0
	for _, c := range classes {
		n += len(c.queue)
	}
	return n
}
