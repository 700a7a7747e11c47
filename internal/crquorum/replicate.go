package crquorum

const (
	// windowMax bounds the entries on their way to one follower.
	windowMax = 4096
	// batchMax bounds the data of one append, in bytes.
	batchMax = 1 << 20
	// snapshotRetry is how many election timeouts pass before a snapshot
	// that was not acknowledged is sent again.
	snapshotRetry = 5
)

// progress is what a leader knows of another instance.
type progress struct {
	// life is the incarnation that was last heard, 0 for none.
	life uint64
	// match is the last entry known to be on its disk.
	match uint64
	// next is the first entry to send.
	next uint64
	// acked is when the newest answered message was sent.
	acked uint64
	// probing sends one append at a time until the logs agree.
	probing bool
	// snapshot is the index of a snapshot on its way, 0 for none.
	snapshot uint64
	// sent is when something was last sent.
	sent uint64
}

// broadcast sends to each other member what it lacks; forced, also a heartbeat.
func (n *Node) broadcast(force bool) {
	for _, id := range n.log.config().IDs() {
		if id != n.ID {
			n.replicate(id, force)
		}
	}
}

// replicate sends entries, a heartbeat or a snapshot to one instance.
func (n *Node) replicate(id uint64, force bool) {
	p := n.peers[id]
	if p.snapshot != 0 && n.now-p.sent < n.ElectionTicks*snapshotRetry {
		if force {
			n.sendAppend(id, 0, nil)
		}
		return
	}
	if p.snapshot != 0 {
		p.snapshot, p.next = 0, p.match+1
	}
	prev := p.next - 1
	if _, ok := n.log.term(prev); !ok {
		n.sendSnapshot(id, p)
		return
	}
	if p.probing && !force && n.now-p.sent < n.HeartbeatTicks {
		return
	}
	entries := n.batch(prev, p.match)
	if len(entries) == 0 && !force {
		return
	}
	n.sendAppend(id, prev, entries)
	p.sent = n.now
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

// batch returns entries after prev, as many as fit a message and the window.
func (n *Node) batch(prev, match uint64) []Entry {
	entries := n.log.between(prev, min(n.log.last(), max(prev, match+windowMax)))
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > batchMax {
			return entries[:i]
		}
	}
	return entries
}

// sendAppend sends entries that follow prev.
func (n *Node) sendAppend(id, prev uint64, entries []Entry) {
	term, _ := n.log.term(prev)
	n.sendEarly(Message{
		Kind: KindAppend, To: id, Index: prev, LogTerm: term, Entries: entries, Commit: n.commit,
		Echo: n.ticks[id], LeaseValid: n.FreshUntil() > n.now,
	})
}

// sendSnapshot sends the snapshot to an instance whose next entry is gone.
func (n *Node) sendSnapshot(id uint64, p *progress) {
	snap := n.log.snap
	n.sendEarly(Message{Kind: KindSnapshot, To: id, Snapshot: &snap, Commit: n.commit, Echo: n.ticks[id]})
	p.snapshot, p.sent, p.probing = snap.Index, n.now, true
	p.next = snap.Index + 1
}

// onAppended notes how far an instance has come.
func (n *Node) onAppended(m Message) {
	p := n.peers[m.From]
	if n.phase != leading || p == nil {
		return
	}
	if p.life != m.Incarnation && p.life != 0 && m.Echo <= p.acked {
		// A late answer of a disk that was lost.
		return
	}
	if p.life != m.Incarnation {
		*p = progress{life: m.Incarnation, next: n.log.last() + 1, probing: true}
	}
	if m.Echo >= n.started && m.Echo <= n.now {
		p.acked = max(p.acked, m.Echo)
	}
	if m.Reject {
		n.backOff(m, p)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.match >= p.snapshot {
		p.snapshot, p.probing = 0, false
	}
	n.advance()
	if n.phase == leading {
		n.repair(m.From)
	}
	if n.phase == leading && p.next <= n.log.last() {
		n.replicate(m.From, false)
	}
}

// backOff goes back to where the logs may agree.
func (n *Node) backOff(m Message, p *progress) {
	stale := m.Index <= p.match || p.probing && m.Index != p.next-1
	if stale || p.snapshot != 0 {
		return
	}
	hint, _ := n.log.agree(m.Hint, m.LogTerm)
	p.next = max(p.match, min(hint, m.Index-1)) + 1
	p.probing = true
	n.replicate(m.From, true)
}
