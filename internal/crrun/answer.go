package crrun

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cardamomring.dev/internal/crwire"
)

// Answer is the complete answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Outcome states whether the request has run.
	Outcome crwire.Outcome
	// Reason states why there is no answer of a backend server.
	Reason string
	// Load is the load of the agent that answered, in percent of its limit; -1 if
	// unknown.
	Load int
}

// retryAfterSeconds is the value of Retry-After in an answer with status 503.
const retryAfterSeconds = "1"

// NewFailure returns a problem answer for a failed request. Its status is 504 if
// the request may have run, else 503.
func NewFailure(outcome crwire.Outcome, reason string) Answer {
	status, title := http.StatusServiceUnavailable, "the request has not run"
	if outcome == crwire.OutcomeUnknown {
		status, title = http.StatusGatewayTimeout, "the request may or may not have run"
	}
	return newProblem(status, title, outcome, reason)
}

// NewRejection returns a problem answer for an invalid request.
func NewRejection(status int, reason string) Answer {
	return newProblem(status, http.StatusText(status), crwire.OutcomeNotrun, reason)
}

// newProblem builds a problem answer (RFC 9457).
func newProblem(status int, title string, outcome crwire.Outcome, reason string) Answer {
	body, _ := json.Marshal(crwire.Problem{
		Type: "about:blank", Title: title, Status: status, Outcome: outcome, Reason: reason,
	})
	h := http.Header{"Content-Type": {crwire.ProblemType}}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterSeconds)
	}
	return Answer{Status: status, Header: h, Body: body, Outcome: outcome, Reason: reason, Load: -1}
}

// Write writes the answer for a caller, without the internal headers except the
// outcome.
func (a Answer) Write(w http.ResponseWriter) {
	h := w.Header()
	removeUnforwardedHeaders(a.Header)
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(crwire.HeaderOutcome, a.Outcome.String())
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// WriteToPeer writes the answer for a balancer or an agent. The parameter id is
// the ID of the request.
func (a Answer) WriteToPeer(w http.ResponseWriter, id string) {
	h := w.Header()
	removeUnforwardedHeaders(a.Header)
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
