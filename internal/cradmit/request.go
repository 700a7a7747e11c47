package cradmit

import "time"

// Request is a request to be admitted to the backend server. It must not be
// reused: offer a new Request for each retry.
type Request struct {
	// Class is the name of a class in the service document.
	Class string
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time

	class   *class
	stage   stage
	started time.Time
	// cost is the slot time charged to the class at the start.
	cost time.Duration
	// epoch is the epoch of the limit at the start.
	epoch int
	// atLimit reports whether the start brought the running requests up to
	// the routine limit or beyond.
	atLimit bool
	// noPreempt is set on routine requests that the starvation guard of
	// maxPriorityStreak started.
	noPreempt bool
}

// stage is the state of a request in its lifecycle.
type stage int

const (
	stageNew stage = iota
	stageQueued
	stageRunning
	stagePreempted
	stageEnded
)
