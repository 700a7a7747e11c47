package crwire

// Status is what a control instance answers to GET /status.
type Status struct {
	// Name is the instance's name and ID its number.
	Name string `json:"name"`
	ID   uint64 `json:"id"`
	// Term is the term of the replicated log.
	Term uint64 `json:"term"`
	// Leader is the leader's ID, 0 when unknown, and Address its host:port.
	Leader        uint64 `json:"leader"`
	LeaderAddress string `json:"address"`
	// Leading says that this instance is the leader.
	Leading bool `json:"leading"`
	// Voting says that it votes with the disk that it has; false until a lost
	// disk is repaired.
	Voting bool `json:"voting"`
	// QuorumContact says that it has lately had contact with a quorum.
	QuorumContact bool `json:"fresh"`
	// CommitIndex is the index of its last committed entry.
	CommitIndex uint64 `json:"commit"`
	// Voters maps each voting instance to its host:port.
	Voters map[uint64]string `json:"voters"`
	// Members are all instances by ID.
	Members map[uint64]InstanceState `json:"members"`
	// Revision is the revision in force here.
	Revision uint64 `json:"rev"`
	// Followers are the daemons that poll the feed here.
	Followers []Follower `json:"followers"`
}

// InstanceState is a control instance as the replicated log lists it.
type InstanceState struct {
	// Address is its host:port.
	Address string `json:"address"`
	// Role is voter, joining or learner.
	Role string `json:"role"`
}

// Follower is a daemon that polls the feed.
type Follower struct {
	// Name is the daemon's name.
	Name string `json:"name"`
	// Revision is the revision that it has in force.
	Revision uint64 `json:"rev"`
	// AgeMillis is how long ago it polled, in milliseconds.
	AgeMillis int64 `json:"age"`
}
