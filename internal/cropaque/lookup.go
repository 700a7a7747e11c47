package cropaque

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxLookupAttempts is how often an agent that doesn't answer is asked
	// whether it owns a flow.
	maxLookupAttempts = 3
	// denialTTL is how long an agent's denial of ownership is remembered. A flow that
	// is open doesn't change its owner.
	denialTTL = 5 * time.Second
	// candidateTimeout is how long the answers of a lookup are used while agents
	// that may own the flow get its packets in turn.
	candidateTimeout = time.Second
	// unownedResetDelay is how long all agents that were asked must have denied
	// ownership of a flow before its caller is reset, so that agents that just
	// joined are known by then: 99 of 100 balancers have a new view in that time.
	unownedResetDelay = 300 * time.Millisecond
	// joinSettleTime is how long an agent must have been a member until owners that it
	// has pushed out of short lists are known there: they have the view by then, and
	// have sent their hints.
	joinSettleTime = 5 * time.Second
	// maxPendingPackets limits the packets kept for a flow during a lookup.
	maxPendingPackets = 4
)

// lookupScope is which agents a lookup asks. Each scope includes the ones before it.
type lookupScope int

const (
	// scopeOffered are the agents to which this balancer has offered the flow.
	scopeOffered lookupScope = iota
	// scopeShortList are the agents among which any balancer places the flow. They may
	// know owners that agents that joined have pushed out of the list.
	scopeShortList
	// scopeRecent are the agents that may have been on the short list while flows of now
	// were opened.
	scopeRecent
	// scopeAll are all agents of the services that may hold the flow. They are asked as
	// the last resort, if the budget has plenty.
	scopeAll
)

// lookUpOwner asks agents which of them owns a flow: at first those that are most
// likely to. Agents that have denied it aren't asked again for a while.
func (s *Steering) lookUpOwner(now time.Time, f *balancerFlow, data []byte) {
	f.keepPending(data)
	if f.phase != phaseUnowned || now.Sub(f.lookedUpAt) > denialTTL {
		f.asked, f.answered, f.candidates = f.asked[:0], f.answered[:0], f.candidates[:0]
		f.unownedSince = time.Time{}
	}
	s.resumeLookup(now, f)
}

// keepPending keeps a packet, if there is one, until the owner is known.
func (f *balancerFlow) keepPending(data []byte) {
	if len(data) > 0 && len(f.pending) < maxPendingPackets {
		f.pending = append(f.pending, append([]byte(nil), data...))
	}
}

// resumeLookup asks the agents of the scopes, one scope after the other, that haven't
// denied ownership yet.
func (s *Steering) resumeLookup(now time.Time, f *balancerFlow) {
	f.phase, f.owner, f.scope, f.tentative, f.lookedUpAt = phaseLookup, nil, scopeOffered, false, now
	if s.routes[f.key.Service] == nil {
		f.abandonLookup()
		return
	}
	s.askScope(now, f, f.offeredAgents())
}

// abandonLookup ends a lookup of a flow whose route was removed or isn't known yet. Nothing
// tells then who may hold the flow, so its caller isn't reset. The caller's next packet
// begins a lookup if the route is there again.
func (f *balancerFlow) abandonLookup() {
	f.phase, f.pending, f.timerAt = phaseUnowned, nil, time.Time{}
}

// askScope asks the agents of a scope that haven't answered, or goes on with the next
// scope if there are none.
func (s *Steering) askScope(now time.Time, f *balancerFlow, list []*peer) {
	for _, p := range list {
		if !contains(f.asked, p) {
			f.asked = append(f.asked, p)
		}
	}
	f.attempts = 0
	switch {
	case len(f.asked) == len(f.answered):
		s.concludeLookup(now, f)
	case !s.sendLookups(now, f):
		s.endLookup(now, f)
	}
}

// widenLookup asks the agents of the next scope.
func (s *Steering) widenLookup(now time.Time, f *balancerFlow) {
	switch f.scope {
	case scopeOffered:
		f.scope = scopeShortList
		s.askScope(now, f, s.shortListOf(now, f))
	case scopeShortList:
		f.scope = scopeRecent
		s.askScope(now, f, s.recentListOf(now, f))
	case scopeRecent:
		all := s.agentsOf(now, f)
		if f.unownedSince.IsZero() || now.Sub(f.unownedSince) < unownedResetDelay || !s.control.hasPlenty(now, len(all)) {
			s.endLookup(now, f)
			return
		}
		f.scope = scopeAll
		s.askScope(now, f, all)
	default:
		s.endLookup(now, f)
	}
}

// shortListOf returns the agents on a flow's short list of each service that may hold the
// flow, in this view and as it was before the latest changes of the members.
func (s *Steering) shortListOf(now time.Time, f *balancerFlow) []*peer {
	return s.listOf(now, f, (*serviceMembers).shortList)
}

// recentListOf returns the agents that may have been on a flow's short list since the flow
// was opened, whatever agents have joined or were restarted since.
func (s *Steering) recentListOf(now time.Time, f *balancerFlow) []*peer {
	return s.listOf(now, f, (*serviceMembers).recentList)
}

// listOf returns what a list holds for a flow, of each service that may hold the flow, in
// this view and as it was before the latest changes of the members.
func (s *Steering) listOf(now time.Time, f *balancerFlow, listOf func(*serviceMembers, Key) []*peer) []*peer {
	var list []*peer
	for service := range s.routes[f.key.Service].Holders() {
		list = append(list, listOf(s.members[service], f.key)...)
		for _, p := range listOf(s.formerMembers[service], f.key) {
			if !contains(list, p) && (!p.removed || !p.lost(now)) {
				list = append(list, p)
			}
		}
	}
	return list
}

// agentsOf returns all agents of the services that may hold a flow, but for former
// members that have been silent for long.
func (s *Steering) agentsOf(now time.Time, f *balancerFlow) []*peer {
	holders := slices.Collect(s.routes[f.key.Service].Holders())
	var list []*peer
	for _, p := range s.peers {
		if slices.Contains(holders, p.member.Service) && (!p.removed || !p.lost(now)) {
			list = append(list, p)
		}
	}
	return list
}

// sendLookups asks the agents that have not answered, and reports whether the budget
// allows it.
func (s *Steering) sendLookups(now time.Time, f *balancerFlow) bool {
	if !s.control.take(now, len(f.asked)-len(f.answered)) {
		s.LogDecision(Decision{Event: "lookup is put off: too many frames for control", Key: f.key, Age: now.Sub(f.arrivedAt)})
		return false
	}
	f.attempts++
	for _, p := range f.asked {
		if !contains(f.answered, p) {
			s.markUnanswered(now, p)
			s.Send(p.addr, &Frame{Kind: FrameSeek, Key: f.key})
		}
	}
	s.setTimer(now, f, s.answers.timeout())
	return true
}

// handleOwn handles an agent's answer that it owns a flow.
func (s *Steering) handleOwn(now time.Time, p *peer, f *balancerFlow) {
	if f.phase == phaseOwned && !f.tentative {
		return
	}
	s.LogDecision(Decision{Event: "flow is found", Key: f.key, Agent: p.addr, Age: now.Sub(f.arrivedAt)})
	s.setOwner(now, p, f)
}

// setOwner makes an agent the owner of a flow and sends it the pending
// packets.
func (s *Steering) setOwner(now time.Time, p *peer, f *balancerFlow) {
	f.phase, f.owner, f.timerAt, f.unownedSince, f.tentative = phaseOwned, p, time.Time{}, time.Time{}, false
	pending := f.pending
	f.pending = nil
	for _, data := range pending {
		s.forward(now, f, data)
	}
}

// setTentativeOwner sends a flow's packets to an agent that may own it. The lookup
// goes on if the agent returns them, so the time of the first denial stays.
func (s *Steering) setTentativeOwner(now time.Time, p *peer, f *balancerFlow) {
	unownedSince := f.unownedSince
	s.setOwner(now, p, f)
	f.tentative, f.unownedSince = true, unownedSince
}

// handleNotOwned handles a FrameForeign or a FrameMaybe of an agent.
func (s *Steering) handleNotOwned(now time.Time, p *peer, f *balancerFlow, fr *Frame) {
	if f.phase == phaseOwned && f.owner == p && fr.Kind == FrameForeign {
		s.tryNextOwner(now, p, f, fr.Data)
		return
	}
	if !f.awaitsAnswer(p) {
		return
	}
	f.answered = append(f.answered, p)
	if fr.Kind == FrameMaybe {
		f.candidates = append(f.candidates, p)
	}
	if f.phase == phaseLookup && len(f.answered) == len(f.asked) {
		s.concludeLookup(now, f)
	}
}

// awaitsAnswer reports whether a lookup that isn't over has asked an agent that hasn't
// answered. It goes on while an agent that may own the flow gets its packets.
func (f *balancerFlow) awaitsAnswer(p *peer) bool {
	open := f.phase == phaseLookup || f.phase == phaseOwned && f.tentative
	return open && contains(f.asked, p) && !contains(f.answered, p)
}

// tryNextOwner forwards a flow that its presumed owner rejected to the next
// agent that may own it.
func (s *Steering) tryNextOwner(now time.Time, p *peer, f *balancerFlow, data []byte) {
	f.candidates = without(f.candidates, p)
	if f.tentative && now.Sub(f.lookedUpAt) < candidateTimeout {
		f.phase = phaseLookup
		f.keepPending(data)
		if !contains(f.answered, p) {
			// A hint named it.
			f.asked, f.answered = append(f.asked, p), append(f.answered, p)
		}
		if len(f.candidates) == 0 && len(f.answered) < len(f.asked) {
			s.setTimer(now, f, s.answers.timeout())
			return
		}
		s.concludeLookup(now, f)
		return
	}
	if len(f.otherTakers) > 0 {
		next := f.otherTakers[0]
		f.otherTakers = append(f.otherTakers[1:], p)
		f.attempts++
		if f.attempts > maxLookupAttempts {
			f.otherTakers = nil
		}
		f.owner = next
		s.forward(now, f, data)
		return
	}
	s.lookUpOwner(now, f, data)
}

// without returns a copy of a list without an agent.
func without(list []*peer, p *peer) []*peer {
	var out []*peer
	for _, q := range list {
		if q != p {
			out = append(out, q)
		}
	}
	return out
}

// concludeLookup decides about a flow after the agents that were asked have answered
// or are late, and none of them claimed to own it. Those that may own it get its
// packets one after the other; each returns them if it doesn't. The lookup then goes
// on and doesn't start anew, or flows without an owner would keep the balancer busy.
//
// The view may have changed since the lookup began.
func (s *Steering) concludeLookup(now time.Time, f *balancerFlow) {
	switch {
	case s.routes[f.key.Service] == nil:
		f.abandonLookup()
	case len(f.candidates) == 0:
		s.widenLookup(now, f)
	case !s.control.take(now, 1):
		s.endLookup(now, f)
	default:
		s.setTentativeOwner(now, f.candidates[0], f)
	}
}

// endLookup ends a lookup that found no owner. If all agents that were asked have
// denied ownership, the caller is reset after unownedResetDelay; agents that become
// known until then are asked, too. Otherwise the caller's next packet goes on with the
// lookup.
func (s *Steering) endLookup(now time.Time, f *balancerFlow) {
	f.phase, f.timerAt = phaseUnowned, time.Time{}
	denied := f.scope >= scopeRecent && len(f.answered) == len(f.asked) && len(f.asked) > 0 && len(f.candidates) == 0
	if !denied || f.ended {
		f.pending = nil
		return
	}
	if f.unownedSince.IsZero() {
		f.unownedSince = now
	}
	if wait := unownedResetDelay - now.Sub(f.unownedSince); wait > 0 {
		s.setTimer(now, f, wait)
		return
	}
	f.pending = nil
	if s.ViewFresh() {
		s.LogDecision(Decision{Event: "caller is reset: no agent owns the flow", Key: f.key, Age: now.Sub(f.unownedSince), Revision: s.view.Revision})
		delete(s.flows, f.key)
		s.ResetFlow(f.key, f.callerAck)
	}
}

// handleElsewhere handles an agent's answer that another agent owns a flow. An owner
// that isn't a known member is no denial, so that the caller isn't reset.
func (s *Steering) handleElsewhere(now time.Time, p *peer, f *balancerFlow, addr netip.AddrPort) {
	owner := s.peers[addr]
	if !f.awaitsAnswer(p) || owner == nil {
		return
	}
	f.answered = append(f.answered, p)
	switch {
	case f.phase != phaseLookup:
	case !contains(f.answered, owner):
		s.LogDecision(Decision{Event: "flow is found by a hint", Key: f.key, Agent: addr, Age: now.Sub(f.arrivedAt)})
		s.setTentativeOwner(now, owner, f)
	case len(f.answered) == len(f.asked):
		s.concludeLookup(now, f)
	}
}
