package crcall

import (
	"net/http"
	"time"
)

// Outcome is what is known about a request.
type Outcome int

const (
	// OutcomeDone says that the request ran and its whole answer is here.
	OutcomeDone Outcome = iota
	// OutcomeNotrun says that the request has not run and will not.
	OutcomeNotrun
	// OutcomeUnknown says that the request may or may not have run.
	OutcomeUnknown
)

// Answer is what became of a request.
type Answer struct {
	// Outcome is what is known about the request.
	Outcome Outcome
	// Reason says why there is no answer of a backend server.
	Reason string
	// Status, Header and Body are those of the last answer; Status is 0
	// without one.
	Status int
	Header http.Header
	Body   []byte
	// Tries is how often the request was sent.
	Tries int
	// wait is how long a refusal asks to wait.
	wait time.Duration
}

// retriable says whether the same request may fare better later: a refusal
// for want of room may, a request that is wrong in itself doesn't.
func (a *Answer) retriable() bool {
	return a.Status == 0 || a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}
