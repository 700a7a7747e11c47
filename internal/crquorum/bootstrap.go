package crquorum

// found asks the other initial instances to join a new group. Only the one
// with the lowest ID founds, and only when every initial instance has pledged
// that it holds nothing: an empty disk alone can't tell a first start from a
// lost disk.
func (n *Node) found() {
	adopted := n.hard.Cluster != 0 && n.hard.Cluster != n.Incarnation
	if !n.isFounder(n.ID) || adopted && n.leaderAlive() {
		return
	}
	if n.pledged() {
		n.start()
		return
	}
	for id := range n.InitialMembers {
		if id != n.ID {
			n.send(Message{Kind: KindHello, To: id})
		}
	}
}

// isFounder says whether an instance has the lowest initial ID.
func (n *Node) isFounder(id uint64) bool {
	_, ok := n.InitialMembers[id]
	for other := range n.InitialMembers {
		ok = ok && id <= other
	}
	return ok
}

// onHello pledges to join the sender's group alone, unless this instance hears
// a leader. An instance with a log answers with its own group instead.
func (n *Node) onHello(m Message) {
	heard := n.leader != 0 && n.leaderAlive()
	if n.blank() && (heard || !n.isFounder(m.From)) {
		return
	}
	group := m.Incarnation
	if m.Cluster != 0 {
		// The sender has learnt that there is a group already.
		group = m.Cluster
	}
	if n.blank() {
		n.choose(group)
	}
	n.send(Message{Kind: KindPledge, To: m.From, Index: n.log.last()})
}

// onPledge notes that an instance waits for this one's group, or that there is
// a group with a log, which this instance then waits for.
func (n *Node) onPledge(m Message) {
	if !n.blank() || !n.isFounder(n.ID) {
		return
	}
	if m.Index > 0 {
		delete(n.pledges, m.From)
		n.choose(m.Cluster)
		return
	}
	if m.Cluster != n.Incarnation {
		return
	}
	n.pledges[m.From] = m.Incarnation
	if n.pledged() {
		n.start()
	}
}

// pledged says that every other initial instance has pledged.
func (n *Node) pledged() bool {
	for id := range n.InitialMembers {
		if id != n.ID && n.pledges[id] == 0 {
			return false
		}
	}
	return true
}

// start writes the first configuration and stands for election; there can't
// be another leader.
func (n *Node) start() {
	c := Config{Members: map[uint64]Member{}}
	for id, addr := range n.InitialMembers {
		c.Members[id] = Member{Addr: addr, Incarnation: n.pledges[id]}
	}
	c.Members[n.ID] = Member{Addr: n.InitialMembers[n.ID], Incarnation: n.Incarnation}
	n.hard.Cluster = n.Incarnation
	n.follow(n.hard.Term+1, 0)
	n.add(EntryConfig, c.Encode())
	n.stand(true)
}
