package crrun

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cardamomring.dev/internal/crwire"
)

// Answer is the answer to one request, held whole.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Outcome is what is known about the request.
	Outcome crwire.Outcome
	// Reason says why a request has no backend server's answer.
	Reason string
	// Load is the answering agent's load in percent of its limit, -1 when
	// unknown.
	Load int
}

// retryAfter is what a refusal tells the caller to wait, in seconds.
const retryAfter = "1"

// NewFailure returns a problem answer: 503 for a request that has not run, 504
// for one that may have.
func NewFailure(outcome crwire.Outcome, reason string) Answer {
	status, title := http.StatusServiceUnavailable, "the request has not run"
	if outcome == crwire.OutcomeUnknown {
		status, title = http.StatusGatewayTimeout, "the request may or may not have run"
	}
	return problem(status, title, outcome, reason)
}

// NewRejection returns a problem answer for a request that is wrong in itself.
func NewRejection(status int, reason string) Answer {
	return problem(status, http.StatusText(status), crwire.OutcomeNotrun, reason)
}

// problem builds a problem answer (RFC 9457).
func problem(status int, title string, outcome crwire.Outcome, reason string) Answer {
	body, _ := json.Marshal(crwire.Problem{
		Type: "about:blank", Title: title, Status: status, Outcome: outcome, Reason: reason,
	})
	h := http.Header{"Content-Type": {crwire.ProblemType}}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter)
	}
	return Answer{Status: status, Header: h, Body: body, Outcome: outcome, Reason: reason, Load: -1}
}

// Write sends the answer to a caller.
func (a Answer) Write(w http.ResponseWriter) {
	h := w.Header()
	drop(a.Header)
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(crwire.HeaderOutcome, a.Outcome.String())
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// WriteToPeer sends the answer to a balancer or agent, with the request's ID.
func (a Answer) WriteToPeer(w http.ResponseWriter, id string) {
	h := w.Header()
	drop(a.Header)
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(crwire.HeaderOutcome, a.Outcome.String())
	h.Set(crwire.HeaderID, id)
	h.Set(crwire.HeaderReason, a.Reason)
	h.Set(crwire.HeaderLoad, strconv.Itoa(a.Load))
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
