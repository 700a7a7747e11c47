package crquorum

// Step handles a message from another instance. An invalid message is dropped.
// An error means that the log is inconsistent and this instance must stop.
func (n *Node) Step(m Message) error {
	if m.To != n.ID || m.From == n.ID || m.Incarnation == 0 {
		return nil
	}
	n.peerTicks[m.From] = m.Tick
	switch m.Kind {
	case KindHello:
		n.onHello(m)
		return nil
	case KindPledge:
		n.onPledge(m)
		return nil
	}
	if !n.acceptCluster(m) {
		return nil
	}
	if m.Term > n.hardState.Term && !n.adoptTerm(m) {
		return nil
	}
	if m.Term < n.hardState.Term {
		n.rejectStale(m)
		return nil
	}
	return n.dispatch(m)
}

// dispatch handles a message of the current term, or a pre-vote message of a
// later one.
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
		if n.phase == phaseFollower && n.log.config().IsVoter(n.ID, n.Incarnation) {
			n.startElection(true)
		}
	}
	return nil
}

// acceptCluster reports whether a message is from this instance's cluster.
//
// An instance with an empty log has acknowledged no entries, so it joins the
// cluster of any leader that has received a message from it since it last
// joined a cluster. Without that condition a delayed message, sent by a leader
// before the leader lost its disk, could make this instance leave the cluster
// that is being bootstrapped.
func (n *Node) acceptCluster(m Message) bool {
	fromLeader := m.Kind == KindAppend || m.Kind == KindSnapshot
	if !n.isLogEmpty() || !fromLeader || m.Cluster == n.hardState.Cluster {
		return m.Cluster == n.hardState.Cluster && m.Cluster != 0
	}
	if !n.isEchoSinceJoin(m.Echo) {
		// The response gives the leader a current tick to echo.
		n.send(Message{Kind: KindPledge, To: m.From})
		return false
	}
	n.joinCluster(m.Cluster)
	return true
}

// isEchoSinceJoin reports whether an echo proves that its sender has heard from this
// instance since it last joined a cluster.
func (n *Node) isEchoSinceJoin(echo uint64) bool { return echo >= n.clusterJoinedAt && echo <= n.now }

// joinCluster makes this instance a part of a cluster. Its log must be empty.
func (n *Node) joinCluster(cluster uint64) {
	if n.hardState.Cluster != cluster {
		n.hardState.Cluster, n.hardStateChanged = cluster, true
		n.clusterJoinedAt = n.now
	}
}

// adoptTerm handles the higher term of a message; it returns false if the
// message must be dropped. Pre-vote requests and grants don't change the term.
func (n *Node) adoptTerm(m Message) bool {
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
	n.becomeFollower(m.Term, leader)
	return true
}

// rejectStale rejects a request of an older term. The response carries the
// current term.
func (n *Node) rejectStale(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		n.send(Message{Kind: KindAppended, To: m.From, Reject: true, Index: m.Index, Echo: m.Tick})
	case KindProbe:
		n.send(Message{Kind: KindProbed, To: m.From, Reject: true})
	}
}
