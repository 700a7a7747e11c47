package crquorum

// Status is the state of a node.
type Status struct {
	// Term is the current term; Leader is its leader, 0 when unknown.
	Term, Leader uint64
	// Commit is the commit index, Applied the last applied entry, SnapshotIndex
	// the last entry in the snapshot, LastIndex the last entry in the log.
	Commit, Applied, SnapshotIndex, LastIndex uint64
	// Cluster is HardState.Cluster, 0 when unknown.
	Cluster uint64
	// Leading is set if this instance is the leader.
	Leading bool
	// Voting is set if this instance is a voter with its present disk in a
	// committed configuration.
	Voting bool
	// Config is the latest configuration, committed or not.
	Config Config
	// Accepted is the latest committed configuration, and AcceptedIndex the index of its
	// entry or of the snapshot that holds it: of two with different indexes the one with
	// the higher index isn't the earlier one. Both are empty before the first commit.
	Accepted      Config
	AcceptedIndex uint64
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	accepted := n.log.configAt(n.commit)
	return Status{
		Term: n.hardState.Term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		SnapshotIndex: n.log.snap.Index, LastIndex: n.log.last(),
		Cluster: n.hardState.Cluster, Leading: n.phase == phaseLeader,
		Voting: n.log.config().IsVoter(n.ID, n.Incarnation) && n.log.configIndex() <= n.commit,
		Config: n.log.config(), Accepted: accepted.config, AcceptedIndex: accepted.index,
	}
}

// Entries returns the entries in memory. It serves tests.
func (n *Node) Entries() []Entry { return n.log.between(n.log.base, n.log.last()) }

// EntryCount returns the number of entries in memory.
func (n *Node) EntryCount() uint64 { return n.log.last() - n.log.base }
