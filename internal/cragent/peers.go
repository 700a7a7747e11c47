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
	// maxPeerTries bounds the other agents that a request is sent to.
	maxPeerTries = 2
	// fullLoadPercent is the load in percent from which priority and
	// non-repeatable requests may be forwarded. Below it they are better served
	// by this agent.
	fullLoadPercent = 100
)

// peerSet tracks the other agents of the service and the retry budget. It is
// safe for concurrent use.
type peerSet struct {
	mu     sync.Mutex
	peers  cradmit.Peers
	budget cradmit.RetryBudget
}

// newPeerSet returns a peerSet without any recorded peers.
func newPeerSet() *peerSet { return &peerSet{peers: cradmit.Peers{Rand: rand.Float64}} }

// recordRequest credits the retry budget for a caller's request.
func (p *peerSet) recordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordRequest()
}

// takeRetry takes one retry from the budget and reports whether one was left.
func (p *peerSet) takeRetry(priority bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TakeRetry(priority)
}

// pickLessLoaded returns an agent whose load is clearly below ownLoad.
func (p *peerSet) pickLessLoaded(ownLoad int, names []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers.PickLessLoaded(ownLoad, names, time.Now())
}

// pickLeastLoaded returns the agent with the lowest load.
func (p *peerSet) pickLeastLoaded(names []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers.PickLeastLoaded(names, time.Now())
}

// recordAnswer records an agent's load, or its failure if the answer has no
// load. A cancelled request is not a failure.
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

// forward sends a request to a less loaded agent before any other try. This
// evens out the load of backend servers of different speed. It returns false if
// the request must still run on this agent's own backend server: it was not
// forwarded, its answer allows a retry, or the backend server is due for a test.
func (a *Agent) forward(ctx context.Context, req *crrun.Request, class crdoc.Class, tried map[string]bool) (crrun.Answer, bool) {
	if a.limiter.probeDue(class.Repeatable) {
		return crrun.Answer{}, false
	}
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

// retryAtPeers retries a request at other agents, within the deadline and the
// retry budget. answer is the answer of the last try.
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
			// The earlier try may have run: its outcome remains unknown.
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

// candidates returns the service's other active agents by name, without those
// already tried.
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

// sortedNames returns the names of members in order.
func sortedNames(members map[string]crwire.Member) []string {
	out := make([]string, 0, len(members))
	for name := range members {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
