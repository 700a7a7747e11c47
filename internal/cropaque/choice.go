package cropaque

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/crspread"
	"cardamomring.dev/pkg/crdoc"
)

// ChoiceKind is how the agent of a new flow was chosen.
type ChoiceKind int

const (
	// ChoiceFastest means that the agent was chosen by its expected latency.
	ChoiceFastest ChoiceKind = iota
	// ChoiceEvenSingle means that the agent of a flow for one request was chosen
	// for even load.
	ChoiceEvenSingle
	// ChoiceEvenKept means that the agent of a flow that its caller keeps was
	// chosen for even load.
	ChoiceEvenKept
)

// maxKeptEvidence is how many flows that were taken without a sign of a kept flow make
// a balancer forget that callers keep the flows of a route. Agents that have just
// started don't know it.
const maxKeptEvidence = 8

// maxOpenedShare is the share of kept flows that were opened in the last second up to
// which reports of kept flows are taken for lasting.
const maxOpenedShare = 0.5

// Weighed is an agent that may take a flow, with how it was weighed.
type Weighed struct {
	Agent     netip.AddrPort
	Candidate crspread.Candidate
	Part      crspread.Part

	peer *peer
}

// candidatesFor returns the agents of a list that may be offered a flow now.
func (s *Steering) candidatesFor(now time.Time, f *balancerFlow, peers []*peer) []*peer {
	var list []*peer
	for _, p := range peers {
		if !contains(f.asked, p) && s.standing(now, p, f.mayQueue) == StandingReady {
			list = append(list, p)
		}
	}
	return list
}

// spreadsEvenly reports whether agents are chosen for even load: when it is asked for
// and they report flows that callers keep. Without such flows the load of an agent
// changes with each placement, and the fastest one is chosen. So it is while most kept
// flows have just been opened, as after a loss of everything: agents are then full, and
// their refusals tell more than reports.
func (s *Steering) spreadsEvenly(peers []*peer) bool {
	if !s.EvenLoad {
		return false
	}
	kept, opened := 0, 0
	for _, p := range peers {
		kept += p.load.Kept
		opened += p.load.KeptRate
	}
	return kept > 0 && float64(opened) <= maxOpenedShare*float64(kept)
}

// weigh returns how the agents of a list are weighed for a flow. It changes nothing.
func (s *Steering) weigh(now time.Time, route *crdoc.Route, peers []*peer) []Weighed {
	candidates := make([]crspread.Candidate, len(peers))
	for i, p := range peers {
		candidates[i] = crspread.Candidate{
			Report: crspread.Report{
				Slots: p.load.Slots, Latency: p.load.MeanLatency, Busy: p.load.Busy + p.load.Queued,
				LastingBusy: float64(p.load.LastingBusy) / hundredths, KeptBusy: float64(p.load.KeptBusy) / hundredths,
				Kept: p.load.Kept, KeptRate: p.load.KeptRate,
			},
			Age: now.Sub(p.loadReportedAt), Placed: p.offersSinceReport,
			Price: s.failurePrice(now, p, route) + s.zonePrice(p, route),
		}
	}
	parts := crspread.Weigh(candidates, crspread.Flow{Kept: s.keptEvidence[route.Address] > 0})
	list := make([]Weighed, len(peers))
	for i, p := range peers {
		list[i] = Weighed{Agent: p.addr, Candidate: candidates[i], Part: parts[i], peer: p}
	}
	return list
}

// evenAgent returns the agent that is chosen for even load.
func (s *Steering) evenAgent(now time.Time, route *crdoc.Route, peers []*peer) *peer {
	list := s.weigh(now, route, peers)
	parts := make([]crspread.Part, len(list))
	for i, w := range list {
		parts[i] = w.Part
	}
	chosen := list[crspread.Pick(parts, s.Random())]
	s.observeChoice(now, s.evenChoice(route), chosen.peer)
	return chosen.peer
}

// evenChoice returns how an agent is chosen for even load.
func (s *Steering) evenChoice(route *crdoc.Route) ChoiceKind {
	if s.keptEvidence[route.Address] > 0 {
		return ChoiceEvenKept
	}
	return ChoiceEvenSingle
}

// observeChoice records a choice and the age of the report that it used, unless the
// agent hasn't reported yet.
func (s *Steering) observeChoice(now time.Time, kind ChoiceKind, p *peer) {
	if s.ObserveChoice != nil && !p.loadReportedAt.IsZero() {
		s.ObserveChoice(kind, now.Sub(p.loadReportedAt))
	}
}

// learnUse records whether callers keep flows of a route, as an agent that took one
// says.
func (s *Steering) learnUse(route netip.AddrPort, kept bool) {
	switch {
	case !s.EvenLoad:
	case kept:
		s.keptEvidence[route] = maxKeptEvidence
	case s.keptEvidence[route] > 0:
		s.keptEvidence[route]--
	}
}
