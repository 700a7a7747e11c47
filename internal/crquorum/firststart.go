package crquorum

import "hash/fnv"

// InitialIncarnation is the incarnation of an initial member's disk when the whole system
// started for the first time. A disk that replaces a lost one has a random incarnation,
// so that the first disks are known before they are heard of.
const InitialIncarnation = 1

// FirstState returns what the logs of the initial members begin with when the whole
// system starts for the first time, with empty disks: the same configuration, in which
// all of them vote. A majority then elects the first leader. All of them must be given
// the same members.
func FirstState(members map[uint64]string) (HardState, []Entry) {
	c := Config{Members: map[uint64]Member{}}
	for id, addr := range members {
		c.Members[id] = Member{Addr: addr, Incarnation: InitialIncarnation}
	}
	data := c.Encode()
	hash := fnv.New64a()
	_, _ = hash.Write(data)
	return HardState{Cluster: max(hash.Sum64(), 1)}, []Entry{{Index: 1, Kind: EntryConfig, Data: data}}
}

// isBeforeFirstElection reports whether this instance is an initial member and knows of
// no election yet. Then it has acknowledged no leader.
func (n *Node) isBeforeFirstElection() bool { return n.hardState.Term == 0 && !n.isLogEmpty() }

// hasLowestID reports whether this instance is the member with the lowest ID.
func (n *Node) hasLowestID() bool {
	ids := n.log.config().IDs()
	return len(ids) > 0 && ids[0] == n.ID
}
