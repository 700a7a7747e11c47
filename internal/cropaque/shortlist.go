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
	// history is what recentList needs; it is made when it is first needed.
	history *memberHistory
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
