package cradmit

import "time"

const (
	// Far below the limit, the load is the number of requests divided by
	// lowLoadRequests, at most maxLowLoad; 1 is full load.
	lowLoadRequests = 64
	maxLowLoad      = 0.5
	// maxLoad is the highest reported load, in percent.
	maxLoad = 999
)

// HasCapacity reports whether a new routine request would start immediately.
func (a *Admission) HasCapacity(now time.Time) bool {
	return !a.limit.probing && !a.stalled(now) && countQueued(a.routine) == 0 &&
		len(a.running) < a.routineLimit(now)
}

// ProbeDue reports whether the next request should test whether the failing backend
// server has recovered, although other agents have room for it. Without such a request
// the backend server would stay out of use, because only a result ends the probing. A
// request that may not be repeated is used only after none that may has come for a
// while: if its test fails, its caller may be left without an answer.
func (a *Admission) ProbeDue(repeatable bool, now time.Time) bool {
	if !a.limit.probing || len(a.running)+a.Queued() > 0 {
		return false
	}
	due := a.limit.probeAt
	if !repeatable {
		due = due.Add(maxProbeDelay)
	}
	return !now.Before(due)
}

// Load returns the load of the backend server in percent. From 100 on, it has no
// capacity for more requests. Near the limit, the load rises steeply with the
// used share of the limit. Far below the limit, the load follows the number of
// requests, because a limit that isn't reached reflects earlier conditions, not
// the present capacity.
func (a *Admission) Load(now time.Time) int {
	return a.loadPercent(len(a.running)+a.Queued(), now)
}

// LoadFor returns the load in percent that is relevant to a new request of a
// class. For a priority class, it excludes the requests that can be preempted.
func (a *Admission) LoadFor(class string, now time.Time) int {
	c := a.classes[class]
	if c == nil || !c.doc.Priority {
		return a.Load(now)
	}
	n := countQueued(a.priority)
	for _, r := range a.running {
		if r.class.doc.Priority || !r.class.doc.Repeatable {
			n++
		}
	}
	return a.loadPercent(n, now)
}

// loadPercent returns the load in percent of n queued and running requests.
func (a *Admission) loadPercent(n int, now time.Time) int {
	if a.limit.probing || a.stalled(now) {
		return maxLoad
	}
	share := float64(n) / float64(a.limit.current(now))
	if share < 1 {
		share = max(share*share*share, min(float64(n)/lowLoadRequests, maxLowLoad))
	}
	return int(min(maxLoad, 100*share))
}
