package crwire

// Outcome is what is known about the execution of a request.
type Outcome int

const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the request ran and its answer is complete.
	OutcomeDone
	// OutcomeNotrun means that the request has not run and will not run.
	OutcomeNotrun
)

// Verdict is the decision of control on a claim.
type Verdict int

const (
	// VerdictUnavailable means that no quorum answered, that the service's
	// storage for keys is full, or that the attempt has already released the
	// key. The request must not run.
	VerdictUnavailable Verdict = iota
	// VerdictGranted allows the claimant to run the request once.
	VerdictGranted
	// VerdictRecorded means that the outcome is already recorded; the response
	// contains it.
	VerdictRecorded
	// VerdictHeld means that another attempt holds the claim and has not
	// recorded an outcome yet.
	VerdictHeld
	// VerdictMismatch means that the key was used for a different request.
	VerdictMismatch
)

// Claim requests the right to run a keyed request: POST /claim.
type Claim struct {
	Service string `json:"service"`
	// Key is the caller's Idempotency-Key.
	Key string `json:"key"`
	// Digest is a hash of the method, path and body.
	Digest string `json:"digest"`
	// Attempt uniquely identifies the claimant's attempt. A claim that is
	// repeated with the same attempt gets the same verdict.
	Attempt string `json:"attempt"`
}

// ClaimResponse is the response to a claim.
type ClaimResponse struct {
	Verdict Verdict `json:"verdict"`
	// Record is the recorded outcome, for VerdictRecorded.
	Record *Record `json:"record,omitempty"`
}

// Settle records the outcome of a claimed request: POST /settle. OutcomeNotrun
// releases the key.
type Settle struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	Record  Record `json:"record"`
}

// Record is the outcome of a keyed request, stored under its key.
type Record struct {
	Outcome Outcome `json:"outcome"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// Type is the content type of the answer.
	Type string `json:"type,omitempty"`
	// Body is the body of the answer, at most RecordMax bytes.
	Body []byte `json:"body,omitempty"`
}

// RecordMax is the maximum size of a recorded answer's body, in bytes.
const RecordMax = 4096
