package crwire

// Status is the response of a control instance to GET /status.
type Status struct {
	// Name is the name of the instance, and ID its number.
	Name string `json:"name"`
	ID   uint64 `json:"id"`
	// Term is the current term of the replicated log.
	Term uint64 `json:"term"`
	// Leader is the leader's ID, or 0 if unknown. LeaderAddress is its
	// host:port.
	Leader        uint64 `json:"leader"`
	LeaderAddress string `json:"address"`
	// Leading is true if this instance is the leader.
	Leading bool `json:"leading"`
	// Voting is true if the instance may vote with its current disk. After a
	// disk loss it is false until the instance has been promoted again.
	Voting bool `json:"voting"`
	// QuorumContact is true if the instance has recently been in contact with a
	// quorum: as leader directly, as follower through the leader.
	QuorumContact bool `json:"fresh"`
	// CommitIndex is the index of the last entry that the instance knows to be
	// committed.
	CommitIndex uint64 `json:"commit"`
	// Voters maps the ID of each voting instance to its host:port.
	Voters map[uint64]string `json:"voters"`
	// Members maps the ID of each instance to its state.
	Members map[uint64]InstanceState `json:"members"`
	// Revision is the current revision at this instance.
	Revision uint64 `json:"rev"`
	// Followers lists the daemons that poll this instance's feed.
	Followers []Follower `json:"followers"`
}

// InstanceState is the entry of a control instance in the replicated log's
// configuration.
type InstanceState struct {
	// Address is the instance's host:port.
	Address string `json:"address"`
	// Role is voter, joining or learner.
	Role string `json:"role"`
}

// Follower is a daemon that polls the feed.
type Follower struct {
	// Name is the daemon's name.
	Name string `json:"name"`
	// Revision is the current revision at the daemon.
	Revision uint64 `json:"rev"`
	// AgeMillis is the time since the daemon's last poll, in milliseconds.
	AgeMillis int64 `json:"age"`
}
