package crwire

// Admit asks control to let an instance take part in the replicated log:
// POST /admit.
type Admit struct {
	// ID is the instance's number, at least 1.
	ID uint64 `json:"id"`
	// Address is its host:port.
	Address string `json:"address"`
	// Forwarded says that an instance passed the request on to the one that it
	// takes for the leader, which doesn't pass it on again.
	Forwarded bool `json:"passed,omitempty"`
}

// AdmitResponse answers it.
type AdmitResponse struct {
	// Voting says that the instance has a vote.
	Voting bool `json:"voting"`
}

// StoredCatalog is the catalog as its operator wrote it: POST /catalog.
type StoredCatalog struct {
	// Version is 0 before the first catalog.
	Version uint64 `json:"version"`
	Source  []byte `json:"source"`
}
