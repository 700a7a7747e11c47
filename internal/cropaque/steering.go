package cropaque

import (
	"hash/maphash"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// answerWait is how long an agent may take to answer a frame before the
	// flow is offered elsewhere: ten ways there and back between zones of one
	// region.
	answerWait = 40 * time.Millisecond
	// holdWait is how long a new flow that nobody can take now is held before
	// its caller is told: callers return within their first retry.
	holdWait = 250 * time.Millisecond
	// firstMax and finalMax are how many agents are asked in the first round of
	// offers and in the one that may wait at an agent. When that many of those
	// that are expected to answer first are full, the others are as good as
	// full; asking all of a large service while callers return fills the links
	// of small balancers.
	firstMax, finalMax = 4, 2
	// holdPause is the time between two rounds of offers meanwhile.
	holdPause = 30 * time.Millisecond
	// seekTries is how often an agent that doesn't answer is asked for a flow.
	seekTries = 3
	// lostAfter is how long all agents must disown a flow before its caller is
	// told, so that agents that just joined are known by then.
	lostAfter = 300 * time.Millisecond
	// silentAfter is how long an agent may leave frames unanswered before its
	// repeatable flows are given up.
	silentAfter = time.Second
	// pingAfter is how long a balancer waits for any sign of an agent that it
	// sends to before it asks for one.
	pingAfter = 100 * time.Millisecond
	// rememberFor is how long a balancer remembers a flow without packets.
	rememberFor = 15 * time.Second
	// tableMax bounds the flows that a balancer remembers. Each takes about
	// 500 bytes; a flow that was forgotten is sought again.
	tableMax = 100_000
	// leftFor is how long an agent that said that it stops gets no offers.
	leftFor = time.Second
	// earlyMax bounds the flows that wait for the first view: what a full
	// balancer gets in a second.
	earlyMax = 2_000
	// pendingMax bounds the packets that a sought flow holds.
	pendingMax = 4
	// crossShare is the part of a route's target that another zone's agent
	// must be faster by to be preferred: bytes between zones are paid for.
	crossShare = 0.25
	// failWeight is how many times the target a certain failure weighs: four
	// tries, more than callers have.
	failWeight = 4
	// staleLoad is how long a report of an agent's load is worth something.
	staleLoad = 300 * time.Millisecond
)

// Steering decides which agent gets a packet on a balancer. It answers the
// load patterns of a lost zone, a lost agent and a burst: a new flow goes to the
// agent that is expected to answer first, the agent itself has the last word,
// and one that doesn't answer within a few round trips is passed over long
// before the caller repeats its packet. A balancer holds nothing that is lost
// with it: another one asks the agents who owns a flow. Set the exported fields
// before use. It is not safe for concurrent use.
type Steering struct {
	// Zone is the balancer's availability zone.
	Zone string
	// Send sends a frame to an agent.
	Send func(to netip.AddrPort, f *Frame)
	// ResetFlow tells a caller that its flow is lost or wasn't opened; seq is what
	// it last acknowledged.
	ResetFlow func(key Key, seq uint32)
	// Random returns numbers from 0 to 1.
	Random func() float64
	// ViewFresh says whether control has lately proven that the view is in force.
	ViewFresh func() bool
	// LogDecision takes a decision for the log.
	LogDecision func(n Decision)
	// ObservePlacement takes the time from a flow's first packet to its owner; nil ignores
	// it.
	ObservePlacement func(d time.Duration)

	view   *crwire.View
	routes routes
	seed   maphash.Seed
	peers  map[netip.AddrPort]*peer
	// byService lists the agents of each service.
	byService map[string][]*peer
	flows     map[Key]*flow
	// early are new flows that came before the first view, in their order.
	early []*flow
	// due holds flows that something must happen to, ordered by time because
	// all waits of one list are alike.
	due   dueQueue
	swept time.Time
}

// peer is an agent as a balancer knows it.
type peer struct {
	member crwire.Member
	addr   netip.AddrPort
	load   Load
	// reported is when load came, heard is when any frame came.
	reported, heard time.Time
	// asked is when the oldest question without any sign of the agent since
	// was sent, zero for none; pinged is when it was last pinged.
	asked, pinged time.Time
	// given counts the offers since the last report.
	given int
	// refused is when it last refused for a reason that lasts, and why.
	refused time.Time
	reason  Reason
	// left is when it said that it stops. It may come back under its name.
	left time.Time
	// gone says that it is no member any more. Its flows may still live: a
	// member that is cut off from control alone loses its membership too.
	gone bool
}

// phase is what a flow waits for.
type phase int

const (
	// phaseOpening waits for an agent to take it.
	phaseOpening phase = iota
	// phaseOwned has an owner.
	phaseOwned
	// phaseSeeking waits for an agent to own up.
	phaseSeeking
	// phaseUnknown was disowned by all.
	phaseUnknown
)

// flow is a flow as a balancer knows it.
type flow struct {
	key   Key
	phase phase
	owner *peer
	// first holds the opening packet while no agent has taken it.
	first []byte
	// pending holds later packets while the owner is sought.
	pending [][]byte
	// asked are the agents that have been offered the flow or asked for it in
	// this round; maybe are those that may own it.
	asked, answered, maybe []*peer
	// also are agents that took the flow after its owner had.
	also []*peer
	// final marks the round of offers that may wait at an agent.
	final bool
	// full says that an agent had no free slot in this round.
	full bool
	// came is when the first packet came, last the latest, lost when all
	// agents first disowned it.
	came, last, lost time.Time
	acked            uint32
	opened, ended    bool
	tries            int
	due              time.Time
}

// Init makes the steering ready.
func (s *Steering) Init() {
	s.peers = map[netip.AddrPort]*peer{}
	s.flows = map[Key]*flow{}
	s.seed = maphash.MakeSeed()
	s.view = &crwire.View{}
}

// SetView takes a later view.
func (s *Steering) SetView(now time.Time, v *crwire.View) {
	s.view, s.routes = v, newRoutes(v)
	s.byService = map[string][]*peer{}
	out := map[string]bool{}
	for _, z := range v.ZonesOut {
		out[z] = true
	}
	known := map[netip.AddrPort]*peer{}
	for _, num := range slices.Sorted(maps.Keys(v.Members)) {
		m := v.Members[num]
		addr, err := netip.ParseAddrPort(m.DatagramAddr)
		if err != nil {
			s.LogDecision(Decision{Event: "agent " + m.Name + " has no address for datagrams", Revision: v.Revision})
			continue
		}
		p := s.peers[addr]
		if p == nil || p.member.Service != m.Service || p.member.Name != m.Name {
			p = &peer{addr: addr, heard: now}
			s.LogDecision(Decision{Event: "agent of " + m.Service + " joins", Agent: addr, Revision: v.Revision})
		}
		p.member, p.gone = m, false
		known[addr] = p
		if m.State == crwire.MemberActive && !out[m.Zone] {
			s.byService[m.Service] = append(s.byService[m.Service], p)
		}
	}
	for addr, p := range s.peers {
		if known[addr] == p {
			continue
		}
		if !p.gone {
			s.LogDecision(Decision{Event: "agent of " + p.member.Service + " is no member any more", Agent: addr, Revision: v.Revision})
		}
		p.gone = true
		if known[addr] == nil && now.Sub(p.heard) < rememberFor {
			known[addr] = p
		}
	}
	s.peers = known
	s.placeEarly(now)
}

// Ready says whether new flows can be placed.
func (s *Steering) Ready() bool { return len(s.routes) > 0 && len(s.peers) > 0 }

// HandlePacket takes a packet of a caller.
func (s *Steering) HandlePacket(now time.Time, p Packet, data []byte) {
	key := p.KeyFromCaller()
	f := s.flows[key]
	if f != nil {
		f.last = now
	}
	switch {
	case p.Open && f == nil:
		s.begin(now, p, data)
	case p.Open:
		s.repeat(now, f, data)
	case f == nil:
		f = &flow{key: key, came: now, last: now}
		s.remember(f)
		f.note(p)
		s.seek(now, f, data)
	default:
		f.note(p)
		s.later(now, f, data)
	}
}

// note remembers what a packet of the caller says.
func (f *flow) note(p Packet) {
	if p.Ack {
		f.acked = p.Acked
	}
	f.opened = true
	f.ended = f.ended || p.End || p.Reset
}

// remember keeps a flow; a flow that is forgotten for it is sought again.
func (s *Steering) remember(f *flow) {
	if len(s.flows) >= tableMax {
		for key, old := range s.flows {
			if old.phase != phaseOpening {
				delete(s.flows, key)
				break
			}
		}
	}
	s.flows[f.key] = f
}

// begin places a new flow. Before the first view it can only be held.
func (s *Steering) begin(now time.Time, p Packet, data []byte) {
	f := &flow{
		key: p.KeyFromCaller(), phase: phaseOpening, came: now.Add(-p.Age), last: now, first: append([]byte(nil), data...),
	}
	route := s.routes[f.key.Service]
	switch {
	case route != nil:
		s.remember(f)
		s.place(now, f, route)
	case s.Ready():
		s.LogDecision(Decision{Event: "caller is reset: no route", Key: f.key, Revision: s.view.Revision})
		s.ResetFlow(f.key, 0)
	case len(s.flows) < earlyMax:
		s.remember(f)
		s.early = append(s.early, f)
	}
}

// placeEarly places the flows that waited for the first view.
func (s *Steering) placeEarly(now time.Time) {
	if len(s.early) == 0 || !s.Ready() {
		return
	}
	s.LogDecision(Decision{Event: "flows that waited for a view are placed", Age: now.Sub(s.early[0].came), Revision: s.view.Revision})
	for _, f := range s.early {
		if s.flows[f.key] != f || f.phase != phaseOpening {
			continue
		}
		route := s.routes[f.key.Service]
		switch {
		case route == nil:
			delete(s.flows, f.key)
			s.ResetFlow(f.key, 0)
		case now.Sub(f.came) >= min(attemptWait, route.Timeout.D()):
			// Its caller has given up.
			delete(s.flows, f.key)
		default:
			s.place(now, f, route)
		}
	}
	s.early = nil
}

// repeat handles another copy of an opening packet.
func (s *Steering) repeat(now time.Time, f *flow, data []byte) {
	if f.phase != phaseOwned || f.owner == nil {
		return
	}
	if f.opened {
		s.later(now, f, data)
		return
	}
	// The owner gives the copy to its backend server; an owner that doesn't
	// answer is passed over.
	f.phase, f.first = phaseOpening, append([]byte(nil), data...)
	f.asked = append(f.asked[:0], f.owner)
	f.final, f.full = false, false
	s.offer(now, f, f.owner)
}

// later carries a packet of a flow that isn't new.
func (s *Steering) later(now time.Time, f *flow, data []byte) {
	switch f.phase {
	case phaseOwned:
		s.watch(now, f.owner)
		s.Send(f.owner.addr, &Frame{Kind: FrameCarry, Key: f.key, Data: data})
	case phaseOpening:
		// The caller has been answered, though the agent's word is lost.
		if f.owner != nil {
			f.phase = phaseOwned
			s.later(now, f, data)
			return
		}
		s.seek(now, f, data)
	case phaseSeeking:
		if len(f.pending) < pendingMax {
			f.pending = append(f.pending, append([]byte(nil), data...))
		}
	case phaseUnknown:
		s.seek(now, f, data)
	}
}

// watch asks for a sign of an agent that gets packets and has sent none for a
// while, as carried packets have no answer.
func (s *Steering) watch(now time.Time, p *peer) {
	if now.Sub(p.heard) >= pingAfter {
		s.ping(now, p)
	}
}

// ping asks an agent for a sign, not too often.
func (s *Steering) ping(now time.Time, p *peer) {
	if now.Sub(p.pinged) < pingAfter {
		return
	}
	p.pinged = now
	s.question(now, p)
	s.Send(p.addr, &Frame{Kind: FramePing})
}

// question notes that an agent owes an answer.
func (s *Steering) question(now time.Time, p *peer) {
	if p.asked.IsZero() {
		p.asked = now
	}
}

// place offers a new flow to the agent that is expected to answer first among
// those that were not asked yet in this round.
func (s *Steering) place(now time.Time, f *flow, route *crdoc.Route) {
	bound := firstMax
	if f.final {
		bound = finalMax
	}
	if p := s.best(now, f, route); p != nil && len(f.asked) < bound {
		f.asked = append(f.asked, p)
		s.offer(now, f, p)
		return
	}
	if f.full && !f.final {
		f.final, f.full = true, false
		f.asked = f.asked[:0]
		s.place(now, f, route)
		return
	}
	s.hold(now, f, route)
}

// hold keeps a flow that nobody takes for a moment, then tells the caller. A
// backend server that is full is full for longer than that.
func (s *Steering) hold(now time.Time, f *flow, route *crdoc.Route) {
	if f.final || now.Sub(f.came) >= min(holdWait, route.Timeout.D()/4) {
		s.LogDecision(Decision{Event: "caller is reset: no agent takes the flow", Key: f.key, Age: now.Sub(f.came), Revision: s.view.Revision})
		delete(s.flows, f.key)
		s.ResetFlow(f.key, 0)
		return
	}
	f.asked, f.final, f.full, f.owner = f.asked[:0], false, false, nil
	s.wait(now, f, holdPause)
}

// offer sends the opening packet to an agent and waits for its answer.
func (s *Steering) offer(now time.Time, f *flow, p *peer) {
	p.given++
	s.question(now, p)
	f.owner = p
	s.Send(p.addr, &Frame{Kind: FrameOffer, Key: f.key, MayQueue: f.final, Age: now.Sub(f.came), Data: f.first})
	s.wait(now, f, answerWait)
}

// best returns the agent for a new flow, nil when all were asked.
func (s *Steering) best(now time.Time, f *flow, route *crdoc.Route) *peer {
	service := pick(route, s.at(f.key))
	if p := s.least(now, f, route, s.byService[service]); p != nil {
		return p
	}
	for _, share := range route.Shares {
		if share.Service == service || share.Weight <= 0 {
			continue
		}
		if p := s.least(now, f, route, s.byService[share.Service]); p != nil {
			return p
		}
	}
	return nil
}

// at returns the place of a flow between 0 and 1.
func (s *Steering) at(key Key) float64 {
	return float64(maphash.Comparable(s.seed, key)>>11) / (1 << 53)
}

// least returns the agent of a service with the shortest expected time.
func (s *Steering) least(now time.Time, f *flow, route *crdoc.Route, peers []*peer) *peer {
	var best *peer
	var shortest time.Duration
	for _, p := range peers {
		if now.Sub(p.left) < leftFor || contains(f.asked, p) || s.passedOver(now, p, f.final) {
			continue
		}
		if d := s.expected(now, p, route); best == nil || d < shortest {
			best, shortest = p, d
		}
	}
	return best
}

// passedOver says whether an agent isn't worth an offer now.
func (s *Steering) passedOver(now time.Time, p *peer, final bool) bool {
	if final && p.reason != ReasonNone && p.reason != ReasonFull && now.Sub(p.refused) < holdPause {
		return true
	}
	lasts := p.reason == ReasonDraining || p.reason == ReasonAbsent || p.reason == ReasonSilent
	if lasts && now.Sub(p.refused) < holdPause {
		return true
	}
	// A silent agent is asked again by a ping, not by a caller's flow.
	return s.silent(now, p)
}

// silent says whether an agent has left frames without an answer.
func (s *Steering) silent(now time.Time, p *peer) bool {
	return !p.asked.IsZero() && now.Sub(p.asked) >= answerWait
}

// expected returns how long an agent is expected to take for another request.
func (s *Steering) expected(now time.Time, p *peer, route *crdoc.Route) time.Duration {
	slots, pace := max(1, p.load.Slots), p.load.MeanLatency
	if pace <= 0 {
		pace = paceDefault
	}
	under := float64(p.given)
	if now.Sub(p.reported) < staleLoad {
		under += float64(p.load.Busy + p.load.Queued)
	}
	over := max(0, under+1-float64(slots)) / float64(slots)
	d := float64(pace) * (1 + over + s.Random()/2)
	// Slots that are nearly all taken may be gone when the offer arrives.
	d += float64(pace) * under / float64(slots) / 2
	// A request that fails costs its caller another try, and one that may not
	// be repeated is lost: that weighs as much as a few times the target.
	// A report fades as the share does at the agent, so that it is tried again.
	fade := math.Pow(fadeShare, float64(now.Sub(p.reported)/sweepEvery))
	least := failMin
	if !route.Repeatable {
		least = 0
	}
	if failing := float64(p.load.FailurePermille) / 1000 * fade; failing > least {
		d += failWeight * failing * float64(route.Target.D())
	}
	if p.member.Zone != s.Zone {
		d += crossShare * float64(route.Target.D())
	}
	return time.Duration(d)
}

// contains says whether an agent is in a short list.
func contains(list []*peer, p *peer) bool {
	for _, q := range list {
		if q == p {
			return true
		}
	}
	return false
}

// HandleFrame takes a frame of an agent.
func (s *Steering) HandleFrame(now time.Time, from netip.AddrPort, fr *Frame) {
	p := s.peers[from]
	if p == nil {
		return
	}
	if s.silent(now, p) {
		s.LogDecision(Decision{Event: "agent answers again", Agent: from, Age: now.Sub(p.asked)})
	}
	p.heard, p.asked = now, time.Time{}
	if fr.Kind == FrameLeave {
		p.left = now
		return
	}
	p.load, p.reported, p.given = fr.Load, now, 0
	f := s.flows[fr.Key]
	switch {
	case fr.Kind == FrameRefused:
		s.refused(now, p, f, fr.Reason)
	case f == nil:
	case fr.Kind == FrameTaken:
		s.taken(now, p, f)
	case fr.Kind == FrameOwn:
		s.owned(now, p, f)
	case fr.Kind == FrameMaybe, fr.Kind == FrameForeign:
		s.disowned(now, p, f, fr)
	}
}

// taken notes that an agent has taken a flow. When two have, the caller's
// acknowledgement decides; the agent that it isn't for says so.
func (s *Steering) taken(now time.Time, p *peer, f *flow) {
	if p.reason != ReasonNone {
		p.reason = ReasonNone
	}
	if f.phase == phaseOwned && f.owner != p {
		if !contains(f.also, p) {
			f.also = append(f.also, p)
		}
		return
	}
	f.owner, f.phase, f.first = p, phaseOwned, nil
	f.asked, f.due = nil, time.Time{}
	if s.ObservePlacement != nil {
		s.ObservePlacement(now.Sub(f.came))
	}
	s.LogDecision(Decision{
		Event: "flow is taken", Key: f.key, Agent: p.addr, Age: now.Sub(f.came), Load: p.load,
		Revision: s.view.Revision, Routine: true,
	})
}

// refused offers a flow elsewhere.
func (s *Steering) refused(now time.Time, p *peer, f *flow, reason Reason) {
	p.refused, p.reason = now, reason
	if f == nil || f.owner != p || f.opened {
		return
	}
	if f.phase == phaseOwned {
		// It was taken and then given back; the packet is kept by nobody but
		// the caller, who repeats it.
		f.phase, f.owner = phaseOpening, nil
		delete(s.flows, f.key)
		if reason == ReasonGone || reason == ReasonSilent || reason == ReasonFull {
			s.LogDecision(Decision{Event: "caller is reset: the flow was given back", Key: f.key, Agent: p.addr, Reason: reason, Age: now.Sub(f.came)})
			s.ResetFlow(f.key, 0)
		}
		return
	}
	if f.phase != phaseOpening {
		return
	}
	f.full = f.full || reason == ReasonFull
	if route := s.routes[f.key.Service]; route != nil {
		s.place(now, f, route)
	}
}

// seek asks all agents that a flow may be at who owns it.
func (s *Steering) seek(now time.Time, f *flow, data []byte) {
	f.phase, f.owner, f.tries = phaseSeeking, nil, 0
	f.pending = append(f.pending[:0], append([]byte(nil), data...))
	f.asked, f.answered, f.maybe = f.asked[:0], f.answered[:0], f.maybe[:0]
	route := s.routes[f.key.Service]
	if route == nil {
		// Its route was dropped, or isn't known yet.
		f.phase, f.pending = phaseUnknown, nil
		return
	}
	for _, p := range s.peers {
		if leads(route, p.member.Service) {
			f.asked = append(f.asked, p)
		}
	}
	s.ask(now, f)
}

// ask sends the question to those that have not answered.
func (s *Steering) ask(now time.Time, f *flow) {
	f.tries++
	for _, p := range f.asked {
		if !contains(f.answered, p) {
			s.question(now, p)
			s.Send(p.addr, &Frame{Kind: FrameSeek, Key: f.key})
		}
	}
	s.wait(now, f, answerWait)
}

// owned gives a sought flow to its owner.
func (s *Steering) owned(now time.Time, p *peer, f *flow) {
	if f.phase == phaseOwned {
		return
	}
	s.LogDecision(Decision{Event: "flow is found", Key: f.key, Agent: p.addr, Age: now.Sub(f.came)})
	s.give(now, p, f)
}

// give makes an agent the owner and sends it what waits.
func (s *Steering) give(now time.Time, p *peer, f *flow) {
	f.phase, f.owner, f.due, f.lost = phaseOwned, p, time.Time{}, time.Time{}
	pending := f.pending
	f.pending = nil
	for _, data := range pending {
		s.later(now, f, data)
	}
}

// disowned notes that a flow isn't an agent's, or may be.
func (s *Steering) disowned(now time.Time, p *peer, f *flow, fr *Frame) {
	if f.phase == phaseOwned && f.owner == p && fr.Kind == FrameForeign {
		s.handOver(now, p, f, fr.Data)
		return
	}
	if f.phase != phaseSeeking || contains(f.answered, p) {
		return
	}
	f.answered = append(f.answered, p)
	if fr.Kind == FrameMaybe {
		f.maybe = append(f.maybe, p)
	}
	if len(f.answered) == len(f.asked) {
		s.concludeSearch(now, f)
	}
}

// handOver gives a flow that its supposed owner disowns to the next agent that
// may hold it.
func (s *Steering) handOver(now time.Time, p *peer, f *flow, data []byte) {
	f.maybe = without(f.maybe, p)
	if len(f.also) > 0 {
		next := f.also[0]
		f.also = append(f.also[1:], p)
		f.tries++
		if f.tries > seekTries {
			f.also = nil
		}
		f.owner = next
		s.later(now, f, data)
		return
	}
	if len(f.maybe) > 0 {
		f.owner = f.maybe[0]
		s.later(now, f, data)
		return
	}
	if f.lost.IsZero() {
		f.lost = now
	}
	s.seek(now, f, data)
}

// without returns a list without an agent.
func without(list []*peer, p *peer) []*peer {
	var out []*peer
	for _, q := range list {
		if q != p {
			out = append(out, q)
		}
	}
	return out
}

// concludeSearch decides about a flow that no agent owns for certain.
func (s *Steering) concludeSearch(now time.Time, f *flow) {
	if len(f.maybe) > 0 {
		s.give(now, f.maybe[0], f)
		return
	}
	f.phase, f.pending, f.due = phaseUnknown, nil, time.Time{}
	if f.lost.IsZero() {
		f.lost = now
		return
	}
	whole := len(f.answered) == len(f.asked) && len(f.asked) > 0
	if whole && now.Sub(f.lost) >= lostAfter && s.ViewFresh() && !f.ended {
		s.LogDecision(Decision{Event: "caller is reset: no agent owns the flow", Key: f.key, Age: now.Sub(f.lost), Revision: s.view.Revision})
		delete(s.flows, f.key)
		s.ResetFlow(f.key, f.acked)
	}
}

// wait looks at a flow again after d.
func (s *Steering) wait(now time.Time, f *flow, d time.Duration) {
	f.due = now.Add(d)
	s.due.push(f)
}

// Tick finds what is overdue; call it every few milliseconds while flows wait.
func (s *Steering) Tick(now time.Time) {
	for len(s.due) > 0 && !s.due[0].at.After(now) {
		item := s.due.pop()
		if f := item.flow; f.due.Equal(item.at) && s.flows[f.key] == f {
			s.overdue(now, f)
		}
	}
	if now.Sub(s.swept) >= sweepEvery {
		s.swept = now
		s.sweep(now)
	}
}

// overdue handles a flow whose answer has not come.
func (s *Steering) overdue(now time.Time, f *flow) {
	switch f.phase {
	case phaseOpening:
		route := s.routes[f.key.Service]
		if route == nil {
			delete(s.flows, f.key)
			s.ResetFlow(f.key, 0)
			return
		}
		if p := f.owner; p != nil {
			s.LogDecision(Decision{Event: "agent doesn't answer; the flow is offered to another", Key: f.key, Agent: p.addr, Age: now.Sub(f.came)})
			f.owner = nil
			s.ping(now, p)
		}
		s.place(now, f, route)
	case phaseSeeking:
		if f.tries < seekTries {
			s.ask(now, f)
			return
		}
		s.concludeSearch(now, f)
	}
}

// sweep forgets old flows, pings silent agents, and tells callers whose agent
// has been silent for long or is gone.
func (s *Steering) sweep(now time.Time) {
	for _, p := range s.peers {
		if !p.asked.IsZero() {
			s.ping(now, p)
		}
	}
	for key, f := range s.flows {
		if now.Sub(f.last) > rememberFor {
			delete(s.flows, key)
			continue
		}
		if f.phase == phaseOwned && !f.ended {
			s.giveUp(now, key, f)
		}
	}
}

// giveUp tells the caller of a flow whose agent has been silent for long, if
// the agent is no member any more or the caller may repeat its request. The
// caller of another one may still get its answer, and has no use for less.
func (s *Steering) giveUp(now time.Time, key Key, f *flow) {
	p := f.owner
	if p.gone || s.peers[p.addr] != p {
		s.ping(now, p)
	}
	if p.asked.IsZero() || now.Sub(p.asked) < silentAfter {
		return
	}
	route := s.routes[key.Service]
	if !p.gone && (route == nil || !route.Repeatable) {
		return
	}
	event := "caller is reset: its agent is silent"
	if p.gone {
		event = "caller is reset: its agent is silent and no member any more"
	}
	s.LogDecision(Decision{Event: event, Key: key, Agent: p.addr, Age: now.Sub(p.heard)})
	delete(s.flows, key)
	s.ResetFlow(key, f.acked)
}

// HasTimers says whether something is due soon.
func (s *Steering) HasTimers() bool { return len(s.due) > 0 }

// UntilNextTick returns how long nothing is due.
func (s *Steering) UntilNextTick(now time.Time) time.Duration {
	next := s.swept.Add(sweepEvery)
	if len(s.due) > 0 && s.due[0].at.Before(next) {
		next = s.due[0].at
	}
	return next.Sub(now)
}
