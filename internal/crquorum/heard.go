package crquorum

// Heard returns how many ticks ago each member's newest answer was asked for,
// counted from the start of this instance's lead at most; nil when it doesn't
// lead.
func (n *Node) Heard() map[uint64]uint64 {
	if n.phase != leading {
		return nil
	}
	out := map[uint64]uint64{n.ID: 0}
	for id, p := range n.peers {
		out[id] = n.now - min(n.now, max(p.acked, n.started))
	}
	return out
}

// Held returns the snapshot and the entries after it, committed or not.
func (n *Node) Held() (Snapshot, []Entry) {
	return n.log.snap, n.log.between(n.log.snap.Index, n.log.last())
}
