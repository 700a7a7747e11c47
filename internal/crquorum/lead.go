package crquorum

// lead becomes the leader of the term.
func (n *Node) lead() {
	n.phase, n.leader, n.tally = leading, n.ID, nil
	n.peers = map[uint64]*progress{}
	n.synced, n.started, n.deadline = 0, n.now, n.now+n.HeartbeatTicks
	n.add(EntryNoop, nil)
	n.broadcast(true)
}

// add appends an entry of the current term.
func (n *Node) add(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	if err := n.log.append([]Entry{e}); err != nil {
		panic("crquorum: a leader's own entry always appends: " + err.Error())
	}
	n.trackPeers()
	return e.Index
}

// trackPeers keeps a progress for each other member.
func (n *Node) trackPeers() {
	if n.phase != leading {
		return
	}
	members := n.log.config().Members
	for id := range n.peers {
		if _, ok := members[id]; !ok {
			delete(n.peers, id)
		}
	}
	for id := range members {
		if id != n.ID && n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.last() + 1, probing: true}
		}
	}
}

// tickLeader sends heartbeats and steps down without a quorum.
func (n *Node) tickLeader() {
	silent := n.now-max(n.reached(), n.started) >= n.ElectionTicks
	late := n.handover != 0 && n.now-n.handover >= n.ElectionTicks
	if silent || late {
		n.follow(n.hard.Term, 0)
		return
	}
	if n.now < n.deadline {
		return
	}
	n.deadline = n.now + n.HeartbeatTicks
	for _, id := range n.log.config().IDs() {
		n.repair(id)
	}
	n.broadcast(true)
}

// advance commits what a quorum has synced, if it is of this term.
func (n *Node) advance() {
	index := n.log.config().quorum(func(id uint64, m Member) uint64 {
		if id == n.ID {
			return n.synced
		}
		if p := n.peers[id]; p != nil && p.life == m.Incarnation {
			return p.match
		}
		return 0
	})
	if term, ok := n.log.term(index); !ok || index <= n.commit || term != n.hard.Term {
		return
	}
	n.commit = index
	n.broadcast(true)
	if n.log.configIndex() <= n.commit && !n.log.config().IsVoter(n.ID, n.Incarnation) {
		n.follow(n.hard.Term, 0)
	}
}

// reached returns when a quorum last answered: the send time of the newest
// message that a majority has answered.
func (n *Node) reached() uint64 {
	return n.log.config().quorum(func(id uint64, m Member) uint64 {
		if id == n.ID {
			return n.now
		}
		if p := n.peers[id]; p != nil && p.life == m.Incarnation {
			return p.acked
		}
		return 0
	})
}

// ownCommitted says that this leader has committed an entry of its term, so
// that it knows all that was committed before.
func (n *Node) ownCommitted() bool {
	term, ok := n.log.term(n.commit)
	return ok && term == n.hard.Term
}
