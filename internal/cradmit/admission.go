package cradmit

import (
	"slices"
	"time"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// maxQueueLen bounds the queue of one class, in requests.
	maxQueueLen = 1024
	// maxRoutineWaitShare is the largest share of its remaining time that a
	// routine request may spend in the queue.
	maxRoutineWaitShare = 0.5
	// maxPriorityWaitShare is the corresponding share for a priority request.
	maxPriorityWaitShare = 0.9
	// maxPriorityStreak prevents starvation: after this many priority starts,
	// a queued routine request starts next if no routine request is running.
	maxPriorityStreak = 20
	// stallTimeout is the shortest time without a complete answer after which
	// the backend server may be considered stalled.
	stallTimeout = 500 * time.Millisecond
	// overdueLatencies is the running time from which a request is overdue, in
	// mean latencies of its class.
	overdueLatencies = 10
	// minOverdueRequests is how many requests must be overdue for a stall, or
	// the limit if that is lower.
	minOverdueRequests = 3
	// minTimeoutLatencies is how long a request must have run, in mean
	// latencies, for its timeout to count as a failure of the backend server.
	minTimeoutLatencies = 4
)

// Admission is the admission controller of one backend server. It isn't safe
// for concurrent use. Its methods call the function fields, which must not call
// methods of the Admission.
type Admission struct {
	// Start is called when a request may run. The caller of Offer then runs
	// the request and calls Finish.
	Start func(r *Request)
	// Refuse is called when a request must not run.
	Refuse func(r *Request, reason Reason)
	// Preempt is called when a running request must be cancelled. The request
	// keeps its slot until Finish.
	Preempt func(r *Request)

	limit   limit
	classes map[string]*class
	// routine and priority list the classes in the order of the service
	// document.
	routine  []*class
	priority []*class
	// running lists the running requests in the order of their start.
	running []*Request
	// runningRoutine counts the routine requests in running.
	runningRoutine int
	// preempted counts the requests in running that are being cancelled.
	preempted int
	// virtualTime is the start tag of the last routine start.
	virtualTime float64
	// priorityStreak counts the priority starts since the last routine start,
	// while routine requests were queued.
	priorityStreak int
	// lastAnswer is the time of the last complete answer, or of the start that
	// ended an idle period.
	lastAnswer time.Time
}

// Configure applies a service document. Call it before the first Offer and
// after each change of the document.
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
			c = &class{virtualTime: a.virtualTime}
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
	a.recountRoutine()
	a.dispatch(now)
}

// Offer submits a new request, which is started, queued or refused.
func (a *Admission) Offer(r *Request, now time.Time) {
	c := a.classes[r.Class]
	if c == nil {
		a.refuse(r, ReasonClass)
		return
	}
	r.class = c
	if reason, refused := a.refusalReason(c, r, now); refused {
		a.refuse(r, reason)
		return
	}
	c.push(r)
	a.dispatch(now)
	a.preemptForPriority(now)
}

// Withdraw removes a request from its queue, for example when the caller has
// disconnected. It has no effect on a request that isn't queued.
func (a *Admission) Withdraw(r *Request) {
	if r.stage != stageQueued {
		return
	}
	r.class.remove(r)
	r.stage = stageEnded
}

// Finish reports the result of a started request and frees its slot.
func (a *Admission) Finish(r *Request, result Result, now time.Time) {
	if r.stage != stageRunning && r.stage != stagePreempted {
		return
	}
	a.release(r, now)
	if r.epoch == a.limit.epoch {
		a.recordResult(r, result, now)
	}
	a.Tick(now)
}

// Tick refuses queued requests that can no longer meet their deadline, updates
// the limit at the end of a window, and starts requests. Call it periodically
// while requests are queued.
func (a *Admission) Tick(now time.Time) {
	for _, c := range a.allClasses() {
		for len(c.queue) > 0 && !c.canMeetDeadline(c.queue[0], now) {
			a.refuse(c.pop(), ReasonDeadline)
		}
	}
	if a.limit.windowOver(now) && a.limit.closeWindow(a.closeLatencyWindows(), now) {
		a.onCollapse()
	}
	a.dispatch(now)
	a.preemptForPriority(now)
}

// Limit returns the current concurrency limit.
func (a *Admission) Limit(now time.Time) int { return a.limit.current(now) }

// Running returns the number of running requests.
func (a *Admission) Running() int { return len(a.running) }

// Queued returns the number of queued requests.
func (a *Admission) Queued() int { return countQueued(a.routine) + countQueued(a.priority) }

// recordResult updates the limit with the result of a request. It ignores the
// timeout of a request that started shortly before its deadline, because such a
// timeout doesn't indicate a failing backend server.
func (a *Admission) recordResult(r *Request, result Result, now time.Time) {
	if result == ResultTimeout && now.Sub(r.started) < minTimeoutLatencies*r.class.meanLatency {
		return
	}
	switch {
	case result == ResultDone:
		a.lastAnswer = now
		r.class.recordAnswer(now.Sub(r.started), r.atLimit)
		a.limit.recordSuccess(now)
	case result.failed() && a.limit.recordFailure(result, r.started, now):
		a.onCollapse()
	}
}

// allClasses returns the priority classes, then the routine classes.
func (a *Admission) allClasses() []*class { return append(slices.Clone(a.priority), a.routine...) }

// closeLatencyWindows closes the latency window of each class. It returns the
// ratio of mean latency to latency floor, averaged over the answers of all
// classes.
func (a *Admission) closeLatencyWindows() float64 {
	sum, total := 0.0, 0
	for _, c := range a.allClasses() {
		ratio, n := c.floor.closeWindow()
		sum += ratio * float64(n)
		total += n
	}
	if total == 0 {
		return 1
	}
	return sum / float64(total)
}

// refuse refuses a request that has not started.
func (a *Admission) refuse(r *Request, reason Reason) {
	r.stage = stageEnded
	a.Refuse(r, reason)
}

// refuseAll refuses all queued requests of a class.
func (a *Admission) refuseAll(c *class, reason Reason) {
	for len(c.queue) > 0 {
		a.refuse(c.pop(), reason)
	}
}
