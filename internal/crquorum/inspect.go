package crquorum

// TicksSinceContact returns for each member the ticks since the leader sent the
// newest message that the member has responded to, limited to the ticks since
// this instance became leader. It returns nil if this instance isn't the leader.
func (n *Node) TicksSinceContact() map[uint64]uint64 {
	if n.phase != phaseLeader {
		return nil
	}
	out := map[uint64]uint64{n.ID: 0}
	for id, p := range n.peers {
		out[id] = n.now - min(n.now, max(p.lastAckedAt, n.leaderSince))
	}
	return out
}

// SnapshotAndEntries returns the snapshot and the entries after it, whether
// committed or not.
func (n *Node) SnapshotAndEntries() (Snapshot, []Entry) {
	return n.log.snap, n.log.between(n.log.snap.Index, n.log.last())
}

// TrailingCount returns how many of the last applied entries fit within count
// entries and size bytes of data.
func (n *Node) TrailingCount(count uint64, size int) uint64 {
	trailing := uint64(0)
	for index := n.applied; index > n.log.base && trailing < count; index-- {
		size -= len(n.log.entries[index-n.log.base-1].Data)
		if size < 0 {
			break
		}
		trailing++
	}
	return trailing
}
