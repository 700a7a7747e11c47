package cropaque

import (
	"cmp"
	"slices"

	"cardamomring.dev/internal/crroute"
)

// memberHistory is when the agents of a service came, in the order of the revisions.
type memberHistory struct {
	// settled is set when no agent has come since the oldest flow was opened.
	settled bool
	zones   []zoneHistory
	// since holds for each zone the lowest revision since which it has had an agent,
	// ascending.
	since []uint64
	// ranks are the ranks of a zone's agents for the flow that is looked up.
	ranks []float64
}

// zoneHistory is when the agents of one zone came.
type zoneHistory struct {
	peers []*peer
	// arrivals is ordered by revision; what counts for others comes first.
	arrivals []arrival
}

// arrival is a moment of an agent's membership.
type arrival struct {
	revision uint64
	// peer is the agent's place in the zone.
	peer int
	// first is set for the moment at which the agent came first. Otherwise it is the one
	// since which the agent is a member without a break.
	first bool
}

// newMemberHistory returns the history of the members of a service.
func newMemberHistory(m *serviceMembers) *memberHistory {
	h := &memberHistory{settled: true}
	for _, peers := range m.zones {
		z := zoneHistory{peers: peers}
		oldest := peers[0].member.Since
		for i, p := range peers {
			h.settled = h.settled && p.member.Since == 0 && p.member.First == 0
			oldest = min(oldest, p.member.Since)
			z.arrivals = append(z.arrivals, arrival{revision: p.member.Since, peer: i}, arrival{revision: p.member.First, peer: i, first: true})
		}
		slices.SortFunc(z.arrivals, func(a, b arrival) int {
			if a.revision == b.revision && a.first != b.first {
				if a.first {
					return 1
				}
				return -1
			}
			return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.peer, b.peer))
		})
		h.zones, h.since = append(h.zones, z), append(h.since, oldest)
	}
	slices.Sort(h.since)
	return h
}

// recentList returns the agents that may have been on a flow's short list at any moment
// since the flow was opened, none if that is the short list itself. An agent was off the
// list all the time only if enough others of its zone that rank before it have been members
// since before it came.
func (m *serviceMembers) recentList(key Key) []*peer {
	if m == nil {
		return nil
	}
	if m.history == nil {
		m.history = newMemberHistory(m)
	}
	if m.history.settled {
		return nil
	}
	hash := flowHash(key)
	var list []*peer
	for _, z := range m.history.zones {
		list = m.history.appendRecent(list, hash, z)
	}
	return list
}

// appendRecent appends the agents of one zone that may have been on the list of a flow.
func (h *memberHistory) appendRecent(list []*peer, hash uint64, z zoneHistory) []*peer {
	h.ranks = h.ranks[:0]
	for _, p := range z.peers {
		h.ranks = append(h.ranks, crroute.Uniform(hash, p.member.Num))
	}
	// best are the highest ranks of those that are members without a break since the
	// arrival that is looked at, descending.
	var best [minShortList]float64
	n := 0
	for _, a := range z.arrivals {
		rank := h.ranks[a.peer]
		before := 0
		for before < n && best[before] > rank {
			before++
		}
		if a.first {
			if before < perZone(max(1, h.zonesSince(a.revision))) {
				list = append(list, z.peers[a.peer])
			}
			continue
		}
		if before < len(best) {
			n = min(n+1, len(best))
			copy(best[before+1:n], best[before:n-1])
			best[before] = rank
		}
	}
	return list
}

// zonesSince returns how many zones have had an agent since a revision.
func (h *memberHistory) zonesSince(revision uint64) int {
	n, _ := slices.BinarySearch(h.since, revision+1)
	return n
}
