package cropaque

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/cregress"
	"cardamomring.dev/pkg/crdoc"
)

// oddsSteps is how many points of an agent's random part are tried for its odds: they
// are right to about a hundredth.
const oddsSteps = 64

// Outcome is what would happen to a new flow.
type Outcome int

const (
	// OutcomeOffered means that the flow is offered to an agent at once.
	OutcomeOffered Outcome = iota
	// OutcomeWaiting means that the flow is an upload that waits for its turn on the
	// entry link.
	OutcomeWaiting
	// OutcomeHeld means that no agent gets offers: the flow is held for a moment and
	// its caller then reset.
	OutcomeHeld
	// OutcomeRefused means that the caller is reset at once, because the link can't
	// carry its upload in time.
	OutcomeRefused
	// OutcomeUnknown means that the caller is reset, because its address has no route.
	OutcomeUnknown
	// OutcomeUnready means that the balancer knows no routes or no agents yet.
	OutcomeUnready
)

// Explanation is where a new flow would go, and why.
type Explanation struct {
	Outcome Outcome `json:"outcome"`
	// Revision is that of the view in force. Fresh is set while control confirms it.
	Revision uint64 `json:"rev"`
	Fresh    bool   `json:"fresh"`
	// Age is the time since control confirmed the view, nil if that isn't known.
	Age *crdoc.Duration `json:"age,omitempty"`
	// Zone is the balancer's availability zone.
	Zone string `json:"zone"`
	// Caller and Address are where the flow comes from and goes to.
	Caller  netip.AddrPort `json:"caller"`
	Address netip.AddrPort `json:"address"`
	// Route is the name of the route.
	Route string `json:"route,omitempty"`
	// Owner is the agent that has a flow with the same addresses now, if it is known.
	Owner string `json:"owner,omitempty"`
	// Choice is how one of the agents with odds is chosen.
	Choice ChoiceKind `json:"choice"`
	// Hold is how long a flow that no agent takes is held.
	Hold crdoc.Duration `json:"hold,omitempty"`
	// Services are the services of the route, in the order in which their agents are
	// offered the flow. Only the first that has ready agents gets odds.
	Services []ServiceOutlook `json:"services"`
	// Link is the state of the entry link, if the flow is an upload that shares it.
	Link *LinkOutlook `json:"link,omitempty"`
}

// ServiceOutlook is a service that a flow may go to.
type ServiceOutlook struct {
	Name string `json:"name"`
	// Weight is its share of the route's new flows, from 0 to 1.
	Weight float64 `json:"weight"`
	// Agents is the short list.
	Agents []AgentOutlook `json:"agents"`
}

// LinkOutlook is the state of a balancer's entry link.
type LinkOutlook struct {
	// Turns is how many uploads have a turn, of Places, and Waiting how many wait.
	Turns   int `json:"turns"`
	Places  int `json:"places"`
	Waiting int `json:"waiting"`
}

// AgentOutlook is an agent that a flow may be offered to.
type AgentOutlook struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	State   Standing       `json:"state"`
	// Silence is how long the agent has left a frame unanswered.
	Silence crdoc.Duration `json:"silence,omitempty"`
	// Refusal is why the agent refused a flow since it last took one, and Ago how
	// long ago.
	Refusal Reason         `json:"refusal"`
	Ago     crdoc.Duration `json:"ago,omitempty"`
	// Report is the agent's latest report, nil if there is none.
	Report *ReportOutlook `json:"report,omitempty"`
	// Placed counts the offers since the report.
	Placed int `json:"placed"`
	// Expected is the expected latency in parts.
	Expected ExpectedOutlook `json:"expected"`
	// Load is how the agent is weighed for even load, nil if it isn't.
	Load *LoadOutlook `json:"load,omitempty"`
	// Odds is the probability that the flow is offered to the agent first.
	Odds float64 `json:"odds"`
}

// ReportOutlook is an agent's report: the requests that its backend server runs at
// most, runs and queues, their average time, the share that failed in thousandths, and
// the flows that callers keep open.
type ReportOutlook struct {
	Age      crdoc.Duration `json:"age"`
	Slots    int            `json:"slots"`
	Busy     int            `json:"busy"`
	Queued   int            `json:"queued"`
	Latency  crdoc.Duration `json:"latency"`
	Permille int            `json:"failures"`
	Kept     int            `json:"kept"`
}

// ExpectedOutlook is an expected latency in parts.
type ExpectedOutlook struct {
	// Base is the average time of a request, and Waiting what the load adds.
	Base    crdoc.Duration `json:"base"`
	Waiting crdoc.Duration `json:"waiting"`
	// Failures and Zone are the prices of failures and of crossing zones.
	Failures crdoc.Duration `json:"failures"`
	Zone     crdoc.Duration `json:"zone"`
	// Random is the most that chance adds.
	Random crdoc.Duration `json:"random"`
}

// LoadOutlook is how an agent is weighed for even load; loads are shares of its slots.
type LoadOutlook struct {
	// Trust is the weight of the report's moment, from 0 to 1.
	Trust float64 `json:"trust"`
	// Base is the expected load, and Price what zone and failures add to it.
	Base  float64        `json:"base"`
	Price float64        `json:"price"`
	Wait  crdoc.Duration `json:"wait"`
}

// Explain returns where a new flow would go and why, by the functions that decide it.
// It sends nothing, draws no random number and changes no later decision.
func (s *Steering) Explain(now time.Time, key Key) Explanation {
	e := Explanation{Revision: s.view.Revision, Fresh: s.ViewFresh(), Zone: s.Zone, Caller: key.Caller, Address: key.Service}
	if f := s.flows[key]; f != nil && f.phase == phaseOwned && f.owner != nil {
		e.Owner = f.owner.member.Name
	}
	route := s.routes[key.Service]
	switch {
	case !s.Ready():
		e.Outcome = OutcomeUnready
		return e
	case route == nil:
		e.Outcome = OutcomeUnknown
		return e
	}
	e.Route, e.Hold = route.Name, crdoc.Duration(holdTime(route))
	if !s.explainServices(now, &e, &balancerFlow{key: key}, route) {
		e.Outcome = OutcomeHeld
	}
	if s.sharesUplink(key) {
		s.explainLink(now, &e, key, route)
	}
	return e
}

// explainServices sets the services of an explanation, and reports whether one of them
// has an agent that gets offers.
func (s *Steering) explainServices(now time.Time, e *Explanation, f *balancerFlow, route *crdoc.Route) bool {
	found := false
	for service := range servicesFor(route, hashPoint(f.key)) {
		o := ServiceOutlook{Name: service, Weight: weightOf(route, service), Agents: []AgentOutlook{}}
		list := s.members[service].shortList(f.key)
		for _, p := range list {
			o.Agents = append(o.Agents, s.agentOutlook(now, p, route))
		}
		if ready := s.candidatesFor(now, f, list); !found && len(ready) > 0 {
			found = true
			e.Choice = s.explainChoice(now, o.Agents, ready, route)
		}
		e.Services = append(e.Services, o)
	}
	return found
}

// explainChoice sets the odds of the agents that may be chosen, and returns how one of
// them is.
func (s *Steering) explainChoice(now time.Time, agents []AgentOutlook, ready []*peer, route *crdoc.Route) ChoiceKind {
	byAddr := map[netip.AddrPort]*AgentOutlook{}
	for i := range agents {
		byAddr[agents[i].Address] = &agents[i]
	}
	if s.spreadsEvenly(ready) {
		for _, w := range s.weigh(now, route, ready) {
			a := byAddr[w.Agent]
			a.Odds = w.Part.Odds
			a.Load = &LoadOutlook{Trust: w.Part.Trust, Base: w.Part.Base, Price: w.Part.PriceLoad, Wait: crdoc.Duration(w.Part.Wait)}
		}
		return s.evenChoice(route)
	}
	list := make([]expected, len(ready))
	for i, p := range ready {
		list[i] = s.expect(now, p, route)
	}
	for i, p := range ready {
		byAddr[p.addr].Odds = fastestOdds(list, i)
	}
	return ChoiceFastest
}

// agentOutlook returns what is known of an agent.
func (s *Steering) agentOutlook(now time.Time, p *peer, route *crdoc.Route) AgentOutlook {
	x := s.expect(now, p, route)
	a := AgentOutlook{
		Name: p.member.Name, Address: p.addr, Zone: p.member.Zone, State: s.standing(now, p, false),
		Refusal: p.refusalReason, Placed: p.offersSinceReport,
		Expected: ExpectedOutlook{
			Base: crdoc.Duration(x.mean), Waiting: crdoc.Duration(x.mean*x.excess + x.contention),
			Failures: crdoc.Duration(x.failures), Zone: crdoc.Duration(x.zone), Random: crdoc.Duration(x.total(1) - x.total(0)),
		},
	}
	if a.Refusal != ReasonNone {
		a.Ago = crdoc.Duration(now.Sub(p.refusedAt))
	}
	if a.State == StandingSilent {
		a.Silence = crdoc.Duration(now.Sub(p.unansweredSince))
	}
	if !p.loadReportedAt.IsZero() {
		a.Report = &ReportOutlook{
			Age: crdoc.Duration(now.Sub(p.loadReportedAt)), Slots: p.load.Slots, Busy: p.load.Busy, Queued: p.load.Queued,
			Latency: crdoc.Duration(p.load.MeanLatency), Permille: p.load.FailurePermille, Kept: p.load.Kept,
		}
	}
	return a
}

// explainLink sets the link of an explanation, and the outcome if the upload isn't
// opened at once.
func (s *Steering) explainLink(now time.Time, e *Explanation, key Key, route *crdoc.Route) {
	load := s.turnLoad()
	e.Link = &LinkOutlook{Turns: load.Busy, Places: load.Slots, Waiting: load.Queued}
	switch s.uplink.turns.Foresee(now, uploadRequest(key, now, route)) {
	case cregress.VerdictWait:
		e.Outcome = OutcomeWaiting
	case cregress.VerdictRefuse:
		e.Outcome = OutcomeRefused
	}
}

// fastestOdds returns the probability that agent i of a list has the shortest expected
// latency.
func fastestOdds(list []expected, i int) float64 {
	sum := 0.0
	for step := range oddsSteps {
		d, p := list[i].total((float64(step)+0.5)/oddsSteps), 1.0
		for j, other := range list {
			if j == i {
				continue
			}
			low, high := other.total(0), other.total(1)
			p *= min(1, max(0, float64(high-d)/float64(max(1, high-low))))
		}
		sum += p
	}
	return sum / oddsSteps
}

// weightOf returns a service's share of a route's flows.
func weightOf(r *crdoc.Route, service string) float64 {
	total, weight := 0.0, 0.0
	for _, share := range r.Shares {
		total += share.Weight
		if share.Service == service {
			weight += share.Weight
		}
	}
	return weight / total
}
