package cradmit

// Result is the outcome of a started request.
type Result int

const (
	// ResultDone is a complete answer.
	ResultDone Result = iota
	// ResultShed is a rejection by the overloaded backend server.
	ResultShed
	// ResultTimeout is a request without an answer before its deadline.
	ResultTimeout
	// ResultUnreachable is a connection that could not be opened.
	ResultUnreachable
	// ResultBroken is a connection that failed or an answer that was cut
	// short or invalid.
	ResultBroken
	// ResultError is a complete answer with an error status of the backend
	// server. A single request may cause it; many in a row indicate that the
	// server is failing.
	ResultError
	// ResultCancelled is a request that the agent cancelled. It carries no
	// information about the backend server.
	ResultCancelled
)

// failed reports whether the result indicates a failing or overloaded
// backend server.
func (r Result) failed() bool { return r != ResultDone && r != ResultCancelled }

// Reason is why a request was refused before it ran.
type Reason int

const (
	// ReasonClass means that the service document has no such class.
	ReasonClass Reason = iota
	// ReasonDeadline means that the deadline can't be met.
	ReasonDeadline
	// ReasonFull means that the queue of the class is full.
	ReasonFull
	// ReasonEjected means that the backend server is failing.
	ReasonEjected
	// ReasonStalled means that the backend server has stopped answering.
	ReasonStalled
)
