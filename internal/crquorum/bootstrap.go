package crquorum

import (
	"maps"
	"slices"
)

// tryBootstrap asks the other initial instances to join a new cluster, or
// bootstraps it if all of them have pledged. Only the instance with the lowest
// ID does so. The pledges confirm that the other logs are empty: without them, an
// empty disk could be either a first start or a disk loss.
func (n *Node) tryBootstrap() {
	joinedOther := n.hardState.Cluster != 0 && n.hardState.Cluster != n.Incarnation
	if !n.isBootstrapper(n.ID) || joinedOther && n.leaderAlive() {
		return
	}
	if n.allPledged() {
		n.bootstrap()
		return
	}
	n.sendHellos()
}

// sendHellos asks the other initial instances to join this instance's cluster.
func (n *Node) sendHellos() {
	for _, id := range slices.Sorted(maps.Keys(n.InitialMembers)) {
		if id != n.ID {
			n.send(Message{Kind: KindHello, To: id, Echo: n.peerTicks[id]})
		}
	}
}

// isUncommittedBootstrap reports whether the log holds nothing but the first
// configuration of a cluster that this instance has bootstrapped, and no quorum has
// confirmed it.
func (n *Node) isUncommittedBootstrap() bool {
	return n.log.last() == 1 && n.commit == 0 && n.phase != phaseLeader &&
		n.hardState.Cluster == n.Incarnation && n.isBootstrapper(n.ID)
}

// isBootstrapper reports whether an instance has the lowest ID of the initial
// instances.
func (n *Node) isBootstrapper(id uint64) bool {
	_, ok := n.InitialMembers[id]
	for other := range n.InitialMembers {
		ok = ok && id <= other
	}
	return ok
}

// onHello handles a request to join the sender's cluster. An instance with a log
// responds with its own cluster. An instance with an empty log pledges to join
// only the sender's cluster. This replaces a pledge for another cluster only if the
// sender has heard from this instance since: a delayed request, sent before the sender
// lost its disk, must not. An instance with an empty log ignores the request if it has
// a leader or if the sender isn't the instance that may bootstrap a cluster.
func (n *Node) onHello(m Message) {
	hasLeader := n.leader != 0 && n.leaderAlive()
	if n.isLogEmpty() && (hasLeader || !n.isBootstrapper(m.From)) {
		return
	}
	cluster := m.Incarnation
	if m.Cluster != 0 {
		// The sender already knows of an existing cluster.
		cluster = m.Cluster
	}
	other := n.hardState.Cluster != 0 && n.hardState.Cluster != cluster
	if n.isLogEmpty() && (!other || n.isEchoSinceJoin(m.Echo)) {
		n.joinCluster(cluster)
	}
	n.send(Message{Kind: KindPledge, To: m.From, Index: n.log.last(), Echo: m.Tick})
}

// onPledge records that the sender has pledged to join this instance's cluster.
// If the sender has a log, its cluster exists already, and this instance joins
// that cluster.
func (n *Node) onPledge(m Message) {
	if !n.isBootstrapper(n.ID) || !n.isLogEmpty() && !n.isUncommittedBootstrap() {
		return
	}
	if m.Index > 0 {
		delete(n.pledges, m.From)
		if n.isLogEmpty() {
			n.joinCluster(m.Cluster)
		}
		return
	}
	if m.Cluster != n.Incarnation || m.Echo < n.bootstrappedAt {
		return
	}
	n.pledges[m.From] = m.Incarnation
	if n.allPledged() && n.hasNewPledge() {
		n.bootstrap()
	}
}

// hasNewPledge reports whether the first configuration doesn't name all disks that have
// pledged. An instance may lose its disk after its pledge was sent. If all other logs
// are still empty, nothing depends on that configuration, and it may be replaced.
func (n *Node) hasNewPledge() bool {
	for id, incarnation := range n.pledges {
		if n.log.config().Members[id].Incarnation != incarnation {
			return true
		}
	}
	return false
}

// allPledged reports whether every other initial instance has pledged.
func (n *Node) allPledged() bool {
	for id := range n.InitialMembers {
		if id != n.ID && n.pledges[id] == 0 {
			return false
		}
	}
	return true
}

// bootstrap appends the first configuration, in place of an uncommitted one, and starts
// a forced election. Forcing it is safe because the cluster can't have another leader.
func (n *Node) bootstrap() {
	if !n.isLogEmpty() {
		n.log.truncate(1)
	}
	c := Config{Members: map[uint64]Member{}}
	for id, addr := range n.InitialMembers {
		c.Members[id] = Member{Addr: addr, Incarnation: n.pledges[id]}
	}
	c.Members[n.ID] = Member{Addr: n.InitialMembers[n.ID], Incarnation: n.Incarnation}
	n.pledges, n.bootstrappedAt = map[uint64]uint64{}, n.now
	n.hardState.Cluster = n.Incarnation
	n.becomeFollower(n.hardState.Term+1, 0)
	n.appendEntry(EntryConfig, c.Encode())
	n.startElection(true)
}
