package crquorum

// TicksSinceContact returns how many ticks ago each member's newest answer was asked for,
// counted from the start of this instance's lead at most; nil when it doesn't
// lead.
func (n *Node) TicksSinceContact() map[uint64]uint64 {
	if n.phase != leading {
		return nil
	}
	out := map[uint64]uint64{n.ID: 0}
	for id, p := range n.peers {
		out[id] = n.now - min(n.now, max(p.acked, n.started))
	}
	return out
}

// SnapshotAndEntries returns the snapshot and the entries after it, committed or not.
func (n *Node) SnapshotAndEntries() (Snapshot, []Entry) {
	return n.log.snap, n.log.between(n.log.snap.Index, n.log.last())
}

// TrailingCount returns how many of the last applied entries, at most count, hold at
// most size bytes together.
func (n *Node) TrailingCount(count uint64, size int) uint64 {
	kept := uint64(0)
	for index := n.applied; index > n.log.base && kept < count; index-- {
		size -= len(n.log.entries[index-n.log.base-1].Data)
		if size < 0 {
			break
		}
		kept++
	}
	return kept
}
