package cradmit

import (
	"time"
)

// onCollapse handles a collapse of the limit. It refuses all queued requests, so
// that other agents can run them, and cancels the running routine requests that
// may be repeated.
func (a *Admission) onCollapse() {
	for _, c := range a.allClasses() {
		a.refuseAll(c, ReasonEjected)
		c.floor.reset()
	}
	for i := len(a.running) - 1; i >= 0; i-- {
		if r := a.running[i]; r.stage == stageRunning && r.class.doc.Repeatable && !r.class.doc.Priority {
			a.preempt(r)
		}
	}
}

// preemptForPriority cancels running routine requests while priority requests
// are queued, until the running requests and the queued priority requests fit
// within the routine limit together. It doesn't use the full limit, which may
// exceed the number of workers of the backend server.
func (a *Admission) preemptForPriority(now time.Time) {
	queued := countQueued(a.priority)
	if queued == 0 {
		return
	}
	need := queued + len(a.running) - a.routineLimit(now) - a.preempted
	for i := len(a.running) - 1; i >= 0 && need > 0; i-- {
		r := a.running[i]
		if r.stage == stageRunning && r.class.doc.Repeatable && !r.class.doc.Priority && !r.noPreempt {
			a.preempt(r)
			need--
		}
	}
}

// preempt cancels a running request.
func (a *Admission) preempt(r *Request) {
	r.stage = stagePreempted
	a.preempted++
	a.Preempt(r)
}
