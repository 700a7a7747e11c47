package cradmit

import (
	"slices"
	"time"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// queueMax bounds the queue of one class, in requests.
	queueMax = 1024
	// waitRoutine is the share of its remaining time that a routine request
	// may spend waiting.
	waitRoutine = 0.5
	// waitPriority is the same for a priority request.
	waitPriority = 0.9
	// floorStarts is how many priority requests start before a routine one
	// that waits gets a place, when none runs.
	floorStarts = 20
	// stallTime is the shortest silence that means a stalled backend server.
	stallTime = 500 * time.Millisecond
	// stallLatencies is how late a request is by then, in mean latencies.
	stallLatencies = 10
	// stallLate is how many requests are late by then, or the limit if less.
	stallLate = 3
	// timeoutLatencies is how long a request ran, in mean latencies, whose
	// time-out speaks against the backend server.
	timeoutLatencies = 4
)

// Admission admits the requests of one backend server. It isn't safe for
// concurrent use. The function fields are called from within its methods and
// must not call back.
type Admission struct {
	// Start is called when a request may run; the holder then runs it and
	// calls Finish.
	Start func(r *Request)
	// Refuse is called when a request will not run.
	Refuse func(r *Request, reason Reason)
	// Preempt is called when a request under way is to be cancelled. It
	// keeps its place until Finish.
	Preempt func(r *Request)

	limit   limit
	classes map[string]*class
	// routine and priority hold the classes in the document's order.
	routine  []*class
	priority []*class
	// running holds the requests under way in the order of their start.
	running []*Request
	// runningRoutine counts the routine ones among them.
	runningRoutine int
	// preempted counts those among them that are being cancelled.
	preempted int
	// virtual is the virtual time of the last routine start.
	virtual float64
	// passed counts priority starts while routine requests waited.
	passed int
	// heard is when the backend server last answered.
	heard time.Time
}

// Configure takes the document's policy, at first and at each change.
func (a *Admission) Configure(doc *crdoc.Service, now time.Time) {
	if a.classes == nil {
		a.limit.reset(doc.Limit, now)
	}
	a.limit.update(doc.Limit)
	old := a.classes
	a.classes = map[string]*class{}
	a.routine, a.priority = nil, nil
	for _, d := range doc.Classes {
		c := old[d.Name]
		if c == nil {
			c = &class{virtual: a.virtual}
		}
		delete(old, d.Name)
		c.doc = d
		a.classes[d.Name] = c
		if d.Priority {
			a.priority = append(a.priority, c)
		} else {
			a.routine = append(a.routine, c)
		}
	}
	for _, c := range old {
		a.refuseAll(c, ReasonClass)
	}
	a.recount()
	a.dispatch(now)
}

// Offer takes a new request: it is started, queued or refused.
func (a *Admission) Offer(r *Request, now time.Time) {
	c := a.classes[r.Class]
	if c == nil {
		a.refuse(r, ReasonClass)
		return
	}
	r.class = c
	if reason, refused := a.objection(c, r, now); refused {
		a.refuse(r, reason)
		return
	}
	c.push(r)
	a.dispatch(now)
	a.makeRoom(now)
}

// Withdraw ends a request that waits; its caller has gone away.
func (a *Admission) Withdraw(r *Request) {
	if r.stage != stageQueued {
		return
	}
	r.class.remove(r)
	r.stage = stageEnded
}

// Finish ends a request that was started and gives its place on.
func (a *Admission) Finish(r *Request, result Result, now time.Time) {
	if r.stage != stageRunning && r.stage != stagePreempted {
		return
	}
	a.release(r, now)
	if r.epoch == a.limit.epoch {
		a.learn(r, result, now)
	}
	a.Tick(now)
}

// Tick refuses requests that can't be met any more, looks at the window and
// starts what may run. Call it now and then while requests wait.
func (a *Admission) Tick(now time.Time) {
	for _, c := range a.all() {
		for len(c.queue) > 0 && !c.meets(c.queue[0], now) {
			a.refuse(c.pop(), ReasonDeadline)
		}
	}
	if a.limit.due(now) && a.limit.close(a.closeFloors(), now) {
		a.collapsed()
	}
	a.dispatch(now)
	a.makeRoom(now)
}

// Limit returns the limit in force.
func (a *Admission) Limit(now time.Time) int { return a.limit.at(now) }

// Running returns how many requests are under way.
func (a *Admission) Running() int { return len(a.running) }

// Queued returns how many requests are queued.
func (a *Admission) Queued() int { return waiting(a.routine) + waiting(a.priority) }

// learn feeds the result to the limit. A request that started shortly before
// its deadline and missed it says nothing.
func (a *Admission) learn(r *Request, result Result, now time.Time) {
	if result == ResultTimeout && now.Sub(r.started) < timeoutLatencies*r.class.latency {
		return
	}
	switch {
	case result == ResultDone:
		a.heard = now
		r.class.answered(now.Sub(r.started), r.reached)
		a.limit.done(now)
	case result.failed() && a.limit.fail(result, r.started, now):
		a.collapsed()
	}
}

// all returns every class, the priority ones first.
func (a *Admission) all() []*class { return append(slices.Clone(a.priority), a.routine...) }

// closeFloors returns the mean latency over its floor, over all classes.
func (a *Admission) closeFloors() float64 {
	sum, total := 0.0, 0
	for _, c := range a.all() {
		ratio, n := c.floor.close()
		sum += ratio * float64(n)
		total += n
	}
	if total == 0 {
		return 1
	}
	return sum / float64(total)
}

// refuse ends a request that has not run.
func (a *Admission) refuse(r *Request, reason Reason) {
	r.stage = stageEnded
	a.Refuse(r, reason)
}

// refuseAll empties a class's queue.
func (a *Admission) refuseAll(c *class, reason Reason) {
	for len(c.queue) > 0 {
		a.refuse(c.pop(), reason)
	}
}
