package crquorum

import "fmt"

// recordLeaderContact makes the sender the leader of the term and restarts the
// election timeout.
func (n *Node) recordLeaderContact(m Message) {
	if n.phase != phaseFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.lastLeaderContact = n.now
	n.resetDeadline()
}

// onAppend handles an append or heartbeat from the leader.
func (n *Node) onAppend(m Message) error {
	if n.phase == phaseLeader {
		return fmt.Errorf("two leaders in term %d: %d and %d", m.Term, n.ID, m.From)
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return nil
		}
	}
	n.recordLeaderContact(m)
	resp := Message{Kind: KindAppended, To: m.From, Index: m.Index, Echo: m.Tick}
	last := m.Index + uint64(len(m.Entries))
	switch term, ok := n.log.term(m.Index); {
	case last <= n.commit:
		resp.Index = last
	case m.Index < n.commit:
		skip := n.commit - m.Index
		m.Entries = m.Entries[skip:]
		return n.appendNewEntries(m, resp)
	case !ok || term != m.LogTerm:
		resp.Reject = true
		resp.Hint, resp.LogTerm = n.log.findConflictByTerm(m.Index, m.LogTerm)
	default:
		return n.appendNewEntries(m, resp)
	}
	n.recordUpToDate(m)
	n.sendAppended(resp)
	return nil
}

// appendNewEntries appends the entries of m that the log doesn't have yet,
// removes conflicting ones, and sends the response.
func (n *Node) appendNewEntries(m Message, resp Message) error {
	for i, e := range m.Entries {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			if e.Index <= n.commit {
				return fmt.Errorf("entry %d of term %d conflicts with the committed entry of term %d", e.Index, e.Term, term)
			}
			n.log.truncate(e.Index)
		}
		if err := n.log.append(m.Entries[i:]); err != nil {
			return err
		}
		break
	}
	if len(m.Entries) > 0 {
		resp.Index = m.Entries[len(m.Entries)-1].Index
	}
	n.commit = max(n.commit, min(m.Commit, resp.Index))
	n.recordUpToDate(m)
	n.sendAppended(resp)
	return nil
}

// sendAppended queues the response to an append or snapshot. The commit index is on disk
// when it is sent.
func (n *Node) sendAppended(resp Message) {
	resp.Commit, resp.RecordsCommit = n.commit, true
	n.send(resp)
}

// onSnapshot handles a snapshot from the leader.
func (n *Node) onSnapshot(m Message) {
	if m.Snapshot == nil || n.phase == phaseLeader {
		return
	}
	n.recordLeaderContact(m)
	snap := *m.Snapshot
	resp := Message{Kind: KindAppended, To: m.From, Index: snap.Index, Echo: m.Tick}
	term, ok := n.log.term(snap.Index)
	switch {
	case snap.Index <= n.commit:
		resp.Index = n.commit
	case ok && term == snap.Term:
		// Keep the entries after the snapshot: they may have been acknowledged.
		n.commit = snap.Index
	default:
		n.log.restore(snap)
		n.commit = snap.Index
		n.snapshotInstalled = true
	}
	n.sendAppended(resp)
}

// recordUpToDate records that this follower has all entries that were committed
// at the tick that the leader echoes. That is certain if the leader's lease was
// valid and this follower's commit index is at least the leader's. Ticks older
// than the lease duration are ignored.
func (n *Node) recordUpToDate(m Message) {
	if m.LeaseValid && n.commit >= m.Commit && m.Echo <= n.now && m.Echo+n.leaseTicks() > n.now {
		n.upToDateAt = max(n.upToDateAt, m.Echo)
	}
}

// leaseTicks returns the duration of a lease, in ticks. It is shorter than the
// minimum election timeout, so that a lease expires before another instance can
// become leader.
func (n *Node) leaseTicks() uint64 { return n.ElectionTicks - n.ElectionTicks/4 }

// FreshUntil returns the tick until which this instance may serve its state as
// current, 0 if it may not. For a leader that is the end of its lease. For a
// follower it is the time at which the follower was last known to be up to date,
// plus the lease duration.
func (n *Node) FreshUntil() uint64 {
	switch {
	case n.phase == phaseLeader && n.transferStartedAt == 0 && n.hasCommittedInTerm():
		return n.lastQuorumContact() + n.leaseTicks()
	case n.phase == phaseFollower && n.upToDateAt > 0:
		return n.upToDateAt + n.leaseTicks()
	}
	return 0
}

// Now returns the clock reading in ticks.
func (n *Node) Now() uint64 { return n.now }
