package crquorum

import "fmt"

// heard notes that the leader of the term is alive.
func (n *Node) heard(m Message) {
	if n.phase != following || n.leader != m.From {
		n.follow(m.Term, m.From)
	}
	n.contact = n.now
	n.resetDeadline()
}

// onAppend takes entries from the leader.
func (n *Node) onAppend(m Message) error {
	if n.phase == leading {
		return fmt.Errorf("two leaders in term %d: %d and %d", m.Term, n.ID, m.From)
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return nil
		}
	}
	n.heard(m)
	answer := Message{Kind: KindAppended, To: m.From, Index: m.Index, Echo: m.Tick}
	last := m.Index + uint64(len(m.Entries))
	switch term, ok := n.log.term(m.Index); {
	case last <= n.commit:
		answer.Index = last
	case m.Index < n.commit:
		skip := n.commit - m.Index
		m.Entries = m.Entries[skip:]
		return n.take(m, answer)
	case !ok || term != m.LogTerm:
		answer.Reject = true
		answer.Hint, answer.LogTerm = n.log.agree(m.Index, m.LogTerm)
	default:
		return n.take(m, answer)
	}
	n.prove(m)
	n.send(answer)
	return nil
}

// take appends the entries that the log doesn't hold yet.
func (n *Node) take(m Message, answer Message) error {
	for i, e := range m.Entries {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			if e.Index <= n.commit {
				return fmt.Errorf("entry %d of term %d contradicts a committed one of term %d", e.Index, e.Term, term)
			}
			n.log.truncate(e.Index)
		}
		if err := n.log.append(m.Entries[i:]); err != nil {
			return err
		}
		break
	}
	if len(m.Entries) > 0 {
		answer.Index = m.Entries[len(m.Entries)-1].Index
	}
	n.commit = max(n.commit, min(m.Commit, answer.Index))
	n.prove(m)
	n.send(answer)
	return nil
}

// onSnapshot replaces a log that is too far behind.
func (n *Node) onSnapshot(m Message) {
	if m.Snapshot == nil || n.phase == leading {
		return
	}
	n.heard(m)
	snap := *m.Snapshot
	answer := Message{Kind: KindAppended, To: m.From, Index: snap.Index, Echo: m.Tick}
	term, ok := n.log.term(snap.Index)
	switch {
	case snap.Index <= n.commit:
		answer.Index = n.commit
	case ok && term == snap.Term:
		// Entries after the snapshot may have been acknowledged: keep them.
		n.commit = snap.Index
	default:
		n.log.restore(snap)
		n.commit = snap.Index
		n.restored = true
	}
	n.send(answer)
}

// prove notes that this follower holds what is in force: the leader held its
// lease when it echoed a recent reading of this follower's clock.
func (n *Node) prove(m Message) {
	if m.LeaseValid && n.commit >= m.Commit && m.Echo <= n.now && m.Echo+n.lease() > n.now {
		n.proof = max(n.proof, m.Echo)
	}
}

// lease is how long a proof of contact holds, in ticks. It is shorter than
// the shortest election timeout, so that it ends before a rival can win.
func (n *Node) lease() uint64 { return n.ElectionTicks - n.ElectionTicks/4 }

// FreshUntil returns the tick until which this instance may say that it holds
// what is in force, 0 when it may not.
func (n *Node) FreshUntil() uint64 {
	switch {
	case n.phase == leading && n.handover == 0 && n.ownCommitted():
		return n.reached() + n.lease()
	case n.phase == following && n.proof > 0:
		return n.proof + n.lease()
	}
	return 0
}

// Now returns the clock in ticks.
func (n *Node) Now() uint64 { return n.now }
