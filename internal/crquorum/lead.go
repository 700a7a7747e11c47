package crquorum

// becomeLeader makes this instance the leader of the term.
func (n *Node) becomeLeader() {
	n.phase, n.leader, n.votes = phaseLeader, n.ID, nil
	n.peers = map[uint64]*progress{}
	n.syncedIndex, n.leaderSince, n.deadline = 0, n.now, n.now+n.HeartbeatTicks
	n.appendEntry(EntryNoop, nil)
	n.broadcast(true)
}

// appendEntry appends an entry of the current term and returns its index.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	if err := n.log.append([]Entry{e}); err != nil {
		panic("crquorum: append the leader's own entry: " + err.Error())
	}
	n.trackPeers()
	return e.Index
}

// trackPeers adds and removes progress records so that there is one for each
// other member.
func (n *Node) trackPeers() {
	if n.phase != phaseLeader {
		return
	}
	members := n.log.config().Members
	addedNow := n.log.configIndex() == n.log.last()
	for id := range n.peers {
		if _, ok := members[id]; !ok {
			delete(n.peers, id)
		}
	}
	for id := range members {
		if id != n.ID && n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.last() + 1, probing: true, trackedSince: n.now, answered: addedNow}
		}
	}
}

// tickLeader sends heartbeats. It steps down when there was no contact with a
// quorum, or a leadership transfer has not completed, within the minimum
// election timeout.
func (n *Node) tickLeader() {
	quorumLost := n.now-max(n.lastQuorumContact(), n.leaderSince) >= n.ElectionTicks
	transferTimedOut := n.transferStartedAt != 0 && n.now-n.transferStartedAt >= n.ElectionTicks
	if quorumLost || transferTimedOut {
		n.becomeFollower(n.hardState.Term, 0)
		return
	}
	if n.now < n.deadline {
		return
	}
	n.deadline = n.now + n.HeartbeatTicks
	for _, id := range n.log.config().IDs() {
		n.adjustRole(id)
	}
	n.broadcast(true)
}

// advanceCommit raises the commit index to the last entry that a quorum has
// synced, if that entry is of the current term. A leader that has removed itself
// steps down.
func (n *Node) advanceCommit() {
	index := n.log.config().quorum(func(id uint64, m Member) uint64 {
		if id == n.ID {
			return n.syncedIndex
		}
		if p := n.peers[id]; p != nil && p.incarnation == m.Incarnation {
			return p.match
		}
		return 0
	})
	if term, ok := n.log.term(index); !ok || index <= n.commit || term != n.hardState.Term {
		return
	}
	n.commit = index
	n.broadcast(true)
	if n.log.configIndex() <= n.commit && !n.log.config().IsVoter(n.ID, n.Incarnation) {
		n.becomeFollower(n.hardState.Term, 0)
	}
}

// RecordedCommit returns the last entry that the disks of a quorum record as committed, as
// far as this leader knows. Any quorum then has an instance that knows after a restart
// that the entry is committed. It returns 0 if this instance isn't the leader.
func (n *Node) RecordedCommit() uint64 {
	if n.phase != phaseLeader {
		return 0
	}
	return n.log.config().quorum(func(id uint64, m Member) uint64 {
		if id == n.ID {
			return n.hardState.Commit
		}
		if p := n.peers[id]; p != nil && p.incarnation == m.Incarnation {
			return p.recorded
		}
		return 0
	})
}

// lastQuorumContact returns the send time of the newest message that a majority
// has responded to.
func (n *Node) lastQuorumContact() uint64 {
	return n.log.config().quorum(func(id uint64, m Member) uint64 {
		if id == n.ID {
			return n.now
		}
		if p := n.peers[id]; p != nil && p.incarnation == m.Incarnation {
			return p.lastAckedAt
		}
		return 0
	})
}

// hasCommittedInTerm reports whether this leader has committed an entry of its
// term. Only then does it know all entries committed in earlier terms.
func (n *Node) hasCommittedInTerm() bool {
	term, ok := n.log.term(n.commit)
	return ok && term == n.hardState.Term
}
