package cradmit

import (
	"slices"
	"time"
)

// dispatch starts requests while there is room for one.
func (a *Admission) dispatch(now time.Time) {
	for len(a.running) < a.limit.at(now) {
		c, floored := a.next(now)
		if c == nil {
			return
		}
		r := c.pop()
		if !c.meets(r, now) {
			a.refuse(r, ReasonDeadline)
			continue
		}
		a.start(r, floored, now)
	}
}

// next returns the class whose request starts next, nil for none.
func (a *Admission) next(now time.Time) (c *class, floored bool) {
	fair := a.fairest()
	if fair != nil && a.runningRoutine == 0 && a.passed >= floorStarts {
		return fair, true
	}
	if urgent := a.urgent(); urgent != nil {
		return urgent, false
	}
	if len(a.running) >= a.routineMax(now) {
		return nil, false
	}
	return fair, false
}

// urgent returns the priority class whose head has the earliest deadline.
func (a *Admission) urgent() *class {
	var best *class
	for _, c := range a.priority {
		if len(c.queue) > 0 && (best == nil || c.queue[0].Deadline.Before(best.queue[0].Deadline)) {
			best = c
		}
	}
	return best
}

// fairest returns the waiting routine class that has had the least slot
// time for its weight.
func (a *Admission) fairest() *class {
	var best *class
	for _, c := range a.routine {
		if len(c.queue) > 0 && (best == nil || a.tag(c) < a.tag(best)) {
			best = c
		}
	}
	return best
}

// tag returns the virtual time at which a class's next request starts. A
// class that was idle doesn't save up.
func (a *Admission) tag(c *class) float64 { return max(c.virtual, a.virtual) }

// start runs a request.
func (a *Admission) start(r *Request, floored bool, now time.Time) {
	c := r.class
	r.stage, r.started, r.epoch, r.floored = stageRunning, now, a.limit.epoch, floored
	if len(a.running) == 0 {
		a.heard = now
	}
	a.running = append(a.running, r)
	c.running++
	if c.doc.Priority {
		if waiting(a.routine) > 0 {
			a.passed++
		}
	} else {
		a.passed = 0
		a.runningRoutine++
		a.virtual = a.tag(c)
		r.cost = c.charge()
		c.virtual = a.virtual + r.cost.Seconds()/c.weight()
	}
	r.reached = len(a.running) >= a.routineMax(now)
	a.limit.started(r.reached)
	a.Start(r)
}

// release takes a request out of those under way.
func (a *Admission) release(r *Request, now time.Time) {
	if r.stage == stagePreempted {
		a.preempted--
	}
	r.stage = stageEnded
	a.running = slices.DeleteFunc(a.running, func(o *Request) bool { return o == r })
	r.class.running--
	if !r.class.doc.Priority {
		r.class.virtual += (now.Sub(r.started) - r.cost).Seconds() / r.class.weight()
	}
	a.recount()
}

// recount counts the routine requests under way; a document may have moved
// a class.
func (a *Admission) recount() {
	a.runningRoutine = 0
	for _, r := range a.running {
		if !r.class.doc.Priority {
			a.runningRoutine++
		}
	}
}
