package cradmit

import (
	"time"
)

// collapsed refuses what waits, so that it runs elsewhere, and cancels what
// is under way and repeatable.
func (a *Admission) collapsed() {
	for _, c := range a.all() {
		a.refuseAll(c, ReasonEjected)
		c.floor.forget()
	}
	for i := len(a.running) - 1; i >= 0; i-- {
		if r := a.running[i]; r.stage == stageRunning && r.class.doc.Repeat && !r.class.doc.Priority {
			a.preempt(r)
		}
	}
}

// makeRoom cancels routine requests for priority ones that wait, until what
// is under way fits beside the headroom: the limit itself may hold more than
// the backend server has workers for.
func (a *Admission) makeRoom(now time.Time) {
	wanted := waiting(a.priority)
	if wanted == 0 {
		return
	}
	need := wanted + len(a.running) - a.routineMax(now) - a.preempted
	for i := len(a.running) - 1; i >= 0 && need > 0; i-- {
		r := a.running[i]
		if r.stage == stageRunning && r.class.doc.Repeat && !r.class.doc.Priority && !r.floored {
			a.preempt(r)
			need--
		}
	}
}

// preempt cancels a request under way.
func (a *Admission) preempt(r *Request) {
	r.stage = stagePreempted
	a.preempted++
	a.Preempt(r)
}
