package crwire

// Announce registers an agent or renews its lease: POST /announce.
type Announce struct {
	// Member describes the agent. Its Num is ignored.
	Member Member `json:"member"`
}

// AnnounceResponse is the response to Announce.
type AnnounceResponse struct {
	// Num is the agent's number. 0 means that membership is frozen; the agent
	// keeps its current number.
	Num uint32 `json:"num"`
	// LeaseMillis is the duration of the lease, in milliseconds.
	LeaseMillis int64 `json:"lease"`
	// Revision is the current revision at control.
	Revision uint64 `json:"rev"`
}
