package cropaque

import (
	"math"
	"time"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// maxHold is how long a new flow that no agent can take is held before its
	// caller is reset. A reset caller comes back with its first retry.
	maxHold = 250 * time.Millisecond
	// maxOffers and maxQueueOffers limit how many agents a flow is offered to,
	// in the first round and in the round whose offers may be queued. When the
	// agents that are expected to answer first are full, the others are most
	// likely full too. Offers to all agents of a large service while callers
	// return would saturate the links of small balancers.
	maxOffers, maxQueueOffers = 4, 2
	// offerRetryInterval is the time between two rounds of offers while a flow
	// is held.
	offerRetryInterval = 30 * time.Millisecond
	// drainOfferPause is how long an agent gets no offers after it announced
	// its stop.
	drainOfferPause = time.Second
	// maxFlowsBeforeView limits the flows that wait for the first view: what a
	// balancer under full load gets in a second.
	maxFlowsBeforeView = 2_000
	// crossZonePenalty is the share of a route's target latency by which an
	// agent of another zone must be faster to be preferred: traffic between
	// zones costs money.
	crossZonePenalty = 0.25
	// failurePenalty is how many target latencies are added to the expected
	// latency of an agent that fails every request: four tries, more than
	// callers have.
	failurePenalty = 4
	// loadReportTTL is how long the load that an agent reported is used.
	loadReportTTL = 300 * time.Millisecond
)

// startFlow places a new flow. Before the first view it can only be held.
func (s *Steering) startFlow(now time.Time, p Packet, data []byte) {
	f := &balancerFlow{
		key: p.KeyFromCaller(), phase: phaseOpening, arrivedAt: now.Add(-p.Age), lastPacketAt: now,
		callerISN: p.Seq, openSeen: true,
		openPacket: append([]byte(nil), data...),
	}
	f.recordCopy(now, p)
	route := s.routes[f.key.Service]
	switch {
	case route != nil:
		s.addFlow(f)
		s.openOrWait(now, f)
	case s.Ready():
		s.reject(now, f, Decision{Event: "caller is reset: no route"})
	case len(s.flows) < maxFlowsBeforeView:
		s.addFlow(f)
		s.awaitingView = append(s.awaitingView, f)
	}
}

// placeAwaitingView places the flows that waited for the first view.
func (s *Steering) placeAwaitingView(now time.Time) {
	if len(s.awaitingView) == 0 || !s.Ready() {
		return
	}
	s.LogDecision(Decision{Event: "flows that waited for a view are placed", Age: now.Sub(s.awaitingView[0].arrivedAt), Revision: s.view.Revision})
	for _, f := range s.awaitingView {
		if s.flows[f.key] != f || f.phase != phaseOpening {
			continue
		}
		route := s.routes[f.key.Service]
		switch {
		case route == nil:
			s.reject(now, f, Decision{Event: "caller is reset: no route"})
		case now.Sub(f.arrivedAt) >= min(callerOpenTimeout, route.Timeout.D()):
			// The caller has given up.
			delete(s.flows, f.key)
		default:
			s.openOrWait(now, f)
		}
	}
	s.awaitingView = nil
}

// handleDuplicateOpen handles a copy of an opening packet whose flow is known.
func (s *Steering) handleDuplicateOpen(now time.Time, f *balancerFlow, p Packet, data []byte) {
	f.recordCopy(now, p)
	switch {
	case f.phase == phaseRejected:
		// The reset may be under way or lost.
		if f.sawAllCopies(now, s.ownDelay(now)) {
			s.ResetFlow(f.key, 0)
		}
	case f.rejected():
		if route := s.routes[f.key.Service]; route != nil {
			f.asked, f.mayQueue, f.agentFull, f.repeatedOffers = f.asked[:0], false, false, 0
			s.place(now, f, route)
		}
	case f.phase != phaseOwned || f.owner == nil:
	case f.opened:
		s.forward(now, f, data)
	default:
		// The owner forwards the copy to its backend server. If the owner doesn't
		// answer, the flow is offered to another agent.
		f.phase = phaseOpening
		f.asked = append(f.asked[:0], f.owner)
		f.mayQueue, f.agentFull = false, false
		s.offer(now, f, f.owner)
	}
}

// place offers a new flow to the agent that is expected to answer first among
// those that were not asked in this round yet.
func (s *Steering) place(now time.Time, f *balancerFlow, route *crdoc.Route) {
	limit := maxOffers
	if f.mayQueue {
		limit = maxQueueOffers
	}
	if p := s.bestAgent(now, f, route); p != nil && len(f.asked) < limit {
		f.asked = append(f.asked, p)
		s.offer(now, f, p)
		return
	}
	if f.agentFull && !f.mayQueue {
		f.mayQueue, f.agentFull = true, false
		f.asked = f.asked[:0]
		s.place(now, f, route)
		return
	}
	s.holdOrReset(now, f, route)
}

// holdOrReset schedules another round of offers for a flow that no agent
// takes, or rejects the flow. After a round whose offers may be queued, it
// is rejected at once, as a full backend server stays full for longer than
// maxHold.
func (s *Steering) holdOrReset(now time.Time, f *balancerFlow, route *crdoc.Route) {
	if f.mayQueue || now.Sub(f.arrivedAt)-f.turnWait >= holdTime(route) {
		s.reject(now, f, Decision{Event: "caller is reset: no agent takes the flow"})
		return
	}
	f.asked, f.mayQueue, f.agentFull, f.owner = f.asked[:0], false, false, nil
	s.setTimer(now, f, offerRetryInterval)
}

// holdTime returns how long a flow that no agent takes is held.
func holdTime(route *crdoc.Route) time.Duration { return min(maxHold, route.Timeout.D()/4) }

// offer sends the opening packet to an agent and waits for its answer.
func (s *Steering) offer(now time.Time, f *balancerFlow, p *peer) {
	p.offersSinceReport++
	s.markUnanswered(now, p)
	f.owner = p
	s.Send(p.addr, &Frame{Kind: FrameOffer, Key: f.key, MayQueue: f.mayQueue, Age: now.Sub(f.arrivedAt), Number: f.recordOffer(p), Data: f.openPacket})
	s.setTimer(now, f, s.answers.timeout())
}

// bestAgent returns the agent for a new flow, nil if none is left in this
// round. It prefers the service that the weights of the route select.
func (s *Steering) bestAgent(now time.Time, f *balancerFlow, route *crdoc.Route) *peer {
	for service := range servicesFor(route, hashPoint(f.key)) {
		if p := s.fastestAgent(now, f, route, s.members[service].shortList(f.key)); p != nil {
			return p
		}
	}
	return nil
}

// hashPoint maps a flow to a number from 0 to 1, the same on every balancer.
func hashPoint(key Key) float64 { return float64(flowHash(key)>>11) / (1 << 53) }

// fastestAgent returns the agent with the shortest expected latency, or the one that
// is chosen for even load.
func (s *Steering) fastestAgent(now time.Time, f *balancerFlow, route *crdoc.Route, peers []*peer) *peer {
	var best *peer
	var shortest time.Duration
	peers = s.candidatesFor(now, f, peers)
	if s.spreadsEvenly(peers) {
		return s.evenAgent(now, route, peers)
	}
	for _, p := range peers {
		if d := s.expect(now, p, route).total(s.Random()); best == nil || d < shortest {
			best, shortest = p, d
		}
	}
	if best != nil {
		s.observeChoice(now, ChoiceFastest, best)
	}
	return best
}

// failurePrice returns what an agent's failures add to its expected latency. A failed
// request costs its caller another try, and is lost if it may not be repeated, so a
// failure adds a multiple of the target. The reported share decays as it does at the
// agent, so that the agent is tried again.
func (s *Steering) failurePrice(now time.Time, p *peer, route *crdoc.Route) time.Duration {
	decay := math.Pow(failureDecay, float64(now.Sub(p.loadReportedAt)/sweepInterval))
	threshold := ignoredFailureShare
	if !route.Repeatable {
		threshold = 0
	}
	if failing := float64(p.load.FailurePermille) / 1000 * decay; failing > threshold {
		return time.Duration(failurePenalty * failing * float64(route.Target.D()))
	}
	return 0
}

// zonePrice returns what it adds to an agent's expected latency to cross zones.
func (s *Steering) zonePrice(p *peer, route *crdoc.Route) time.Duration {
	if p.member.Zone == s.Zone {
		return 0
	}
	return time.Duration(crossZonePenalty * float64(route.Target.D()))
}

// handleTaken handles an agent's answer that it has taken a flow. When two
// agents have taken the flow, the caller's acknowledgement decides between
// them: the agent whose backend server it doesn't match returns the packet.
func (s *Steering) handleTaken(now time.Time, p *peer, f *balancerFlow, number uint64) {
	if p.refusalReason != ReasonNone {
		p.refusalReason = ReasonNone
	}
	if f.phase == phaseRejected || f.refusedBy(p, number) {
		// The answer was overtaken by the return of the flow.
		return
	}
	if f.phase == phaseOwned && f.owner != p {
		if !contains(f.otherTakers, p) {
			f.otherTakers = append(f.otherTakers, p)
		}
		return
	}
	f.owner, f.phase = p, phaseOwned
	f.asked, f.timerAt = nil, time.Time{}
	if s.ObservePlacement != nil {
		s.ObservePlacement(now.Sub(f.arrivedAt))
	}
	s.LogDecision(Decision{
		Event: "flow is taken", Key: f.key, Agent: p.addr, Age: now.Sub(f.arrivedAt), Load: p.load,
		Revision: s.view.Revision, Routine: true,
	})
}

// handleRefused offers a refused flow to another agent.
func (s *Steering) handleRefused(now time.Time, p *peer, f *balancerFlow, fr *Frame) {
	p.refusedAt, p.refusalReason = now, fr.Reason
	if f == nil || f.opened {
		return
	}
	f.recordRefusal(p, fr.Number)
	route := s.routes[f.key.Service]
	switch {
	case f.rejected():
		s.reject(now, f, f.rejection)
	case f.owner != p || f.awaitsLaterAnswer(p, fr.Number):
	case f.phase == phaseOwned:
		s.handleGivenBack(now, p, f, fr.Reason)
	case f.phase == phaseOpening:
		f.agentFull = f.agentFull || fr.Reason == ReasonFull
		if route != nil {
			s.place(now, f, route)
		}
	}
}

// handleGivenBack offers a flow to another agent after its owner, which had taken it,
// has given it back. A flow that has waited for long is rejected.
func (s *Steering) handleGivenBack(now time.Time, p *peer, f *balancerFlow, reason Reason) {
	if len(f.otherTakers) > 0 {
		f.owner, f.otherTakers = f.otherTakers[0], f.otherTakers[1:]
		return
	}
	f.asked, f.mayQueue, f.agentFull = append(f.asked[:0], p), false, false
	route := s.routes[f.key.Service]
	if route != nil && now.Sub(f.arrivedAt) < holdTime(route) {
		f.phase, f.owner = phaseOpening, nil
		s.place(now, f, route)
		return
	}
	s.reject(now, f, Decision{Event: "caller is reset: the flow was given back", Agent: p.addr, Reason: reason})
}
