package cradmit

import "time"

const (
	// ejectFailures in a row eject an agent.
	ejectFailures = 3
	// ejectTime is the first ejection; it doubles with each failure after.
	ejectTime = time.Second
	// ejectTimeMax bounds an ejection.
	ejectTimeMax = 30 * time.Second
	// returnTime is how long the share of an agent takes to come back whole.
	returnTime = 10 * time.Second
	// returnShare is the share of an agent that has just come back.
	returnShare = 0.1
)

// Ejection steers around one agent that fails, and lets it back slowly. Its
// zero value is an agent in good standing.
type Ejection struct {
	failures int
	time     time.Duration
	until    time.Time
	back     time.Time
}

// RecordFailure takes a failed call.
func (e *Ejection) RecordFailure(now time.Time) {
	e.failures++
	if e.failures < ejectFailures && e.back.IsZero() {
		return
	}
	if now.Before(e.until) {
		return
	}
	e.time = min(max(ejectTime, 2*e.time), ejectTimeMax)
	e.until = now.Add(e.time)
	e.back = e.until.Add(returnTime)
	e.failures = 0
}

// RecordAnswer takes an answer.
func (e *Ejection) RecordAnswer(now time.Time) {
	e.failures = 0
	if !e.back.IsZero() && !now.Before(e.back) {
		*e = Ejection{}
	}
}

// TrafficShare returns the share of its calls that an agent gets, 0 to 1.
func (e *Ejection) TrafficShare(now time.Time) float64 {
	switch {
	case e.back.IsZero() || !now.Before(e.back):
		return 1
	case now.Before(e.until):
		return 0
	default:
		done := float64(now.Sub(e.until)) / float64(returnTime)
		return returnShare + (1-returnShare)*done
	}
}
