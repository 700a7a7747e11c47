package cragent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// othersMax is how many other agents a request is offered to.
	othersMax = 2
	// loadFull is the load from which requests that are better off here,
	// priority ones and those that may not be repeated, look for another
	// agent, in percent.
	loadFull = 100
)

// others is what the agent knows of the other agents, for many goroutines.
type others struct {
	mu     sync.Mutex
	peers  cradmit.Peers
	budget cradmit.RetryBudget
}

// newOthers knows nobody.
func newOthers() *others { return &others{peers: cradmit.Peers{Rand: rand.Float64}} }

// request counts a request that came from a caller.
func (o *others) request() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget.RecordRequest()
}

// retry takes one retry from the budget.
func (o *others) retry(priority bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.TakeRetry(priority)
}

// pick returns a clearly less loaded agent.
func (o *others) pick(own int, names []string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peers.PickLessLoaded(own, names, time.Now())
}

// least returns the least loaded agent.
func (o *others) least(names []string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peers.PickLeastLoaded(names, time.Now())
}

// note learns from an agent's answer.
func (o *others) note(name string, answer crrun.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case answer.Load >= 0:
		o.peers.RecordAnswer(name, answer.Load, time.Now())
	case answer.Reason != crrun.ReasonCancelled:
		o.peers.RecordFailure(name, time.Now())
	}
}

// forward runs a request at a less loaded agent before it has been
// tried anywhere: it evens out backend servers of different speed. False
// means that it has not run and is still to be run here.
func (a *Agent) forward(ctx context.Context, req *crrun.Request, class crdoc.Class, tried map[string]bool) (crrun.Answer, bool) {
	load := a.gate.loadFor(class.Name)
	if (class.Priority || !class.Repeat) && load < loadFull {
		return crrun.Answer{}, false
	}
	members := a.candidates(tried)
	name, ok := a.others.pick(load, names(members))
	if !ok {
		return crrun.Answer{}, false
	}
	a.requests.forwards.Inc()
	answer := a.offer(ctx, req, members[name], tried)
	return answer, !again(answer, class)
}

// elsewhere tries a request again at other agents, within the deadline and
// the retry budget. answer is what the last try gave.
func (a *Agent) elsewhere(
	ctx context.Context, req *crrun.Request, class crdoc.Class, answer crrun.Answer, tried map[string]bool,
) crrun.Answer {
	for len(tried) < othersMax && again(answer, class) && !over(ctx) {
		members := a.candidates(tried)
		name, ok := a.others.least(names(members))
		if !ok || !a.others.retry(class.Priority) {
			return answer
		}
		a.requests.retries.Inc()
		next := a.offer(ctx, req, members[name], tried)
		if answer.Outcome == crwire.OutcomeUnknown && next.Outcome == crwire.OutcomeNotrun {
			// The earlier try may have run.
			continue
		}
		answer = next
	}
	return answer
}

// offer runs a request at another agent.
func (a *Agent) offer(ctx context.Context, req *crrun.Request, m crwire.Member, tried map[string]bool) crrun.Answer {
	tried[m.Name] = true
	next := *req
	next.Hops++
	answer := a.caller.SendToAgent(ctx, m.RunAddr, &next)
	a.others.note(m.Name, answer)
	a.requests.dropped(answer.Reason)
	return answer
}

// candidates returns the other agents of the service that take new work, by
// name, without those tried.
func (a *Agent) candidates(tried map[string]bool) map[string]crwire.Member {
	view := a.view.Load()
	out := map[string]crwire.Member{}
	for _, m := range view.Members {
		if m.Service != a.member.Service || m.Name == a.member.Name || tried[m.Name] ||
			m.State != crwire.MemberActive || slices.Contains(view.ZonesOut, m.Zone) {
			continue
		}
		out[m.Name] = m
	}
	return out
}

// names returns the names of members, sorted.
func names(members map[string]crwire.Member) []string {
	out := make([]string, 0, len(members))
	for name := range members {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
