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
	// maxPeerTries is how many other agents a request is offered to.
	maxPeerTries = 2
	// fullLoadPercent is the load from which requests that are better off here,
	// priority ones and those that may not be repeated, look for another
	// agent, in percent.
	fullLoadPercent = 100
)

// peerSet is what the agent knows of the other agents, for many goroutines.
type peerSet struct {
	mu     sync.Mutex
	peers  cradmit.Peers
	budget cradmit.RetryBudget
}

// newPeerSet knows nobody.
func newPeerSet() *peerSet { return &peerSet{peers: cradmit.Peers{Rand: rand.Float64}} }

// recordRequest counts a recordRequest that came from a caller.
func (p *peerSet) recordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordRequest()
}

// takeRetry takes one takeRetry from the budget.
func (p *peerSet) takeRetry(priority bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TakeRetry(priority)
}

// pickLessLoaded returns a clearly less loaded agent.
func (p *peerSet) pickLessLoaded(ownLoad int, names []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers.PickLessLoaded(ownLoad, names, time.Now())
}

// pickLeastLoaded returns the pickLeastLoaded loaded agent.
func (p *peerSet) pickLeastLoaded(names []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers.PickLeastLoaded(names, time.Now())
}

// recordAnswer learns from an agent's answer.
func (p *peerSet) recordAnswer(name string, answer crrun.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case answer.Load >= 0:
		p.peers.RecordAnswer(name, answer.Load, time.Now())
	case answer.Reason != crrun.ReasonCancelled:
		p.peers.RecordFailure(name, time.Now())
	}
}

// forward runs a request at a less loaded agent before it has been
// tried anywhere: it evens out backend servers of different speed. False
// means that it has not run and is still to be run here.
func (a *Agent) forward(ctx context.Context, req *crrun.Request, class crdoc.Class, tried map[string]bool) (crrun.Answer, bool) {
	load := a.limiter.loadFor(class.Name)
	if (class.Priority || !class.Repeatable) && load < fullLoadPercent {
		return crrun.Answer{}, false
	}
	members := a.candidates(tried)
	name, ok := a.peers.pickLessLoaded(load, sortedNames(members))
	if !ok {
		return crrun.Answer{}, false
	}
	a.metrics.forwards.Inc()
	answer := a.callPeer(ctx, req, members[name], tried)
	return answer, !retryable(answer, class)
}

// retryAtPeers tries a request again at other agents, within the deadline and
// the retry budget. answer is what the last try gave.
func (a *Agent) retryAtPeers(
	ctx context.Context, req *crrun.Request, class crdoc.Class, answer crrun.Answer, tried map[string]bool,
) crrun.Answer {
	for len(tried) < maxPeerTries && retryable(answer, class) && !deadlinePassed(ctx) {
		members := a.candidates(tried)
		name, ok := a.peers.pickLeastLoaded(sortedNames(members))
		if !ok || !a.peers.takeRetry(class.Priority) {
			return answer
		}
		a.metrics.retries.Inc()
		next := a.callPeer(ctx, req, members[name], tried)
		if answer.Outcome == crwire.OutcomeUnknown && next.Outcome == crwire.OutcomeNotrun {
			// The earlier try may have run.
			continue
		}
		answer = next
	}
	return answer
}

// callPeer runs a request at another agent.
func (a *Agent) callPeer(ctx context.Context, req *crrun.Request, m crwire.Member, tried map[string]bool) crrun.Answer {
	tried[m.Name] = true
	next := *req
	next.Hops++
	answer := a.caller.SendToAgent(ctx, m.RunAddr, &next)
	a.peers.recordAnswer(m.Name, answer)
	a.metrics.countDropped(answer.Reason)
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

// sortedNames returns the sortedNames of members, sorted.
func sortedNames(members map[string]crwire.Member) []string {
	out := make([]string, 0, len(members))
	for name := range members {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
