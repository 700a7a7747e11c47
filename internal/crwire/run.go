package crwire

// Headers of a run call, which forwards a caller's HTTP request from a balancer
// or an agent to an agent.
const (
	// HeaderService is the name of the service.
	HeaderService = "Cr-Service"
	// HeaderID is the ID of the request, which the answer repeats.
	HeaderID = "Cr-Id"
	// HeaderDeadline is the time remaining until the deadline, in milliseconds.
	HeaderDeadline = "Cr-Deadline"
	// HeaderHops is the number of agents that have forwarded the request.
	HeaderHops = "Cr-Hops"
	// HeaderOutcome is the outcome of the request, on an answer.
	HeaderOutcome = "Cr-Outcome"
	// HeaderLoad is the agent's load in percent of its limit, on an answer.
	HeaderLoad = "Cr-Load"
	// HeaderRevision is the sender's revision.
	HeaderRevision = "Cr-Revision"
	// HeaderReason is the reason why a request was rejected.
	HeaderReason = "Cr-Reason"
	// HeaderAgent is the name of the agent that owns the caller's flow.
	HeaderAgent = "Cr-Agent"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

// ProblemType is the media type of a Problem.
const ProblemType = "application/problem+json"
