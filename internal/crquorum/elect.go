package crquorum

// probe asks whether an election could be won, without touching the term.
func (n *Node) probe() {
	n.phase, n.leader = probing, 0
	n.tally = map[uint64]bool{}
	n.ask(Message{Kind: KindProbe, Term: n.hard.Term + 1})
	n.count(n.ID, n.Incarnation, true)
}

// stand starts an election; forced ones are allowed by a leader that leaves.
func (n *Node) stand(forced bool) {
	n.follow(n.hard.Term+1, 0)
	n.phase = standing
	n.hard.Vote = n.ID
	n.tally = map[uint64]bool{}
	n.ask(Message{Kind: KindVote, Forced: forced})
}

// ask sends a request for votes to the other voters.
func (n *Node) ask(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, id := range n.log.config().IDs() {
		if id != n.ID && n.log.config().Members[id].Role == RoleVoter {
			m.To = id
			n.send(m)
		}
	}
}

// onVote answers a probe or a request for a vote.
func (n *Node) onVote(m Message) {
	upToDate := m.LogTerm > n.log.lastTerm() || m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last()
	grant := upToDate && n.hard.Cluster != 0
	if m.Kind == KindProbe {
		grant = grant && m.Term > n.hard.Term && !n.leaderAlive()
		answer := Message{Kind: KindProbed, To: m.From, Reject: !grant}
		if grant {
			answer.Term = m.Term
		}
		n.send(answer)
		return
	}
	grant = grant && (n.hard.Vote == 0 || n.hard.Vote == m.From)
	if grant && n.hard.Vote == 0 {
		n.hard.Vote = m.From
		n.hardChanged = true
		n.resetDeadline()
	}
	n.send(Message{Kind: KindVoted, To: m.From, Reject: !grant})
}

// onVoted counts an answer to a probe or to a request for a vote.
func (n *Node) onVoted(m Message) {
	probed := m.Kind == KindProbed && n.phase == probing && (m.Reject || m.Term == n.hard.Term+1)
	voted := m.Kind == KindVoted && n.phase == standing && m.Term == n.hard.Term
	if probed || voted {
		n.count(m.From, m.Incarnation, !m.Reject)
	}
}

// count adds a vote if the voter's disk is the one in the configuration.
func (n *Node) count(id, life uint64, granted bool) {
	config := n.log.config()
	if !config.IsVoter(id, life) {
		return
	}
	n.tally[id] = granted
	won := config.quorum(func(id uint64, _ Member) uint64 {
		if n.tally[id] {
			return 1
		}
		return 0
	})
	switch {
	case won == 0:
	case n.phase == probing:
		n.stand(false)
	case n.phase == standing:
		n.lead()
	}
}

// leaderAlive says that a leader was heard within the shortest election
// timeout, or that this instance is one. After a start an instance waits that
// long too, because it may have forgotten a leader that relies on it.
func (n *Node) leaderAlive() bool {
	return n.phase == leading || n.now-n.contact < n.ElectionTicks
}
