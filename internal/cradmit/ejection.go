package cradmit

import "time"

const (
	// failuresToEject is the number of failures in a row that ejects an agent.
	failuresToEject = 3
	// baseEjectionTime is the duration of the first ejection. Each failure
	// after an ejection ejects the agent again, for twice as long.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the duration of an ejection.
	maxEjectionTime = 30 * time.Second
	// slowStartTime is how long the traffic share of an agent takes to return to
	// 1 after an ejection.
	slowStartTime = 10 * time.Second
	// slowStartShare is the traffic share directly after an ejection.
	slowStartShare = 0.1
)

// Ejection excludes a failing agent from traffic for some time and then brings
// it back by slow start. Its zero value stands for a healthy agent.
type Ejection struct {
	failures       int
	duration       time.Duration
	ejectedUntil   time.Time
	slowStartUntil time.Time
}

// RecordFailure records a failed call.
func (e *Ejection) RecordFailure(now time.Time) {
	e.failures++
	if e.failures < failuresToEject && e.slowStartUntil.IsZero() {
		return
	}
	if now.Before(e.ejectedUntil) {
		return
	}
	e.duration = min(max(baseEjectionTime, 2*e.duration), maxEjectionTime)
	e.ejectedUntil = now.Add(e.duration)
	e.slowStartUntil = e.ejectedUntil.Add(slowStartTime)
	e.failures = 0
}

// RecordAnswer records an answered call. After the slow start, it resets the
// ejection.
func (e *Ejection) RecordAnswer(now time.Time) {
	e.failures = 0
	if !e.slowStartUntil.IsZero() && !now.Before(e.slowStartUntil) {
		*e = Ejection{}
	}
}

// TrafficShare returns the share of its usual calls that the agent may get, 0
// to 1.
func (e *Ejection) TrafficShare(now time.Time) float64 {
	switch {
	case e.slowStartUntil.IsZero() || !now.Before(e.slowStartUntil):
		return 1
	case now.Before(e.ejectedUntil):
		return 0
	default:
		progress := float64(now.Sub(e.ejectedUntil)) / float64(slowStartTime)
		return slowStartShare + (1-slowStartShare)*progress
	}
}
