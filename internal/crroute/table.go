package crroute

import (
	"cmp"
	"slices"
)

const (
	// groupSize is how many agents share a group. A table of at most
	// groupSize agents has one group, and moves no more flows than it must
	// when an agent comes or goes.
	groupSize = 256
	// zonesMax is how many availability zones a chain tells apart.
	zonesMax = 8
	// spareMax is how many agents are kept to fill a chain.
	spareMax = 8
)

// Agent is an agent as a table sees it.
type Agent struct {
	// Num is its number, at least 1.
	Num uint32
	// Zone and Host name its availability zone and machine.
	Zone string
	Host string
	// Weight is its relative speed, at least 1.
	Weight int
}

// Table orders the agents of a service for each flow by weighted rendezvous
// hashing: every agent draws a score from the flow's key, and the highest
// scores win. A table is never changed after NewTable and is safe for
// concurrent use.
type Table struct {
	agents []slot
	groups []group
}

// slot is one agent of a table.
type slot struct {
	num    uint32
	zone   uint16
	host   uint16
	weight float64
}

// group is a run of agents whose numbers lie close together. Flows choose a
// group by its whole weight first, so that a lookup in a large table doesn't
// look at every agent.
type group struct {
	id     uint32
	weight float64
	slots  []slot
}

// NewTable returns the table of the agents.
func NewTable(agents []Agent) *Table {
	// Sorted first: zones and hosts get the same small numbers each time.
	agents = slices.Clone(agents)
	slices.SortFunc(agents, func(a, b Agent) int { return cmp.Compare(a.Num, b.Num) })
	t := &Table{agents: make([]slot, 0, len(agents))}
	zones, hosts := map[string]uint16{}, map[string]uint16{}
	for _, a := range agents {
		t.agents = append(t.agents, slot{
			num: a.Num, zone: intern(zones, a.Zone), host: intern(hosts, a.Host),
			weight: float64(max(a.Weight, 1)),
		})
	}
	t.divide()
	return t
}

// divide cuts the sorted agents into groups.
func (t *Table) divide() {
	if len(t.agents) <= groupSize {
		t.groups = []group{{slots: t.agents, weight: 1}}
		return
	}
	start := 0
	for i := range t.agents {
		last := i == len(t.agents)-1
		id := t.agents[start].num / groupSize
		if !last && t.agents[i+1].num/groupSize == id {
			continue
		}
		g := group{id: id, slots: t.agents[start : i+1]}
		for _, s := range g.slots {
			g.weight += s.weight
		}
		t.groups = append(t.groups, g)
		start = i + 1
	}
}

// intern returns a small number for a name.
func intern(names map[string]uint16, name string) uint16 {
	n, ok := names[name]
	if !ok {
		n = uint16(len(names))
		names[name] = n
	}
	return n
}

// Len returns how many agents the table holds.
func (t *Table) Len() int { return len(t.agents) }

// Equal reports whether both tables order every flow alike.
func (t *Table) Equal(other *Table) bool { return slices.Equal(t.agents, other.agents) }

// Lookup returns the agent that stands first for a flow, 0 in an empty table.
func (t *Table) Lookup(key uint64) uint32 {
	best, high := uint32(0), 0.0
	for _, s := range t.group(key, -1).slots {
		u := unit(key, s.num)
		if below(u, s.weight, high) {
			continue
		}
		if v := score(u, s.weight); v > high {
			high, best = v, s.num
		}
	}
	return best
}

// AppendChain appends up to n agents for a flow, best first. After the first one
// it prefers agents of further availability zones, then of further hosts.
func (t *Table) AppendChain(dst []uint32, key uint64, n int) []uint32 {
	if len(t.agents) == 0 {
		return dst
	}
	var c choice
	top := t.group(key, -1)
	c.scan(key, top.slots)
	if len(t.groups) > 1 {
		c.scan(key, t.group(key, int64(top.id)).slots)
	}
	return c.append(dst, n)
}

// group returns the group with the highest score for a flow, apart from the
// one whose ID is except.
func (t *Table) group(key uint64, except int64) *group {
	best, high := &t.groups[0], 0.0
	if len(t.groups) == 1 {
		return best
	}
	for i := range t.groups {
		g := &t.groups[i]
		u := unit(key^groupSeed, g.id)
		if int64(g.id) == except || below(u, g.weight, high) {
			continue
		}
		if v := score(u, g.weight); v > high {
			high, best = v, g
		}
	}
	return best
}
