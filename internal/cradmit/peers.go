package cradmit

import "time"

const (
	// loadFresh is how long a load that came with an answer is believed.
	loadFresh = 2 * time.Second
	// loadUnknown stands for the load of an agent not heard of lately, in
	// percent.
	loadUnknown = 20
	// loadFull is the load from which an agent has no room, in percent.
	loadFull = 100
	// loadForward is the load from which requests go to a less loaded
	// agent, in percent.
	loadForward = 5
)

// peer is what is known of another agent.
type peer struct {
	load     int
	heard    time.Time
	ejection Ejection
}

// Peers chooses where a request runs that doesn't run here. It isn't safe
// for concurrent use.
type Peers struct {
	// Rand returns a number in [0, 1).
	Rand func() float64

	peers map[string]*peer
}

// RecordAnswer learns the load that came with an agent's answer, -1 for none.
func (p *Peers) RecordAnswer(name string, load int, now time.Time) {
	q := p.get(name)
	if load >= 0 {
		q.load, q.heard = load, now
	}
	q.ejection.RecordAnswer(now)
}

// RecordFailure learns that an agent failed.
func (p *Peers) RecordFailure(name string, now time.Time) { p.get(name).ejection.RecordFailure(now) }

// PickLessLoaded draws two agents and returns the less loaded one, if it is
// less loaded than own, the load here in percent. The draw keeps many agents
// from choosing the same one on old news.
func (p *Peers) PickLessLoaded(own int, names []string, now time.Time) (string, bool) {
	if own < loadForward {
		return "", false
	}
	var open []string
	for _, name := range names {
		if p.Rand() < p.get(name).ejection.TrafficShare(now) {
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		return "", false
	}
	best := open[int(p.Rand()*float64(len(open)))]
	if other := open[int(p.Rand()*float64(len(open)))]; p.load(other, now) < p.load(best, now) {
		best = other
	}
	load := p.load(best, now)
	return best, load < loadFull && load < own
}

// PickLeastLoaded returns the least loaded agent that isn't ejected, for a request
// that can't run here.
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

// load returns an agent's load as far as it is known.
func (p *Peers) load(name string, now time.Time) int {
	q := p.get(name)
	if q.heard.IsZero() || now.Sub(q.heard) > loadFresh {
		return loadUnknown
	}
	return q.load
}

// get returns what is known of an agent.
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
