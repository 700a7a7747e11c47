package crquorum

// Step takes a message from another instance. A message that makes no sense
// is dropped; an error means that this instance must stop.
func (n *Node) Step(m Message) error {
	if m.To != n.ID || m.From == n.ID || m.Incarnation == 0 {
		return nil
	}
	n.ticks[m.From] = m.Tick
	switch m.Kind {
	case KindHello:
		n.onHello(m)
		return nil
	case KindPledge:
		n.onPledge(m)
		return nil
	}
	if !n.sameCluster(m) {
		return nil
	}
	if m.Term > n.hard.Term && !n.adopt(m) {
		return nil
	}
	if m.Term < n.hard.Term {
		n.answerStale(m)
		return nil
	}
	return n.dispatch(m)
}

// dispatch handles a message of the current term, or a probe.
func (n *Node) dispatch(m Message) error {
	switch m.Kind {
	case KindAppend:
		return n.onAppend(m)
	case KindSnapshot:
		n.onSnapshot(m)
	case KindAppended:
		n.onAppended(m)
	case KindProbe, KindVote:
		n.onVote(m)
	case KindProbed, KindVoted:
		n.onVoted(m)
	case KindTakeover:
		if n.phase == following && n.log.config().IsVoter(n.ID, n.Incarnation) {
			n.stand(true)
		}
	}
	return nil
}

// sameCluster says whether a message belongs to this instance's group. An
// instance without a log, which has acknowledged nothing, joins the group of a
// leader that has heard from it since it last chose a group; so a late message
// of a leader whose disk is lost can't take it back from the next founder.
func (n *Node) sameCluster(m Message) bool {
	fromLeader := m.Kind == KindAppend || m.Kind == KindSnapshot
	if !n.blank() || !fromLeader || m.Cluster == n.hard.Cluster {
		return m.Cluster == n.hard.Cluster && m.Cluster != 0
	}
	if m.Echo < n.chosen || m.Echo > n.now {
		n.send(Message{Kind: KindPledge, To: m.From})
		return false
	}
	n.choose(m.Cluster)
	return true
}

// choose joins a group.
func (n *Node) choose(cluster uint64) {
	if n.hard.Cluster != cluster {
		n.hard.Cluster, n.hardChanged = cluster, true
		n.chosen = n.now
	}
}

// adopt takes over a higher term; false when the message is to be dropped.
func (n *Node) adopt(m Message) bool {
	switch m.Kind {
	case KindProbe:
		return true
	case KindProbed:
		if !m.Reject {
			return true
		}
	case KindVote:
		if !m.Forced && n.leaderAlive() {
			return false
		}
	}
	leader := uint64(0)
	if m.Kind == KindAppend || m.Kind == KindSnapshot {
		leader = m.From
	}
	n.follow(m.Term, leader)
	return true
}

// answerStale tells the sender of an older term about the current one.
func (n *Node) answerStale(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		n.send(Message{Kind: KindAppended, To: m.From, Reject: true, Index: m.Index, Echo: m.Tick})
	case KindProbe:
		n.send(Message{Kind: KindProbed, To: m.From, Reject: true})
	}
}
