package cradmit

import "time"

// Request is one request at the admission of one backend server. It is used
// once: offer a new one for another try.
type Request struct {
	// Class is the name of its class in the document.
	Class string
	// Deadline is when its answer is worthless.
	Deadline time.Time

	class   *class
	stage   stage
	started time.Time
	// cost is what was charged to the class at the start.
	cost time.Duration
	// epoch is the limit's epoch at the start.
	epoch int
	// reached says that it started at the limit.
	reached bool
	// floored requests were started by the floor of routine work and are
	// not preempted.
	floored bool
}

// stage is where a request is in its life.
type stage int

const (
	stageNew stage = iota
	stageQueued
	stageRunning
	stagePreempted
	stageEnded
)
