package crfake

// Fault is how a fake backend server misbehaves.
type Fault int

const (
	// FaultNone answers in time.
	FaultNone Fault = iota
	// FaultShed refuses every request with 503 and Retry-After.
	FaultShed
	// FaultFrozen takes requests, runs none and answers none.
	FaultFrozen
	// FaultLate runs requests and answers after Switches.LateDelay.
	FaultLate
	// FaultCrossed answers with the ID of another request.
	FaultCrossed
	// FaultCut ends each answer in the middle.
	FaultCut
	// FaultError runs nothing and answers 500.
	FaultError
	// FaultReset runs nothing and closes the connection.
	FaultReset
)
