package cradmit

import (
	"slices"
	"time"
)

// dispatch starts queued requests while slots are free.
func (a *Admission) dispatch(now time.Time) {
	for len(a.running) < a.limit.current(now) {
		c, noPreempt := a.nextClass(now)
		if c == nil {
			return
		}
		r := c.pop()
		if !c.canMeetDeadline(r, now) {
			a.refuse(r, ReasonDeadline)
			continue
		}
		a.start(r, noPreempt, now)
	}
}

// nextClass returns the class whose request starts next, or nil if none may
// start. noPreempt is true if the starvation guard starts the request.
func (a *Admission) nextClass(now time.Time) (c *class, noPreempt bool) {
	routine := a.nextRoutine()
	if routine != nil && a.runningRoutine == 0 && a.priorityStreak >= maxPriorityStreak {
		return routine, true
	}
	if priority := a.nextPriority(); priority != nil {
		return priority, false
	}
	if len(a.running) >= a.routineLimit(now) {
		return nil, false
	}
	return routine, false
}

// nextPriority returns the priority class whose first queued request has the
// earliest deadline.
func (a *Admission) nextPriority() *class {
	var best *class
	for _, c := range a.priority {
		if len(c.queue) > 0 && (best == nil || c.queue[0].Deadline.Before(best.queue[0].Deadline)) {
			best = c
		}
	}
	return best
}

// nextRoutine returns the routine class with queued requests that has used the
// least slot time relative to its weight.
func (a *Admission) nextRoutine() *class {
	var best *class
	for _, c := range a.routine {
		if len(c.queue) > 0 && (best == nil || a.startTag(c) < a.startTag(best)) {
			best = c
		}
	}
	return best
}

// startTag returns the virtual time at which the next request of a class starts.
// An idle class doesn't accumulate unused slot time.
func (a *Admission) startTag(c *class) float64 { return max(c.virtualTime, a.virtualTime) }

// start starts a request.
func (a *Admission) start(r *Request, noPreempt bool, now time.Time) {
	c := r.class
	r.stage, r.started, r.epoch, r.noPreempt = stageRunning, now, a.limit.epoch, noPreempt
	if len(a.running) == 0 {
		a.lastAnswer = now
	}
	a.running = append(a.running, r)
	c.running++
	if c.doc.Priority {
		if countQueued(a.routine) > 0 {
			a.priorityStreak++
		}
	} else {
		a.priorityStreak = 0
		a.runningRoutine++
		a.virtualTime = a.startTag(c)
		r.cost = c.startCost()
		c.virtualTime = a.virtualTime + r.cost.Seconds()/c.weight()
	}
	r.atLimit = len(a.running) >= a.routineLimit(now)
	a.limit.recordStart(r.atLimit)
	a.Start(r)
}

// release removes a request from the running requests and replaces its charged
// cost with the slot time it used.
func (a *Admission) release(r *Request, now time.Time) {
	if r.stage == stagePreempted {
		a.preempted--
	}
	r.stage = stageEnded
	a.running = slices.DeleteFunc(a.running, func(o *Request) bool { return o == r })
	r.class.running--
	if !r.class.doc.Priority {
		r.class.virtualTime += (now.Sub(r.started) - r.cost).Seconds() / r.class.weight()
	}
	a.recountRoutine()
}

// recountRoutine counts the running routine requests again, because a change of
// the service document may have made a class routine or priority.
func (a *Admission) recountRoutine() {
	a.runningRoutine = 0
	for _, r := range a.running {
		if !r.class.doc.Priority {
			a.runningRoutine++
		}
	}
}
