package crwire

// Admit is a request to control to admit an instance to the replicated log:
// POST /admit.
type Admit struct {
	// ID is the instance's number, at least 1.
	ID uint64 `json:"id"`
	// Address is the instance's host:port.
	Address string `json:"address"`
	// Zone is the instance's availability zone, empty if unknown.
	Zone string `json:"zone,omitempty"`
	// Forwarded is true if another instance forwarded the request to the one
	// that it considers the leader. A forwarded request is not forwarded again.
	Forwarded bool `json:"passed,omitempty"`
}

// AdmitResponse is the response to Admit.
type AdmitResponse struct {
	// Voting is true if the instance has a vote.
	Voting bool `json:"voting"`
}

// Resign is a request to the leader to take the vote from an instance that is about to
// stop: POST /leader/resignations.
type Resign struct {
	// ID is the instance's number.
	ID uint64 `json:"id"`
}

// ResignResponse is the response to Resign.
type ResignResponse struct {
	// Voting is true if the instance still has a vote.
	Voting bool `json:"voting"`
	// Needed is true if the other instances don't suffice for the stated loss of disks.
	// The instance keeps its vote then.
	Needed bool `json:"needed"`
}

// StoredCatalog is the response to POST /catalog: the catalog in the text that
// the operator submitted.
type StoredCatalog struct {
	// Version is 0 if no catalog has been applied.
	Version uint64 `json:"version"`
	Source  []byte `json:"source"`
}
