package crwire

// Announce renews an agent's lease: POST /announce.
type Announce struct {
	// Member describes the agent; Num is ignored.
	Member Member `json:"member"`
}

// AnnounceResponse answers an announcement.
type AnnounceResponse struct {
	// Num is the agent's number; 0 means that membership is frozen and the
	// agent keeps what it has.
	Num uint32 `json:"num"`
	// LeaseMillis is how long the agent stays a member, in milliseconds.
	LeaseMillis int64 `json:"lease"`
	// Revision is the revision in force at control.
	Revision uint64 `json:"rev"`
}
