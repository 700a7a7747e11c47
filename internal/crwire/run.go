package crwire

// Headers of a run call: the HTTP request of a caller, handed from a
// balancer or an agent to an agent.
const (
	// HeaderService names the service.
	HeaderService = "Cr-Service"
	// HeaderID is the request's ID; the answer repeats it.
	HeaderID = "Cr-Id"
	// HeaderDeadline is the time that remains, in milliseconds.
	HeaderDeadline = "Cr-Deadline"
	// HeaderHops is how many agents have passed the request on.
	HeaderHops = "Cr-Hops"
	// HeaderOutcome is the outcome on an answer.
	HeaderOutcome = "Cr-Outcome"
	// HeaderLoad is the agent's load on an answer, in percent of its limit.
	HeaderLoad = "Cr-Load"
	// HeaderRevision is the sender's revision.
	HeaderRevision = "Cr-Revision"
	// HeaderReason says why a request was refused.
	HeaderReason = "Cr-Reason"
	// HeaderAgent names the agent that holds the caller's flow.
	HeaderAgent = "Cr-Agent"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// Problem is the body of a refusal (RFC 9457).
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

// ProblemType is the media type of a Problem.
const ProblemType = "application/problem+json"
