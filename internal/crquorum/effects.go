package crquorum

// maxApplyEntries limits the committed entries that one Take returns.
const maxApplyEntries = 4096

// Pending reports whether Take has any effects to return.
func (n *Node) Pending() bool {
	return len(n.beforeSync) > 0 || len(n.afterSync) > 0 || n.hardStateChanged || n.snapshotInstalled ||
		n.log.lastTaken < n.log.last() || n.applied < n.commit
}

// Take returns the pending effects and clears them. The driver must sync them
// and call Synced before it calls Step or Take again.
func (n *Node) Take() Effects {
	if n.phase == phaseLeader {
		n.broadcast(false)
	}
	e := Effects{BeforeSync: n.beforeSync, AfterSync: n.afterSync}
	n.beforeSync, n.afterSync = nil, nil
	if n.snapshotInstalled {
		snap := n.log.snap
		e.Snapshot = &snap
		n.snapshotInstalled, n.hardStateChanged = false, true
		n.applied = snap.Index
	}
	if n.hardState.Commit < n.commit {
		n.hardState.Commit, n.hardStateChanged = n.commit, true
	}
	if n.hardStateChanged {
		hard := n.hardState
		e.HardState = &hard
		n.hardStateChanged = false
	}
	last := n.log.last()
	e.Entries = n.log.between(n.log.lastTaken, last)
	n.log.lastTaken = last
	hi := min(n.commit, n.applied+maxApplyEntries)
	e.Committed = n.log.between(n.applied, hi)
	n.applied = hi
	n.pendingSync = syncTarget{term: n.hardState.Term, last: last, vote: n.phase == phaseCandidate}
	return e
}

// Synced reports that the effects returned by Take are on disk. The instance's
// own vote and its own copy of new entries count only from then on.
func (n *Node) Synced() {
	s := n.pendingSync
	if s.term != n.hardState.Term {
		return
	}
	switch {
	case n.phase == phaseCandidate && s.vote:
		n.recordVote(n.ID, n.Incarnation, true)
	case n.phase == phaseLeader:
		n.syncedIndex = max(n.syncedIndex, s.last)
		n.advanceCommit()
	}
}

// Compact replaces the applied entries by a snapshot whose data is the state
// after the last of them. It keeps the last keep entries for followers that are
// slightly behind. It returns the content of the new log file.
func (n *Node) Compact(data []byte, keep uint64) (HardState, Snapshot, []Entry) {
	n.log.compact(n.applied, data, keep)
	return n.hardState, n.log.snap, n.log.between(n.log.base, n.log.lastTaken)
}
