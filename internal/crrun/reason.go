package crrun

// Reasons of answers that do not come from a backend server.
const (
	// ReasonRequest means that the request is invalid and cannot be sent.
	ReasonRequest = "request"
	// ReasonUnreachable means that no connection could be opened.
	ReasonUnreachable = "unreachable"
	// ReasonShed means that the backend server rejected the request due to its
	// load.
	ReasonShed = "shed"
	// ReasonTimeout means that no answer arrived before the deadline.
	ReasonTimeout = "timeout"
	// ReasonCancelled means that the request was cancelled.
	ReasonCancelled = "cancelled"
	// ReasonBroken means that the connection failed after it was opened.
	ReasonBroken = "broken"
	// ReasonTruncated means that the answer is incomplete.
	ReasonTruncated = "truncated"
	// ReasonCrossed means that the answer belongs to another request.
	ReasonCrossed = "crossed"
	// ReasonOutcome means that an agent's answer has no valid outcome.
	ReasonOutcome = "outcome"
)
