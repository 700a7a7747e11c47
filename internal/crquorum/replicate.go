package crquorum

const (
	// maxInflightEntries limits the unacknowledged entries sent to one
	// follower.
	maxInflightEntries = 4096
	// maxAppendBytes limits the entry data in one append.
	maxAppendBytes = 1 << 20
	// snapshotRetryTimeouts is the number of minimum election timeouts after
	// which an unacknowledged snapshot is sent again.
	snapshotRetryTimeouts = 5
)

// progress is the replication state of another instance, kept by the leader.
type progress struct {
	// incarnation is the incarnation in the last response, 0 before the first.
	incarnation uint64
	// match is the last entry known to be on the instance's disk.
	match uint64
	// recorded is the last entry that the instance's disk records as committed. It is
	// match if the instance doesn't record that: it then serves its whole log without a
	// quorum.
	recorded uint64
	// next is the next entry to send.
	next uint64
	// lastAckedAt is the send time of the newest message that the instance has
	// responded to.
	lastAckedAt uint64
	// trackedSince is when this instance became leader or added the member.
	trackedSince uint64
	// answered is set if the instance has responded to this leader, or was added by it.
	answered bool
	// probing is set until the logs are known to match at next-1. Meanwhile
	// the leader sends one append at a time.
	probing bool
	// pendingSnapshot is the index of the snapshot that was sent and is not
	// acknowledged, 0 for none.
	pendingSnapshot uint64
	// lastSentAt is when an append or snapshot was last sent.
	lastSentAt uint64
}

// broadcast replicates to each other member. If force is set, members without
// outstanding entries get a heartbeat.
func (n *Node) broadcast(force bool) {
	for _, id := range n.log.config().IDs() {
		if id != n.ID {
			n.replicate(id, force)
		}
	}
}

// replicate sends entries, a heartbeat or a snapshot to one instance, as its
// progress requires.
func (n *Node) replicate(id uint64, force bool) {
	p := n.peers[id]
	if p.pendingSnapshot != 0 && n.now-p.lastSentAt < n.ElectionTicks*snapshotRetryTimeouts {
		if force {
			n.sendAppend(id, 0, nil)
		}
		return
	}
	if p.pendingSnapshot != 0 {
		p.pendingSnapshot, p.next = 0, p.match+1
	}
	prev := p.next - 1
	if _, ok := n.log.term(prev); !ok {
		n.sendSnapshot(id, p)
		return
	}
	if p.probing && !force && n.now-p.lastSentAt < n.HeartbeatTicks {
		return
	}
	entries := n.nextBatch(prev, p.match)
	if len(entries) == 0 && !force {
		return
	}
	n.sendAppend(id, prev, entries)
	p.lastSentAt = n.now
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

// nextBatch returns the entries after prev, within the limits of a message and
// of the inflight entries.
func (n *Node) nextBatch(prev, match uint64) []Entry {
	entries := n.log.between(prev, min(n.log.last(), max(prev, match+maxInflightEntries)))
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// sendAppend sends an append with the entries after prev.
func (n *Node) sendAppend(id, prev uint64, entries []Entry) {
	term, _ := n.log.term(prev)
	n.sendBeforeSync(Message{
		Kind: KindAppend, To: id, Index: prev, LogTerm: term, Entries: entries, Commit: n.commit,
		Echo: n.peerTicks[id], LeaseValid: n.FreshUntil() > n.now,
	})
}

// sendSnapshot sends the snapshot to an instance whose next entry has been
// compacted.
func (n *Node) sendSnapshot(id uint64, p *progress) {
	snap := n.log.snap
	n.sendBeforeSync(Message{Kind: KindSnapshot, To: id, Snapshot: &snap, Commit: n.commit, Echo: n.peerTicks[id]})
	p.pendingSnapshot, p.lastSentAt, p.probing = snap.Index, n.now, true
	p.next = snap.Index + 1
}

// onAppended handles the response to an append or snapshot.
func (n *Node) onAppended(m Message) {
	p := n.peers[m.From]
	if n.phase != phaseLeader || p == nil {
		return
	}
	if p.incarnation != m.Incarnation && p.incarnation != 0 && m.Echo <= p.lastAckedAt {
		// A delayed response from before the instance lost its disk.
		return
	}
	if p.incarnation != m.Incarnation {
		*p = progress{incarnation: m.Incarnation, next: n.log.last() + 1, probing: true, trackedSince: p.trackedSince, answered: p.answered}
	}
	if m.Echo >= n.leaderSince && m.Echo <= n.now {
		p.lastAckedAt, p.answered = max(p.lastAckedAt, m.Echo), true
	}
	if m.Reject {
		n.decreaseNext(m, p)
		return
	}
	p.match = max(p.match, m.Index)
	p.recorded = max(p.recorded, m.Commit)
	if !m.RecordsCommit {
		p.recorded = p.match
	}
	p.next = max(p.next, p.match+1)
	if p.match >= p.pendingSnapshot {
		p.pendingSnapshot, p.probing = 0, false
	}
	n.advanceCommit()
	if n.phase == phaseLeader {
		n.adjustRole(m.From)
	}
	if n.phase == phaseLeader && p.next <= n.log.last() {
		n.replicate(m.From, false)
	}
}

// decreaseNext handles a rejected append: it moves next back to where the logs
// may match and retries.
func (n *Node) decreaseNext(m Message, p *progress) {
	stale := m.Index <= p.match || p.probing && m.Index != p.next-1
	if stale || p.pendingSnapshot != 0 {
		return
	}
	hint, _ := n.log.findConflictByTerm(m.Hint, m.LogTerm)
	p.next = max(p.match, min(hint, m.Index-1)) + 1
	p.probing = true
	n.replicate(m.From, true)
}
