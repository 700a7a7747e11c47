package cradmit

import "time"

const (
	// idleLimit is what requests are compared with far below the limit.
	idleLimit = 64
	// idleMax is the highest load that comes of this.
	idleMax = 0.5
	// loadMax is the highest load that is reported, in percent.
	loadMax = 999
)

// HasCapacity tells whether a new routine request would start at once.
func (a *Admission) HasCapacity(now time.Time) bool {
	return !a.limit.probing && !a.stalled(now) && waiting(a.routine) == 0 &&
		len(a.running) < a.routineMax(now)
}

// Load returns how loaded the backend server is, in percent; from 100 on
// there is no room. Far below its limit a server is as loaded as it has
// requests: a limit that nothing has reached tells what was, not what it
// bears. Towards the limit the share of it decides, steeply.
func (a *Admission) Load(now time.Time) int {
	return a.loadOf(len(a.running)+a.Queued(), now)
}

// LoadFor returns the load as a new request of a class meets it: a priority
// request doesn't mind those that it can cancel.
func (a *Admission) LoadFor(class string, now time.Time) int {
	c := a.classes[class]
	if c == nil || !c.doc.Priority {
		return a.Load(now)
	}
	inside := waiting(a.priority)
	for _, r := range a.running {
		if r.class.doc.Priority || !r.class.doc.Repeat {
			inside++
		}
	}
	return a.loadOf(inside, now)
}

// loadOf returns the load that a number of requests makes.
func (a *Admission) loadOf(inside int, now time.Time) int {
	if a.limit.probing || a.stalled(now) {
		return loadMax
	}
	share := float64(inside) / float64(a.limit.at(now))
	if share < 1 {
		share = max(share*share*share, min(float64(inside)/idleLimit, idleMax))
	}
	return int(min(loadMax, 100*share))
}
