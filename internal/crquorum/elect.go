package crquorum

// startPreVote asks the voters whether they would vote for this instance. It
// doesn't change the term.
func (n *Node) startPreVote() {
	n.phase, n.leader = phasePreCandidate, 0
	n.votes = map[uint64]bool{}
	n.requestVotes(Message{Kind: KindProbe, Term: n.hardState.Term + 1})
	n.recordVote(n.ID, n.Incarnation, true)
}

// startElection makes this instance a candidate in a new term. If forced is
// set, instances vote even if they have a leader.
func (n *Node) startElection(forced bool) {
	n.becomeFollower(n.hardState.Term+1, 0)
	n.phase = phaseCandidate
	n.hardState.Vote = n.ID
	n.votes = map[uint64]bool{}
	n.requestVotes(Message{Kind: KindVote, Forced: forced})
}

// requestVotes sends a vote or pre-vote request to the other voters.
func (n *Node) requestVotes(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, id := range n.log.config().IDs() {
		if id != n.ID && n.log.config().Members[id].Role == RoleVoter {
			m.To = id
			n.send(m)
		}
	}
}

// onVote handles a vote or pre-vote request.
func (n *Node) onVote(m Message) {
	upToDate := m.LogTerm > n.log.lastTerm() || m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last()
	grant := upToDate && n.hardState.Cluster != 0
	if m.Kind == KindProbe {
		grant = grant && m.Term > n.hardState.Term && !n.leaderAlive()
		resp := Message{Kind: KindProbed, To: m.From, Reject: !grant}
		if grant {
			resp.Term = m.Term
		}
		n.send(resp)
		return
	}
	grant = grant && (n.hardState.Vote == 0 || n.hardState.Vote == m.From)
	if grant && n.hardState.Vote == 0 {
		n.hardState.Vote = m.From
		n.hardStateChanged = true
		n.resetDeadline()
	}
	n.send(Message{Kind: KindVoted, To: m.From, Reject: !grant})
}

// onVoted handles the response to a vote or pre-vote request.
func (n *Node) onVoted(m Message) {
	probed := m.Kind == KindProbed && n.phase == phasePreCandidate && (m.Reject || m.Term == n.hardState.Term+1)
	voted := m.Kind == KindVoted && n.phase == phaseCandidate && m.Term == n.hardState.Term
	if probed || voted {
		n.recordVote(m.From, m.Incarnation, !m.Reject)
	}
}

// recordVote records a vote, if the voter's disk is the one in the
// configuration, and moves to the next phase on a majority.
func (n *Node) recordVote(id, incarnation uint64, granted bool) {
	config := n.log.config()
	if !config.IsVoter(id, incarnation) {
		return
	}
	n.votes[id] = granted
	won := config.quorum(func(id uint64, _ Member) uint64 {
		if n.votes[id] {
			return 1
		}
		return 0
	})
	switch {
	case won == 0:
	case n.phase == phasePreCandidate:
		n.startElection(false)
	case n.phase == phaseCandidate:
		n.becomeLeader()
	}
}

// leaderAlive reports whether this instance is the leader or has received a
// message from the leader within the minimum election timeout. It also returns
// true for that long after a start: before the restart this instance may have
// acknowledged a leader whose lease still depends on that acknowledgement.
func (n *Node) leaderAlive() bool {
	return n.phase == phaseLeader || n.now-n.lastLeaderContact < n.ElectionTicks
}
