package cradmit_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomring.dev/internal/cradmit"
)

// hopDelay is the one-way network delay between two agents.
const hopDelay = 1500 * time.Microsecond

// maxOtherAgents bounds the other agents that a request is sent to, as in
// cragent.
const maxOtherAgents = 2

// agent simulates one agent of a group and its backend server.
type agent struct {
	name    string
	group   *group
	server  *server
	limiter limiter
	speed   float64
	peers   cradmit.Peers
	budget  cradmit.RetryBudget
}

// group simulates the agents of a service. Callers' requests reach them in turn.
type group struct {
	sim    *sim
	agents []*agent
	// forwarding sends requests to less loaded agents, retrying sends failed
	// requests to other agents, and budgeted bounds these retries.
	forwarding, retrying, budgeted bool

	requests, forwards, retries, done, failed int
}

func newGroup(kind string, s *sim, speeds ...float64) *group {
	g := &group{sim: s}
	for i, speed := range speeds {
		v := newServer(s, workers/2)
		a := &agent{name: fmt.Sprint(i), group: g, server: v, speed: speed, limiter: newLimiter(kind, s, v)}
		a.peers.Rand = s.rng.Float64
		g.agents = append(g.agents, a)
	}
	return g
}

// capacity returns the throughput of all servers, in requests per second.
func (g *group) capacity() float64 {
	total := 0.0
	for _, a := range g.agents {
		total += a.speed * capacity / 4
	}
	return total
}

// offer sends a caller's request to the next agent in turn. It follows the
// routing of cragent's Agent.route.
func (g *group) offer() {
	a := g.agents[g.requests%len(g.agents)]
	g.requests++
	a.budget.RecordRequest()
	end := g.sim.now.Add(deadline / 4)
	tried := map[string]bool{a.name: true}
	if g.forwarding {
		if name, ok := a.peers.PickLessLoaded(a.limiter.load(), g.names(tried), g.sim.now); ok {
			g.forwards++
			g.sendTo(a, name, tried, end, func(result cradmit.Result, refused bool) {
				if result == cradmit.ResultDone {
					g.done++
					return
				}
				a.run(end, g.retryHandler(a, tried, end, refused))
			})
			return
		}
	}
	a.run(end, g.retryHandler(a, tried, end, true))
}

// retryHandler returns the callback for the end of an attempt. It retries a failed
// request at another agent.
func (g *group) retryHandler(a *agent, tried map[string]bool, end time.Time, _ bool) func(cradmit.Result, bool) {
	return func(result cradmit.Result, refused bool) {
		if result == cradmit.ResultDone {
			g.done++
			return
		}
		name, ok := a.peers.PickLeastLoaded(g.names(tried), g.sim.now)
		if !g.retrying || len(tried) > maxOtherAgents || !ok || g.sim.now.After(end) || g.budgeted && !a.budget.TakeRetry(false) {
			g.failed++
			return
		}
		g.retries++
		g.sendTo(a, name, tried, end, g.retryHandler(a, tried, end, refused))
	}
}

// sendTo runs a request at another agent and records its answer.
func (g *group) sendTo(from *agent, name string, tried map[string]bool, end time.Time, onEnd func(cradmit.Result, bool)) {
	tried[name] = true
	to := g.byName(name)
	g.sim.after(hopDelay, func() {
		to.run(end, func(result cradmit.Result, refused bool) {
			load := to.limiter.load()
			g.sim.after(hopDelay, func() {
				from.peers.RecordAnswer(name, load, g.sim.now)
				onEnd(result, refused)
			})
		})
	})
}

// run offers a request to the agent's own limiter. On a server of speed 1, the
// mean work time of a request is twice serviceTime.
func (a *agent) run(end time.Time, onEnd func(cradmit.Result, bool)) {
	workTime := time.Duration(float64(a.group.sim.service(2*serviceTime)) / a.speed)
	a.limiter.offer(&call{class: "balance", workTime: workTime, deadline: end, onEnd: onEnd})
}

func (g *group) byName(name string) *agent {
	for _, a := range g.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (g *group) names(without map[string]bool) []string {
	var out []string
	for _, a := range g.agents {
		if !without[a.name] {
			out = append(out, a.name)
		}
	}
	return out
}

// utilisation returns the utilisation of each server's workers since a time, as
// text, and the ratio of the largest to the mean. before holds the busy times at
// that time.
func (g *group) utilisation(since time.Duration, before []time.Duration) (text string, imbalance float64) {
	sum, top := 0.0, 0.0
	for i, a := range g.agents {
		a.server.addBusyTime()
		share := (a.server.busyTime - before[i]).Seconds() / (g.sim.elapsed() - since).Seconds() / float64(a.server.warmWorkers)
		text += fmt.Sprintf(" %gx %.2f", a.speed, share)
		if l, ok := a.limiter.(*admissionLimiter); ok {
			text += fmt.Sprintf("/%d", l.admission.Limit(g.sim.now))
		}
		sum += share
		top = max(top, share)
	}
	return text, top / (sum / float64(len(g.agents)))
}

func BenchmarkImbalance(b *testing.B) {
	const from, to = 60 * time.Second, 120 * time.Second
	for b.Loop() {
		for _, load := range []float64{0.3, 0.5, 0.8, 1.2} {
			for _, kind := range limiterKinds {
				s := newSim()
				g := newGroup(kind, s, 1, 1, 2, 2, 4, 4)
				g.forwarding, g.retrying, g.budgeted = kind != "fixed", kind != "fixed", true
				s.arrivals(0, to, load*g.capacity(), g.offer)
				s.runUntil(from)
				g.requests, g.forwards, g.retries, g.failed = 0, 0, 0, 0
				var before []time.Duration
				for _, a := range g.agents {
					a.server.addBusyTime()
					before = append(before, a.server.busyTime)
				}
				s.runUntil(to)
				text, imbalance := g.utilisation(from, before)
				b.Logf("%-13s load %3.0f%%: imbalance %.2f (%s), forwarded %.1f%%, retried %.1f%%, failed %.1f%%",
					kind, 100*load, imbalance, text[1:], g.percent(g.forwards), g.percent(g.retries), g.percent(g.failed))
				if load == 0.8 {
					b.ReportMetric(imbalance, kind+"-imbalance")
				}
			}
		}
	}
}

func (g *group) percent(n int) float64 { return 100 * float64(n) / float64(g.requests) }

func BenchmarkRetries(b *testing.B) {
	for b.Loop() {
		for _, budgeted := range []bool{true, false} {
			s := newSim()
			g := newGroup("cardamomring", s, 1, 1, 1, 1, 1, 1)
			g.forwarding, g.retrying, g.budgeted = true, true, budgeted
			s.arrivals(0, 60*time.Second, 3*g.capacity(), g.offer)
			s.after(30*time.Second, func() { g.agents[0].server.downUntil = epoch.Add(45 * time.Second) })
			s.runUntil(62 * time.Second)
			name := "cardamomring"
			if !budgeted {
				name = "no-budget"
			}
			b.Logf("%-13s 3x load, 1 of 6 servers failing for 15 s: retries %.1f%% of requests, forwards %.1f%%, done %.1f%% of capacity",
				name, g.percent(g.retries), g.percent(g.forwards), 100*float64(g.done)/(g.capacity()*60))
			b.ReportMetric(g.percent(g.retries), name+"-retries-%")
		}
	}
}
