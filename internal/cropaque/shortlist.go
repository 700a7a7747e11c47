package cropaque

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cardamomring.dev/internal/crroute"
)

const (
	// minShortList and minShortListPerZone set the size of a flow's short list: a
	// few agents of each zone, so that one is idle and near at most loads.
	minShortList, minShortListPerZone = 12, 3
)

// serviceMembers are the agents of a service, whatever their state.
type serviceMembers struct {
	// zones holds the agents of each availability zone, in the order in which the
	// zones were first met.
	zones [][]*peer
}

// addMember adds an agent to the members of its service.
func addMember(members map[string]*serviceMembers, p *peer) {
	if members[p.member.Service] == nil {
		members[p.member.Service] = &serviceMembers{}
	}
	members[p.member.Service].add(p)
}

// add adds an agent.
func (m *serviceMembers) add(p *peer) {
	for i, peers := range m.zones {
		if peers[0].member.Zone == p.member.Zone {
			m.zones[i] = append(peers, p)
			return
		}
	}
	m.zones = append(m.zones, []*peer{p})
}

// shortList returns the agents among which a flow is placed. It depends on the flow
// and the members only, so that a balancer that takes over a flow finds its owner
// among a few agents, however many the service has. It is made for the return of many
// balancers after a loss: each then gets packets of flows that it doesn't know,
// through a link that can't carry a question to all.
func (m *serviceMembers) shortList(key Key) []*peer {
	if m == nil {
		return nil
	}
	hash := flowHash(key)
	list := make([]*peer, 0, m.perZone()*len(m.zones))
	for _, peers := range m.zones {
		list = appendBest(list, hash, peers, m.perZone())
	}
	// The order is that of the numbers, so that a seeded replay repeats.
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.member.Num, b.member.Num) })
	return list
}

// perZone returns how many agents of each zone a short list has.
func (m *serviceMembers) perZone() int { return perZone(len(m.zones)) }

// perZone returns how many agents of each zone a short list has in a number of zones.
func perZone(zones int) int {
	return max(minShortListPerZone, (minShortList+zones-1)/max(1, zones))
}

// recentList returns the agents that may have been on a flow's short list at any moment
// since the flow was opened. An agent was off the list all the time only if enough others
// of its zone that rank before it have been members since before it came.
func (m *serviceMembers) recentList(key Key) []*peer {
	if m == nil {
		return nil
	}
	hash := flowHash(key)
	firstOfZones := m.sinceOfZones()
	var list []*peer
	var ranked []rankedPeer
	for _, peers := range m.zones {
		ranked = ranked[:0]
		for _, p := range peers {
			ranked = append(ranked, rankedPeer{p, crroute.Uniform(hash, p.member.Num)})
		}
		slices.SortFunc(ranked, func(a, b rankedPeer) int { return cmp.Compare(b.rank, a.rank) })
		// oldest are the lowest revisions since which agents that rank before are
		// members, ascending.
		var oldest []uint64
		for _, r := range ranked {
			first := r.peer.member.First
			zones := countUpTo(firstOfZones, first)
			if countUpTo(oldest, first) < perZone(max(1, zones)) {
				list = append(list, r.peer)
			}
			at, _ := slices.BinarySearch(oldest, r.peer.member.Since)
			oldest = slices.Insert(oldest, at, r.peer.member.Since)
			oldest = oldest[:min(len(oldest), minShortList)]
		}
	}
	return list
}

// sinceOfZones returns for each zone the lowest revision since which it has had an agent,
// ascending.
func (m *serviceMembers) sinceOfZones() []uint64 {
	out := make([]uint64, 0, len(m.zones))
	for _, peers := range m.zones {
		oldest := slices.MinFunc(peers, func(a, b *peer) int { return cmp.Compare(a.member.Since, b.member.Since) })
		out = append(out, oldest.member.Since)
	}
	slices.Sort(out)
	return out
}

// countUpTo returns how many revisions of an ascending list are at most the given one.
func countUpTo(list []uint64, revision uint64) int {
	n, _ := slices.BinarySearch(list, revision+1)
	return n
}

// zoneShortList returns the agents of one zone in a flow's short list.
func (m *serviceMembers) zoneShortList(key Key, zone string) []*peer {
	for _, peers := range m.zones {
		if peers[0].member.Zone == zone {
			return appendBest(nil, flowHash(key), peers, m.perZone())
		}
	}
	return nil
}

// rankedPeer is an agent with its rank for a flow.
type rankedPeer struct {
	peer *peer
	rank float64
}

// appendBest appends the n agents that rank highest for a flow.
func appendBest(list []*peer, hash uint64, peers []*peer, n int) []*peer {
	if len(peers) <= n {
		return append(list, peers...)
	}
	best := make([]rankedPeer, 0, n+1)
	for _, p := range peers {
		rank := crroute.Uniform(hash, p.member.Num)
		if len(best) == n && rank <= best[n-1].rank {
			continue
		}
		i := len(best)
		for i > 0 && best[i-1].rank < rank {
			i--
		}
		best = slices.Insert(best, i, rankedPeer{p, rank})
		best = best[:min(len(best), n)]
	}
	for _, r := range best {
		list = append(list, r.peer)
	}
	return list
}

// flowHash returns the hash of a flow, which is the same on every balancer.
func flowHash(key Key) uint64 {
	var buf [36]byte
	caller, service := key.Caller.Addr().As16(), key.Service.Addr().As16()
	copy(buf[:], caller[:])
	copy(buf[16:], service[:])
	binary.BigEndian.PutUint16(buf[32:], key.Caller.Port())
	binary.BigEndian.PutUint16(buf[34:], key.Service.Port())
	return xxhash.Sum64(buf[:])
}
