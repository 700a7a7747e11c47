package crfake

// Fault is a fault that a fake backend server injects.
type Fault int

const (
	// FaultNone responds after the service time.
	FaultNone Fault = iota
	// FaultShed rejects every request with status 503 and Retry-After.
	FaultShed
	// FaultFrozen accepts requests, but neither runs nor responds to them.
	FaultFrozen
	// FaultLate runs requests and delays responses by Switches.LateDelay.
	FaultLate
	// FaultCrossed responds with the ID of another request.
	FaultCrossed
	// FaultCut closes the connection in the middle of each response.
	FaultCut
	// FaultError responds with status 500 and runs nothing.
	FaultError
	// FaultReset closes the connection and runs nothing.
	FaultReset
)
