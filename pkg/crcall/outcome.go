package crcall

import (
	"net/http"
	"time"
)

// Outcome states whether a request ran, as far as the client knows.
type Outcome int

const (
	// OutcomeDone means that the request ran and its complete answer was received.
	OutcomeDone Outcome = iota
	// OutcomeNotrun means that the request has not run and will not run.
	OutcomeNotrun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
)

// Answer is the result of a request.
type Answer struct {
	// Outcome states whether the request ran.
	Outcome Outcome
	// Reason explains why there is no answer from a backend server: the reason
	// in a refusal, the HTTP status or the text of an error. It is empty with
	// OutcomeDone.
	Reason string
	// Status, Header and Body are those of the HTTP response to the last attempt.
	// Status is 0 if there was none, and 400 if the request itself is invalid.
	Status int
	Header http.Header
	Body   []byte
	// Tries is the number of attempts, including the first.
	Tries int
	// retryAfter is the wait that a refusal asks for.
	retryAfter time.Duration
}

// retriable reports whether a retry of a request that has not run may succeed: a
// refusal for lack of capacity may be temporary, an invalid request stays invalid.
func (a *Answer) retriable() bool {
	return a.Status == 0 || a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}
