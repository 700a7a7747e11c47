package crroute

import (
	"cmp"
	"slices"
)

const (
	// groupSize is the number of agents in a group. A table of at most
	// groupSize agents has a single group, so that adding or removing an agent
	// moves the minimum number of flows.
	groupSize = 256
	// zonesMax is the number of availability zones that a selection
	// distinguishes.
	zonesMax = 8
	// topMax is the number of agents with the highest scores that a selection
	// keeps to fill a chain.
	topMax = 8
)

// Agent is an agent in a table.
type Agent struct {
	// Num is the agent's number, at least 1.
	Num uint32
	// Zone and Host name the agent's availability zone and machine.
	Zone string
	Host string
	// Weight is the backend server's relative speed. Values below 1 count as 1.
	Weight int
}

// Table orders the agents of a service for each flow by weighted rendezvous
// hashing: each agent gets a score that depends on the flow key and the agent's
// weight, and the agents with the highest scores come first. A Table is
// immutable and safe for concurrent use.
type Table struct {
	agents []agentEntry
	groups []group
}

// agentEntry is an agent in a table, with its zone and host as small numbers.
type agentEntry struct {
	num    uint32
	zone   uint16
	host   uint16
	weight float64
}

// group is a range of agents with adjacent numbers. A lookup first selects a
// group by its total weight, so that it does not have to score every agent of a
// large table.
type group struct {
	id     uint32
	weight float64
	agents []agentEntry
}

// NewTable returns a table of the given agents.
func NewTable(agents []Agent) *Table {
	// Sorting first assigns the same numbers to zones and hosts in equal
	// tables.
	agents = slices.Clone(agents)
	slices.SortFunc(agents, func(a, b Agent) int { return cmp.Compare(a.Num, b.Num) })
	t := &Table{agents: make([]agentEntry, 0, len(agents))}
	zones, hosts := map[string]uint16{}, map[string]uint16{}
	for _, a := range agents {
		t.agents = append(t.agents, agentEntry{
			num: a.Num, zone: intern(zones, a.Zone), host: intern(hosts, a.Host),
			weight: float64(max(a.Weight, 1)),
		})
	}
	t.splitGroups()
	return t
}

// splitGroups splits the sorted agents into groups.
func (t *Table) splitGroups() {
	if len(t.agents) <= groupSize {
		t.groups = []group{{agents: t.agents, weight: 1}}
		return
	}
	start := 0
	for i := range t.agents {
		last := i == len(t.agents)-1
		id := t.agents[start].num / groupSize
		if !last && t.agents[i+1].num/groupSize == id {
			continue
		}
		g := group{id: id, agents: t.agents[start : i+1]}
		for _, a := range g.agents {
			g.weight += a.weight
		}
		t.groups = append(t.groups, g)
		start = i + 1
	}
}

// intern returns the number assigned to a name, and assigns the next one to a
// new name.
func intern(names map[string]uint16, name string) uint16 {
	n, ok := names[name]
	if !ok {
		n = uint16(len(names))
		names[name] = n
	}
	return n
}

// Len returns the number of agents in the table.
func (t *Table) Len() int { return len(t.agents) }

// Equal reports whether both tables give the same order for every flow.
func (t *Table) Equal(other *Table) bool { return slices.Equal(t.agents, other.agents) }

// Lookup returns the number of the best agent for a flow, or 0 if the table is
// empty.
func (t *Table) Lookup(key uint64) uint32 {
	best, high := uint32(0), 0.0
	for _, a := range t.group(key, -1).agents {
		u := Uniform(key, a.num)
		if scoreAtMost(u, a.weight, high) {
			continue
		}
		if v := score(u, a.weight); v > high {
			high, best = v, a.num
		}
	}
	return best
}

// AppendChain appends up to n agents for a flow to dst, best first. After the
// first agent, it prefers agents in other availability zones, then agents on
// other hosts.
func (t *Table) AppendChain(dst []uint32, key uint64, n int) []uint32 {
	if len(t.agents) == 0 {
		return dst
	}
	var sel selection
	top := t.group(key, -1)
	sel.scan(key, top.agents)
	if len(t.groups) > 1 {
		sel.scan(key, t.group(key, int64(top.id)).agents)
	}
	return sel.appendBest(dst, n)
}

// group returns the group with the highest score for a flow, excluding the
// group with the ID except.
func (t *Table) group(key uint64, except int64) *group {
	best, high := &t.groups[0], 0.0
	if len(t.groups) == 1 {
		return best
	}
	for i := range t.groups {
		g := &t.groups[i]
		u := Uniform(key^groupSeed, g.id)
		if int64(g.id) == except || scoreAtMost(u, g.weight, high) {
			continue
		}
		if v := score(u, g.weight); v > high {
			high, best = v, g
		}
	}
	return best
}
