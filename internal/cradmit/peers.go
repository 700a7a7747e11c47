package cradmit

import "time"

const (
	// loadTTL is how long a load reported with an answer is used.
	loadTTL = 2 * time.Second
	// unknownLoad is the assumed load of an agent without a recent report, in
	// percent.
	unknownLoad = 20
	// fullLoad is the load from which an agent has no capacity, in percent.
	fullLoad = 100
	// minForwardLoad is the own load from which requests are forwarded to a
	// less loaded agent, in percent.
	minForwardLoad = 5
)

// peer is the state of another agent.
type peer struct {
	load     int
	loadTime time.Time
	ejection Ejection
}

// Peers chooses other agents for requests that don't run on this one. It isn't
// safe for concurrent use.
type Peers struct {
	// Rand returns a number in [0, 1).
	Rand func() float64

	peers map[string]*peer
}

// RecordAnswer records an answer of an agent and the load reported with it; -1
// means that no load was reported.
func (p *Peers) RecordAnswer(name string, load int, now time.Time) {
	q := p.get(name)
	if load >= 0 {
		q.load, q.loadTime = load, now
	}
	q.ejection.RecordAnswer(now)
}

// RecordFailure records a failed call to an agent.
func (p *Peers) RecordFailure(name string, now time.Time) { p.get(name).ejection.RecordFailure(now) }

// PickLessLoaded picks two agents at random and returns the less loaded one. It
// reports false if that agent has no capacity, or its load isn't below ownLoad,
// the load of this agent in percent. The random choice keeps many agents from
// forwarding to the same agent because of outdated load reports.
func (p *Peers) PickLessLoaded(ownLoad int, names []string, now time.Time) (string, bool) {
	if ownLoad < minForwardLoad {
		return "", false
	}
	var candidates []string
	for _, name := range names {
		if p.Rand() < p.get(name).ejection.TrafficShare(now) {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := candidates[int(p.Rand()*float64(len(candidates)))]
	if other := candidates[int(p.Rand()*float64(len(candidates)))]; p.load(other, now) < p.load(best, now) {
		best = other
	}
	load := p.load(best, now)
	return best, load < fullLoad && load < ownLoad
}

// PickLeastLoaded returns the least loaded agent that isn't ejected. It serves
// requests that can't run on this agent. An agent in slow start is considered
// with the probability of its traffic share.
func (p *Peers) PickLeastLoaded(names []string, now time.Time) (string, bool) {
	best, found := "", false
	for _, name := range names {
		if p.Rand() >= p.get(name).ejection.TrafficShare(now) {
			continue
		}
		if !found || p.load(name, now) < p.load(best, now) {
			best, found = name, true
		}
	}
	return best, found
}

// load returns the load of an agent, or unknownLoad without a recent report.
func (p *Peers) load(name string, now time.Time) int {
	q := p.get(name)
	if q.loadTime.IsZero() || now.Sub(q.loadTime) > loadTTL {
		return unknownLoad
	}
	return q.load
}

// get returns the state of an agent and creates it if necessary.
func (p *Peers) get(name string) *peer {
	if p.peers == nil {
		p.peers = map[string]*peer{}
	}
	q := p.peers[name]
	if q == nil {
		q = &peer{}
		p.peers[name] = q
	}
	return q
}
