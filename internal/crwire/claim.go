package crwire

// Outcome is what is known about a request.
type Outcome int

const (
	// OutcomeUnknown says that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone says that it ran and its answer is whole.
	OutcomeDone
	// OutcomeNotrun says that it has not run and will not.
	OutcomeNotrun
)

// Verdict is how control answered a claim.
type Verdict int

const (
	// VerdictUnavailable says that no quorum answered, that the service has
	// no room for another key, or that the attempt gave the key back; nothing
	// may run.
	VerdictUnavailable Verdict = iota
	// VerdictGranted lets the claimant run the request once.
	VerdictGranted
	// VerdictRecorded returns the recorded outcome.
	VerdictRecorded
	// VerdictHeld says that another attempt holds the claim and has
	// recorded no outcome yet.
	VerdictHeld
	// VerdictMismatch says that the key was used for another request.
	VerdictMismatch
)

// Claim asks for the right to run a keyed request: POST /claim.
type Claim struct {
	Service string `json:"service"`
	// Key is the caller's Idempotency-Key.
	Key string `json:"key"`
	// Digest is a hash of method, path and body.
	Digest string `json:"digest"`
	// Attempt identifies the claimant's try. Unique; the same attempt asked
	// again gets the same verdict.
	Attempt string `json:"attempt"`
}

// ClaimResponse answers a claim.
type ClaimResponse struct {
	Verdict Verdict `json:"verdict"`
	// Record is the recorded outcome of VerdictRecorded.
	Record *Record `json:"record,omitempty"`
}

// Settle records the outcome of a claimed request: POST /settle. An
// OutcomeNotrun frees the key.
type Settle struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	Record  Record `json:"record"`
}

// Record is an outcome that is kept for its key.
type Record struct {
	Outcome Outcome `json:"outcome"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// Type is the answer's content type.
	Type string `json:"type,omitempty"`
	// Body is the answer, when it fits RecordMax.
	Body []byte `json:"body,omitempty"`
}

// RecordMax is the largest answer that is recorded, in bytes.
const RecordMax = 4096
