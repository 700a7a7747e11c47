package crroute

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomring.dev/internal/crwire"
)

const (
	// formerKeep is how long a replaced table may still hold flows that are
	// opening: the time a caller goes on sending first packets.
	formerKeep = 15 * time.Second
	// formersMax is how many replaced tables of a service are kept.
	formersMax = 4
	// goneKeep is how long datagrams go on to an agent that is no longer a
	// member: it may be alive with its flows and only cut from control.
	goneKeep = 30 * time.Second
	// chainLen is how many agents of the table in force a chain names.
	chainLen = 3
)

// Target is where an agent takes envelopes.
type Target struct {
	Addr netip.AddrPort
	// Service is the service of its backend server.
	Service string
	// Zone is its availability zone.
	Zone string
	// ZoneOut says that its availability zone is out of service.
	ZoneOut bool
	// until ends the time of an agent that is gone; zero for a member.
	until time.Time
}

// Plan is what a balancer routes by at one revision. It is never changed
// and safe for concurrent use.
type Plan struct {
	// Revision is the revision of the view it was made from.
	Revision uint64
	// ZonesOut are the availability zones that are out of service.
	ZonesOut []string

	services map[string]*service
	targets  map[uint32]Target
	// last is the highest number ever seen.
	last uint32
	// timed says that it holds what will be dropped in time.
	timed bool
}

// service holds the tables of one service.
type service struct {
	tag     uint32
	table   *Table
	formers []former
}

// former is a table that was replaced.
type former struct {
	table *Table
	until time.Time
}

// Router makes plans. It is for one goroutine; its zero value is empty.
type Router struct {
	plan *Plan
}

// HasExpiring reports whether the plan holds tables or targets that a later Update
// with the same view would drop.
func (r *Router) HasExpiring() bool { return r.plan != nil && r.plan.timed }

// Update returns the plan for a view at a time. Calling it again with the
// same view drops the tables and targets whose time is over.
func (r *Router) Update(v *crwire.View, now time.Time) *Plan {
	old := r.plan
	if old == nil {
		old = &Plan{}
	}
	next := &Plan{
		Revision: v.Revision, ZonesOut: v.ZonesOut, last: old.last,
		services: make(map[string]*service, len(v.Services)),
		targets:  make(map[uint32]Target, len(v.Members)),
	}
	agents := next.members(v)
	next.keepGone(old, now)
	for name := range v.Services {
		svc := nextService(old.services[name], name, agents[name], now)
		next.services[name] = svc
		next.timed = next.timed || len(svc.formers) > 0
	}
	r.plan = next
	return next
}

// members sets the targets and returns the agents that take new flows, by
// service.
func (p *Plan) members(v *crwire.View) map[string][]Agent {
	agents := map[string][]Agent{}
	for num, m := range v.Members {
		p.last = max(p.last, num)
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

// keepGone keeps the targets of agents that have gone for a while.
func (p *Plan) keepGone(old *Plan, now time.Time) {
	for num, t := range old.targets {
		if _, ok := p.targets[num]; ok || slices.Contains(p.ZonesOut, t.Zone) {
			continue
		}
		if t.until.IsZero() {
			t.until = now.Add(goneKeep)
		}
		if now.Before(t.until) {
			p.targets[num] = t
			p.timed = true
		}
	}
}

// nextService returns the tables of a service after its agents changed.
func nextService(old *service, name string, agents []Agent, now time.Time) *service {
	next := &service{tag: ServiceTag(name), table: NewTable(agents)}
	if old == nil {
		return next
	}
	if old.table.Len() > 0 && !next.table.Equal(old.table) {
		next.formers = append(next.formers, former{table: old.table, until: now.Add(formerKeep)})
	}
	for _, f := range old.formers {
		if now.Before(f.until) && len(next.formers) < formersMax {
			next.formers = append(next.formers, f)
		}
	}
	return next
}

// Target returns where an agent takes envelopes.
func (p *Plan) Target(num uint32) (Target, bool) {
	t, ok := p.targets[num]
	return t, ok
}

// Route is where one datagram goes.
type Route struct {
	// To is where the first agent of the chain takes envelopes.
	To netip.AddrPort
	// Chain names the agents in the order in which they are asked.
	Chain [crwire.ChainMax]uint32
	// ChainLen is how many of Chain are set.
	ChainLen int
	// AcceptFrom is the first place that may accept a new flow; the agents
	// before it take the datagram only if the flow is theirs.
	AcceptFrom int
	// Owned says that the datagram bears a connection ID of ours.
	Owned bool
}

// Route finds the way of a caller's datagram to a service.
func (p *Plan) Route(s *Sealer, name string, caller netip.AddrPort, datagram []byte, out *Route) Reason {
	svc := p.services[name]
	if svc == nil {
		return ReasonService
	}
	packet, reason := ReadPacket(datagram)
	if reason != ReasonNone {
		return reason
	}
	id, ours := s.OpenConnID(packet.DestID)
	*out = Route{}
	switch {
	case ours && id.ServiceTag != svc.tag:
		return ReasonService
	case ours:
		return p.owner(svc, id, caller, out)
	case !packet.LongHeader:
		return ReasonForged
	case len(packet.DestID) < callerIDMin:
		return ReasonHeader
	}
	return p.chain(svc, FlowKey(caller, svc.tag), out)
}

// owner routes a datagram that names its agent. When the agent is gone or its
// availability zone is out, any other agent answers with the stateless reset
// that they share, so that the caller opens a new connection at once.
func (p *Plan) owner(svc *service, id ConnID, caller netip.AddrPort, out *Route) Reason {
	out.Owned = true
	num := id.Agent
	t, ok := p.targets[num]
	switch {
	case !ok && num > p.last:
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

// chain routes a datagram of a flow that is opening: the agents that stood
// first in former tables and are still members, then the candidates of the
// table in force.
func (p *Plan) chain(svc *service, key uint64, out *Route) Reason {
	var nums [crwire.ChainMax]uint32
	now := svc.table.AppendChain(nums[:0], key, chainLen)
	if len(now) == 0 {
		return ReasonEmpty
	}
	for _, f := range svc.formers {
		num := f.table.Lookup(key)
		t, ok := p.targets[num]
		if num == now[0] || !ok || t.ZoneOut || !t.until.IsZero() || slices.Contains(out.Chain[:out.ChainLen], num) {
			continue
		}
		out.Chain[out.ChainLen] = num
		out.ChainLen++
	}
	out.AcceptFrom = out.ChainLen
	out.ChainLen += copy(out.Chain[out.ChainLen:], now)
	out.To = p.targets[out.Chain[0]].Addr
	return ReasonNone
}

// FlowKey returns the number by which tables order agents for a caller.
func FlowKey(caller netip.AddrPort, tag uint32) uint64 {
	ip := caller.Addr().As16()
	var b [22]byte
	copy(b[:], ip[:])
	b[16], b[17] = byte(caller.Port()>>8), byte(caller.Port())
	b[18], b[19], b[20], b[21] = byte(tag>>24), byte(tag>>16), byte(tag>>8), byte(tag)
	return xxhash.Sum64(b[:])
}
