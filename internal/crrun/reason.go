package crrun

// Reasons of answers that are not a backend server's own.
const (
	// ReasonRequest says that the request can't be sent as it is.
	ReasonRequest = "request"
	// ReasonUnreachable says that no connection opened.
	ReasonUnreachable = "unreachable"
	// ReasonShed says that the backend server refused because of its load.
	ReasonShed = "shed"
	// ReasonTimeout says that no answer came before the deadline.
	ReasonTimeout = "timeout"
	// ReasonCancelled says that the request was given up.
	ReasonCancelled = "cancelled"
	// ReasonBroken says that the connection broke.
	ReasonBroken = "broken"
	// ReasonTruncated says that the answer ended early.
	ReasonTruncated = "truncated"
	// ReasonCrossed says that the answer belongs to another request.
	ReasonCrossed = "crossed"
	// ReasonOutcome says that an agent's answer carries no outcome.
	ReasonOutcome = "outcome"
)
