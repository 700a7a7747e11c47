package crwire

// Admit is a request to control to admit an instance to the replicated log:
// POST /admit.
type Admit struct {
	// ID is the instance's number, at least 1.
	ID uint64 `json:"id"`
	// Address is the instance's host:port.
	Address string `json:"address"`
	// Forwarded is true if another instance forwarded the request to the one
	// that it considers the leader. A forwarded request is not forwarded again.
	Forwarded bool `json:"passed,omitempty"`
}

// AdmitResponse is the response to Admit.
type AdmitResponse struct {
	// Voting is true if the instance has a vote.
	Voting bool `json:"voting"`
}

// StoredCatalog is the response to POST /catalog: the catalog in the text that
// the operator submitted.
type StoredCatalog struct {
	// Version is 0 if no catalog has been applied.
	Version uint64 `json:"version"`
	Source  []byte `json:"source"`
}
