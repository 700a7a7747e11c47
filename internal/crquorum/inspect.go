package crquorum

// Contact is what the leader knows about the connection to a member.
type Contact struct {
	// Silence is the number of ticks since the leader sent the newest message that the
	// member has responded to, limited to those since this instance became leader and
	// since it added the member.
	Silence uint64
	// Answered is set if the member has responded to this leader, or was added by it.
	Answered bool
}

// Contacts returns the contact to each member. It returns nil if this instance isn't
// the leader.
func (n *Node) Contacts() map[uint64]Contact {
	if n.phase != phaseLeader {
		return nil
	}
	out := map[uint64]Contact{n.ID: {Answered: true}}
	for id, p := range n.peers {
		out[id] = Contact{
			Silence:  n.now - min(n.now, max(p.lastAckedAt, p.trackedSince)),
			Answered: p.answered,
		}
	}
	return out
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
