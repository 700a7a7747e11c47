package crquorum

// Status is what an instance knows of itself.
type Status struct {
	// Term is the current term; Leader is its leader, 0 when unknown.
	Term, Leader uint64
	// Commit, Applied and SnapshotIndex are indexes; LastIndex is the end of the log.
	Commit, Applied, SnapshotIndex, LastIndex uint64
	// Cluster is the group, 0 when unknown.
	Cluster uint64
	// Leading says that this instance is the leader.
	Leading bool
	// Voting says that this instance has a vote with the disk that it has, by
	// a configuration that is committed.
	Voting bool
	// Config is the latest configuration, committed or not.
	Config Config
}

// Status returns what the instance knows of itself.
func (n *Node) Status() Status {
	return Status{
		Term: n.hard.Term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		SnapshotIndex: n.log.snap.Index, LastIndex: n.log.last(),
		Cluster: n.hard.Cluster, Leading: n.phase == leading,
		Voting: n.log.config().IsVoter(n.ID, n.Incarnation) && n.log.configIndex() <= n.commit,
		Config: n.log.config(),
	}
}

// Entries returns the entries in memory, for checks.
func (n *Node) Entries() []Entry { return n.log.between(n.log.base, n.log.last()) }

// EntryCount returns how many entries are in memory.
func (n *Node) EntryCount() uint64 { return n.log.last() - n.log.base }
