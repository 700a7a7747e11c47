package cropaque

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// lateTick is from which delay of Tick on answers are assumed to wait in the
	// socket, and lateTickGrace the time to handle them.
	lateTick, lateTickGrace = 20 * time.Millisecond, 10 * time.Millisecond
	// flowRetention is how long a balancer keeps a flow without packets.
	flowRetention = 15 * time.Second
	// maxBalancerFlows limits the flows that a balancer keeps, at about 500
	// bytes each. The owner of an evicted flow is looked up again.
	maxBalancerFlows = 100_000
)

// Steering selects the agent for each packet on a balancer. To handle a lost
// zone, a lost agent or a burst, it offers a new flow to the agent that is
// expected to answer first, and that agent decides whether to take it. An
// agent that doesn't answer within a few round trips is skipped long before
// the caller repeats its packet. The loss of a balancer loses no flow: another
// balancer asks the agents who owns it. Set the exported fields before use.
// Steering is not safe for concurrent use.
type Steering struct {
	// Zone is the balancer's availability zone.
	Zone string
	// Send sends a frame to an agent.
	Send func(to netip.AddrPort, f *Frame)
	// ResetFlow resets a flow towards its caller because the flow is lost or
	// couldn't be opened; seq is the caller's last acknowledgement.
	ResetFlow func(key Key, seq uint32)
	// Random returns numbers from 0 to 1.
	Random func() float64
	// ViewFresh reports whether control has recently confirmed that the view
	// is in force.
	ViewFresh func() bool
	// LogDecision writes a decision to the log.
	LogDecision func(d Decision)
	// ControlFrames limits the frames that are sent in a second to look up owners
	// and to test agents; 0 means without limit.
	ControlFrames float64
	// LinkBytes is what the balancer's link carries in a second, in bytes; 0 means
	// unknown. When it is known, uploads share the link.
	LinkBytes float64
	// ObserveTurnWait records how long an upload waited to be opened, and
	// ObserveUplinkWait how long a packet of an upload waited for the link. They may
	// be nil.
	ObserveTurnWait, ObserveUplinkWait func(d time.Duration)
	// ObservePlacement records the time from a flow's first packet until an
	// agent has taken it. It may be nil.
	ObservePlacement func(d time.Duration)
	// EvenLoad spreads flows for even load among agents that report flows which
	// callers keep open for many requests.
	EvenLoad bool
	// ObserveChoice records how an agent was chosen and the age of its report. It
	// may be nil.
	ObserveChoice func(kind ChoiceKind, reportAge time.Duration)

	view   *crwire.View
	routes routes
	peers  map[netip.AddrPort]*peer
	// members are the agents of each service, also those that get no new flows.
	members map[string]*serviceMembers
	// formerMembers are the agents that other balancers with an older view place
	// flows on, or did until recently: without those that have just joined, and with
	// those that have just left.
	formerMembers map[string]*serviceMembers
	flows         map[Key]*balancerFlow
	// awaitingView are new flows that arrived before the first view, oldest
	// first.
	awaitingView []*balancerFlow
	// timers holds the flows that wait for an answer or a retry, ordered by
	// time.
	timers  timerQueue
	sweptAt time.Time
	answers answerTime
	// control limits the frames for lookups and pings.
	control budget
	// keptEvidence is how sure it is that callers keep the flows of a route.
	keptEvidence map[netip.AddrPort]int
	// nextTickAt is when Tick should run next. inGrace is set when the last call
	// was late and handled no timers.
	nextTickAt time.Time
	inGrace    bool
	// lateBy is how late the loop was at lateAt.
	lateBy time.Duration
	lateAt time.Time
	// uplink shares the link between uploads; nil without an upload route or a known
	// link.
	uplink *uplink
	// suspects are the silent agents that test tests.
	suspects []*peer
	test     silenceTest
}

// Init prepares the steering for use.
func (s *Steering) Init() {
	s.peers = map[netip.AddrPort]*peer{}
	s.flows = map[Key]*balancerFlow{}
	s.keptEvidence = map[netip.AddrPort]int{}
	s.control.perSecond = s.ControlFrames
	s.view = &crwire.View{}
	s.initUplink()
}

// SetView applies a newer view.
func (s *Steering) SetView(now time.Time, v *crwire.View) {
	s.view, s.routes = v, newRoutes(v)
	s.setUplink()
	s.members, s.formerMembers = map[string]*serviceMembers{}, map[string]*serviceMembers{}
	zonesOut := map[string]bool{}
	for _, z := range v.ZonesOut {
		zonesOut[z] = true
	}
	peers := map[netip.AddrPort]*peer{}
	for _, num := range slices.Sorted(maps.Keys(v.Members)) {
		m := v.Members[num]
		addr, err := netip.ParseAddrPort(m.DatagramAddr)
		if err != nil {
			s.LogDecision(Decision{Event: "agent " + m.Name + " has no address for datagrams", Revision: v.Revision})
			continue
		}
		p := s.peers[addr]
		if p == nil || p.member.Service != m.Service || p.member.Name != m.Name {
			p = &peer{addr: addr, lastFrameAt: now}
			if len(s.peers) > 0 {
				p.joinedAt = now
			}
			s.LogDecision(Decision{Event: "agent of " + m.Service + " joins", Agent: addr, Revision: v.Revision})
		}
		p.member, p.removed = m, false
		p.takesFlows = m.State == crwire.MemberActive && !zonesOut[m.Zone]
		peers[addr] = p
		addMember(s.members, p)
		if now.Sub(p.joinedAt) >= joinSettleTime {
			addMember(s.formerMembers, p)
		}
	}
	s.keepFormerPeers(now, peers)
	s.peers = peers
	s.placeAwaitingView(now)
}

// keepFormerPeers adds the agents that are no members any more to the peers of a newer
// view for a while: their flows may still be alive.
func (s *Steering) keepFormerPeers(now time.Time, peers map[netip.AddrPort]*peer) {
	for addr, p := range s.peers {
		if peers[addr] == p {
			continue
		}
		if !p.removed {
			s.LogDecision(Decision{Event: "agent of " + p.member.Service + " is no member any more", Agent: addr, Revision: s.view.Revision})
		}
		p.removed, p.takesFlows = true, false
		if peers[addr] == nil && now.Sub(p.lastFrameAt) < flowRetention {
			peers[addr] = p
			addMember(s.formerMembers, p)
		}
	}
}

// Ready reports whether new flows can be placed.
func (s *Steering) Ready() bool { return len(s.routes) > 0 && len(s.peers) > 0 }

// HandlePacket processes a packet of a caller.
func (s *Steering) HandlePacket(now time.Time, p Packet, data []byte) {
	s.noteLoopDelay(now)
	s.advanceUplink(now)
	key := p.KeyFromCaller()
	f := s.flows[key]
	if f != nil && p.Open && f.openSeen && f.callerISN != p.Seq {
		// The caller uses the port again for a new flow.
		delete(s.flows, key)
		f = nil
	}
	if f != nil {
		f.lastPacketAt = now
	}
	switch {
	case p.Open && f == nil:
		s.startFlow(now, p, data)
	case p.Open:
		s.handleDuplicateOpen(now, f, p, data)
	case f == nil:
		f = &balancerFlow{key: key, arrivedAt: now, lastPacketAt: now}
		s.addFlow(f)
		f.recordPacket(p)
		s.lookUpOwner(now, f, data)
	default:
		f.recordPacket(p)
		s.carry(now, f, p, data)
	}
}

// addFlow stores a flow. At the limit it first evicts another flow. The next
// packet of the evicted flow causes a lookup of its owner.
func (s *Steering) addFlow(f *balancerFlow) {
	if len(s.flows) >= maxBalancerFlows {
		for key, old := range s.flows {
			if old.phase != phaseOpening {
				delete(s.flows, key)
				break
			}
		}
	}
	s.flows[f.key] = f
}

// forward sends a packet of an existing flow to its owner, and looks up the
// owner if it isn't known.
func (s *Steering) forward(now time.Time, f *balancerFlow, data []byte) {
	switch f.phase {
	case phaseOwned:
		s.pingIfQuiet(now, f.owner)
		s.Send(f.owner.addr, &Frame{Kind: FrameCarry, Key: f.key, Data: data})
	case phaseOpening:
		// The caller was answered, so the agent took the flow although its
		// frame was lost.
		if f.owner != nil {
			f.phase = phaseOwned
			s.forward(now, f, data)
			return
		}
		s.lookUpOwner(now, f, data)
	case phaseLookup:
		f.keepPending(data)
	case phaseRejected:
		s.lookUpOwner(now, f, data)
	case phaseUnowned:
		if f.timerAt.IsZero() {
			s.lookUpOwner(now, f, data)
			return
		}
		f.keepPending(data)
	}
}

// HandleFrame processes a frame of an agent.
func (s *Steering) HandleFrame(now time.Time, from netip.AddrPort, fr *Frame) {
	s.advanceUplink(now)
	p := s.peers[from]
	if p == nil {
		return
	}
	if s.silent(now, p) {
		s.LogDecision(Decision{Event: "agent answers again", Agent: from, Age: now.Sub(p.unansweredSince)})
	}
	if !p.unansweredSince.IsZero() {
		s.answers.record(now.Sub(p.unansweredSince))
	}
	p.recordAnswer(now, fr)
	if fr.Kind == FrameLeave {
		p.drainingAt = now
		return
	}
	p.load, p.loadReportedAt, p.offersSinceReport = fr.Load, now, 0
	f := s.flows[fr.Key]
	switch {
	case fr.Kind == FrameRefused:
		s.handleRefused(now, p, f, fr)
	case f == nil:
	case fr.Kind == FrameTaken:
		s.learnUse(fr.Key.Service, fr.KeptRoute)
		s.handleTaken(now, p, f, fr.Number)
	case fr.Kind == FrameOwn:
		s.handleOwn(now, p, f)
	case fr.Kind == FrameMaybe, fr.Kind == FrameForeign:
		s.handleNotOwned(now, p, f, fr)
	case fr.Kind == FrameElsewhere:
		s.handleElsewhere(now, p, f, fr.Owner)
	}
}

// setTimer schedules handleTimeout for a flow after d.
func (s *Steering) setTimer(now time.Time, f *balancerFlow, d time.Duration) {
	f.timerAt = now.Add(d)
	s.timers.push(f)
}

// Tick handles expired timers. Call it every few milliseconds while HasTimers
// reports true.
//
// When Tick runs late, answers may wait in the socket that arrived in time. It then
// gives them a moment to be handled before it takes agents for silent.
func (s *Steering) Tick(now time.Time) {
	s.noteLoopDelay(now)
	s.runUplink(now)
	if !s.inGrace && !s.nextTickAt.IsZero() && now.Sub(s.nextTickAt) >= lateTick {
		s.inGrace, s.nextTickAt = true, now.Add(lateTickGrace)
		return
	}
	s.inGrace = false
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		item := s.timers.pop()
		if f := item.flow; f.timerAt.Equal(item.at) && s.flows[f.key] == f {
			s.handleTimeout(now, f)
		}
	}
	if now.Sub(s.sweptAt) >= sweepInterval {
		s.sweptAt = now
		s.sweep(now)
	}
	s.testSilentAgents(now)
	s.nextTickAt = s.nextTick()
}

// handleTimeout handles a flow whose answer has not arrived in time.
func (s *Steering) handleTimeout(now time.Time, f *balancerFlow) {
	switch f.phase {
	case phaseOpening:
		route := s.routes[f.key.Service]
		if route == nil {
			s.reject(now, f, Decision{Event: "caller is reset: its route was removed"})
			return
		}
		if p := f.owner; p != nil {
			s.LogDecision(Decision{Event: "agent doesn't answer; the flow is offered to another", Key: f.key, Agent: p.addr, Age: now.Sub(f.arrivedAt)})
			f.owner = nil
			s.ping(now, p)
		}
		s.place(now, f, route)
	case phaseLookup:
		if f.attempts < maxLookupAttempts && s.sendLookups(now, f) {
			return
		}
		s.concludeLookup(now, f)
	case phaseUnowned:
		s.resumeLookup(now, f)
	}
}

// sweep removes old flows, pings silent agents, and finds those to test.
func (s *Steering) sweep(now time.Time) {
	for _, p := range s.peers {
		if !p.unansweredSince.IsZero() {
			s.ping(now, p)
		}
	}
	if s.uplink != nil {
		s.uplink.turns.Sweep(now)
	}
	for key, f := range s.flows {
		idle := now.Sub(f.lastPacketAt)
		if idle > flowRetention || f.phase == phaseRejected && idle > rejectionRetention {
			delete(s.flows, key)
		}
	}
	s.findSuspects(now)
}

// HasTimers reports whether any flow waits for a timer or for the link.
func (s *Steering) HasTimers() bool { return len(s.timers) > 0 || !s.uplinkNextAt().IsZero() }

// UntilNextTick returns the time until Tick is next needed.
func (s *Steering) UntilNextTick(now time.Time) time.Duration {
	if s.inGrace {
		return s.nextTickAt.Sub(now)
	}
	return s.nextTick().Sub(now)
}

// nextTick returns when the next timer or sweep is due.
func (s *Steering) nextTick() time.Time {
	next := s.sweptAt.Add(sweepInterval)
	if len(s.timers) > 0 && s.timers[0].at.Before(next) {
		next = s.timers[0].at
	}
	if at := s.uplinkNextAt(); !at.IsZero() && at.Before(next) {
		next = at
	}
	if at, running := s.test.nextAt(); running && at.Before(next) {
		next = at
	}
	return next
}
