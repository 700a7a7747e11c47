package crroute

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomring.dev/internal/crwire"
)

const (
	// replacedTableTTL is how long a replaced table is used to look up flows
	// that are still opening. It covers the time during which a caller
	// retransmits its first packets.
	replacedTableTTL = 15 * time.Second
	// replacedTablesMax is the maximum number of replaced tables that are kept
	// for each service.
	replacedTablesMax = 4
	// departedTargetTTL is how long datagrams are still sent to an agent that
	// is no longer a member. The agent may be running with its flows and only
	// be disconnected from control.
	departedTargetTTL = 30 * time.Second
	// candidatesPerChain is the number of agents of the current table in a
	// chain.
	candidatesPerChain = 3
)

// Target is the destination of an agent's envelopes.
type Target struct {
	// Addr is the address at which the agent receives envelopes.
	Addr netip.AddrPort
	// Service is the name of the backend server's service.
	Service string
	// Zone is the agent's availability zone.
	Zone string
	// ZoneOut is true if the availability zone is out of service.
	ZoneOut bool
	// expires is when the target of a departed agent is removed; zero for a
	// member.
	expires time.Time
}

// Plan is the immutable routing state of one configuration revision. It is safe
// for concurrent use.
type Plan struct {
	// Revision is the revision of the view that the plan was built from.
	Revision uint64
	// ZonesOut lists the availability zones that are out of service.
	ZonesOut []string

	services map[string]*serviceTables
	targets  map[uint32]Target
	// highestNum is the highest agent number in this plan and all plans before
	// it.
	highestNum uint32
	// hasExpiring is true if the plan has tables or targets that expire.
	hasExpiring bool
}

// serviceTables holds the current and the replaced tables of a service.
type serviceTables struct {
	tag      uint32
	table    *Table
	replaced []replacedTable
}

// replacedTable is a table that is no longer current.
type replacedTable struct {
	table   *Table
	expires time.Time
}

// Router builds plans. The zero value is ready to use. It is not safe for
// concurrent use.
type Router struct {
	plan *Plan
}

// HasExpiring reports whether the last plan has tables or targets that a later
// Update with the same view would remove.
func (r *Router) HasExpiring() bool { return r.plan != nil && r.plan.hasExpiring }

// Update returns the plan for a view at the time now. Calling Update again
// with the same view removes the tables and targets that have expired.
func (r *Router) Update(v *crwire.View, now time.Time) *Plan {
	old := r.plan
	if old == nil {
		old = &Plan{}
	}
	next := &Plan{
		Revision: v.Revision, ZonesOut: v.ZonesOut, highestNum: old.highestNum,
		services: make(map[string]*serviceTables, len(v.Services)),
		targets:  make(map[uint32]Target, len(v.Members)),
	}
	agents := next.addMembers(v)
	next.retainDeparted(old, now)
	for name := range v.Services {
		svc := updateTables(old.services[name], name, agents[name], now)
		next.services[name] = svc
		next.hasExpiring = next.hasExpiring || len(svc.replaced) > 0
	}
	r.plan = next
	return next
}

// addMembers adds a target for each member and returns, by service, the agents
// that take new flows.
func (p *Plan) addMembers(v *crwire.View) map[string][]Agent {
	agents := map[string][]Agent{}
	for num, m := range v.Members {
		p.highestNum = max(p.highestNum, num)
		addr, err := netip.ParseAddrPort(m.DatagramAddr)
		if err != nil {
			continue
		}
		out := slices.Contains(v.ZonesOut, m.Zone)
		p.targets[num] = Target{Addr: addr, Service: m.Service, Zone: m.Zone, ZoneOut: out}
		if m.State == crwire.MemberActive && !out {
			agents[m.Service] = append(agents[m.Service],
				Agent{Num: num, Zone: m.Zone, Host: m.Host, Weight: m.Weight})
		}
	}
	return agents
}

// retainDeparted keeps the targets of departed agents until they expire.
func (p *Plan) retainDeparted(old *Plan, now time.Time) {
	for num, t := range old.targets {
		if _, ok := p.targets[num]; ok || slices.Contains(p.ZonesOut, t.Zone) {
			continue
		}
		if t.expires.IsZero() {
			t.expires = now.Add(departedTargetTTL)
		}
		if now.Before(t.expires) {
			p.targets[num] = t
			p.hasExpiring = true
		}
	}
}

// updateTables returns the tables of a service after its agents may have
// changed.
func updateTables(old *serviceTables, name string, agents []Agent, now time.Time) *serviceTables {
	next := &serviceTables{tag: ServiceTag(name), table: NewTable(agents)}
	if old == nil {
		return next
	}
	if old.table.Len() > 0 && !next.table.Equal(old.table) {
		next.replaced = append(next.replaced, replacedTable{table: old.table, expires: now.Add(replacedTableTTL)})
	}
	for _, r := range old.replaced {
		if now.Before(r.expires) && len(next.replaced) < replacedTablesMax {
			next.replaced = append(next.replaced, r)
		}
	}
	return next
}

// Target returns the target of an agent.
func (p *Plan) Target(num uint32) (Target, bool) {
	t, ok := p.targets[num]
	return t, ok
}

// Route is the routing decision for one datagram.
type Route struct {
	// To is the address at which the first agent of the chain receives
	// envelopes.
	To netip.AddrPort
	// Chain lists the agents to try, in order.
	Chain [crwire.ChainMax]uint32
	// ChainLen is the number of agents in Chain.
	ChainLen int
	// AcceptFrom is the index of the first agent in Chain that may accept a new
	// flow. The agents before it handle the datagram only if they own the flow.
	AcceptFrom int
	// Owned is true if the datagram has a connection ID that the system issued
	// and that names the owning agent.
	Owned bool
}

// Route routes a caller's datagram to the service with the given name. out
// is valid only if Route returns ReasonNone.
func (p *Plan) Route(s *Sealer, name string, caller netip.AddrPort, datagram []byte, out *Route) Reason {
	svc := p.services[name]
	if svc == nil {
		return ReasonService
	}
	packet, reason := ReadPacket(datagram)
	if reason != ReasonNone {
		return reason
	}
	id, issued := s.OpenConnID(packet.DestID)
	*out = Route{}
	switch {
	case issued && id.ServiceTag != svc.tag:
		return ReasonService
	case issued:
		return p.routeToOwner(svc, id, caller, out)
	case !packet.LongHeader:
		return ReasonForged
	case len(packet.DestID) < callerIDMin:
		return ReasonHeader
	}
	return p.routeNewFlow(svc, FlowKey(caller, svc.tag), out)
}

// Foresee routes the first datagram that a caller would send to a service now, as Route
// does.
func (p *Plan) Foresee(name string, caller netip.AddrPort, out *Route) Reason {
	svc := p.services[name]
	if svc == nil {
		return ReasonService
	}
	*out = Route{}
	return p.routeNewFlow(svc, FlowKey(caller, svc.tag), out)
}

// routeToOwner routes a datagram to the agent that its connection ID names. If
// that agent has departed or its availability zone is out of service, the
// datagram goes to another agent of the service. All agents share the key of
// stateless resets, so any agent can reset the connection, and the caller
// reconnects at once.
func (p *Plan) routeToOwner(svc *serviceTables, id ConnID, caller netip.AddrPort, out *Route) Reason {
	out.Owned = true
	num := id.Agent
	t, ok := p.targets[num]
	switch {
	case !ok && num > p.highestNum:
		return ReasonUnknown
	case !ok || t.ZoneOut:
		num = svc.table.Lookup(FlowKey(caller, svc.tag))
		if t, ok = p.targets[num]; !ok {
			return ReasonEmpty
		}
	}
	out.To = t.Addr
	out.Chain[0], out.ChainLen = num, 1
	return ReasonNone
}

// routeNewFlow routes a datagram of a flow that is opening. The chain starts
// with the first agent of each replaced table, unless that agent is no longer a
// member or its zone is out of service. The candidates of the current table
// follow.
func (p *Plan) routeNewFlow(svc *serviceTables, key uint64, out *Route) Reason {
	var nums [crwire.ChainMax]uint32
	candidates := svc.table.AppendChain(nums[:0], key, candidatesPerChain)
	if len(candidates) == 0 {
		return ReasonEmpty
	}
	for _, r := range svc.replaced {
		num := r.table.Lookup(key)
		t, ok := p.targets[num]
		if num == candidates[0] || !ok || t.ZoneOut || !t.expires.IsZero() || slices.Contains(out.Chain[:out.ChainLen], num) {
			continue
		}
		out.Chain[out.ChainLen] = num
		out.ChainLen++
	}
	out.AcceptFrom = out.ChainLen
	out.ChainLen += copy(out.Chain[out.ChainLen:], candidates)
	out.To = p.targets[out.Chain[0]].Addr
	return ReasonNone
}

// FlowKey returns the key by which tables order the agents for the flow of a
// caller to a service.
func FlowKey(caller netip.AddrPort, tag uint32) uint64 {
	ip := caller.Addr().As16()
	var b [22]byte
	copy(b[:], ip[:])
	b[16], b[17] = byte(caller.Port()>>8), byte(caller.Port())
	b[18], b[19], b[20], b[21] = byte(tag>>24), byte(tag>>16), byte(tag>>8), byte(tag)
	return xxhash.Sum64(b[:])
}
