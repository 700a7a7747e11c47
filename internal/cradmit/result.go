package cradmit

// Result is how a request that was started came back.
type Result int

const (
	// ResultDone is a whole answer.
	ResultDone Result = iota
	// ResultShed is a refusal by the backend server because of its load.
	ResultShed
	// ResultTimeout is no answer before the deadline.
	ResultTimeout
	// ResultUnreachable is a connection that didn't open.
	ResultUnreachable
	// ResultBroken is a connection or answer that broke.
	ResultBroken
	// ResultError is a whole answer that says the backend server failed. One
	// request may be at fault; many in a row are the server's.
	ResultError
	// ResultCancelled is a request that was given up on this side; it says
	// nothing about the backend server.
	ResultCancelled
)

// failed tells whether the result speaks against the backend server.
func (r Result) failed() bool { return r != ResultDone && r != ResultCancelled }

// Reason is why a request was refused without having run.
type Reason int

const (
	// ReasonClass says that the document has no such class.
	ReasonClass Reason = iota
	// ReasonDeadline says that the deadline can't be met.
	ReasonDeadline
	// ReasonFull says that the class's queue is full.
	ReasonFull
	// ReasonEjected says that the backend server is failing.
	ReasonEjected
	// ReasonStalled says that the backend server has stopped answering.
	ReasonStalled
)
