package cradmit_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomring.dev/internal/cradmit"
)

// hopTime is one way between two agents.
const hopTime = 1500 * time.Microsecond

// othersMax is how many other agents a request is offered to, as in the agent.
const othersMax = 2

// node is one agent of a group: a gate, and for ours the choice of others.
type node struct {
	name   string
	group  *group
	server *server
	gate   gate
	speed  float64
	peers  cradmit.Peers
	budget cradmit.RetryBudget
}

// group is a service's agents. Requests reach them in turn.
type group struct {
	sim   *sim
	nodes []*node
	// forwarding runs requests at less loaded agents; retrying tries those
	// that failed elsewhere; budgeted bounds these.
	forwarding, retrying, budgeted bool

	requests, forwards, retries, done, failed int
}

func newGroup(kind string, s *sim, speeds ...float64) *group {
	g := &group{sim: s}
	for i, speed := range speeds {
		v := newServer(s, workers/2)
		n := &node{name: fmt.Sprint(i), group: g, server: v, speed: speed, gate: newGate(kind, s, v)}
		n.peers.Rand = s.rng.Float64
		g.nodes = append(g.nodes, n)
	}
	return g
}

// capacity is what all servers run, in requests a second.
func (g *group) capacity() float64 {
	total := 0.0
	for _, n := range g.nodes {
		total += n.speed * capacity / 4
	}
	return total
}

// offer takes a caller's request at the next agent in turn. The route is
// that of cragent's Agent.route.
func (g *group) offer() {
	n := g.nodes[g.requests%len(g.nodes)]
	g.requests++
	n.budget.RecordRequest()
	end := g.sim.now.Add(deadline / 4)
	tried := map[string]bool{n.name: true}
	if g.forwarding {
		if name, ok := n.peers.PickLessLoaded(n.gate.load(), g.names(tried), g.sim.now); ok {
			g.forwards++
			g.hop(n, name, tried, end, func(result cradmit.Result, refused bool) {
				if result == cradmit.ResultDone {
					g.done++
					return
				}
				n.run(end, g.after(n, tried, end, refused))
			})
			return
		}
	}
	n.run(end, g.after(n, tried, end, true))
}

// after returns what happens once a try has ended.
func (g *group) after(n *node, tried map[string]bool, end time.Time, _ bool) func(cradmit.Result, bool) {
	return func(result cradmit.Result, refused bool) {
		if result == cradmit.ResultDone {
			g.done++
			return
		}
		name, ok := n.peers.PickLeastLoaded(g.names(tried), g.sim.now)
		if !g.retrying || len(tried) > othersMax || !ok || g.sim.now.After(end) || g.budgeted && !n.budget.TakeRetry(false) {
			g.failed++
			return
		}
		g.retries++
		g.hop(n, name, tried, end, g.after(n, tried, end, refused))
	}
}

// hop runs a request at another agent and learns from the answer.
func (g *group) hop(from *node, name string, tried map[string]bool, end time.Time, ended func(cradmit.Result, bool)) {
	tried[name] = true
	to := g.find(name)
	g.sim.after(hopTime, func() {
		to.run(end, func(result cradmit.Result, refused bool) {
			load := to.gate.load()
			g.sim.after(hopTime, func() {
				from.peers.RecordAnswer(name, load, g.sim.now)
				ended(result, refused)
			})
		})
	})
}

// run offers a request to the node's own gate. Its size is twice the mean
// service time at a server of speed 1.
func (n *node) run(end time.Time, ended func(cradmit.Result, bool)) {
	size := time.Duration(float64(n.group.sim.service(2*serviceTime)) / n.speed)
	n.gate.offer(&call{class: "balance", size: size, deadline: end, ended: ended})
}

func (g *group) find(name string) *node {
	for _, n := range g.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (g *group) names(without map[string]bool) []string {
	var out []string
	for _, n := range g.nodes {
		if !without[n.name] {
			out = append(out, n.name)
		}
	}
	return out
}

// utilisation returns each server's busy share of its workers since a time,
// with the greatest over the mean.
func (g *group) utilisation(since time.Duration, before []time.Duration) (text string, imbalance float64) {
	sum, top := 0.0, 0.0
	for i, n := range g.nodes {
		n.server.account()
		share := (n.server.busy - before[i]).Seconds() / (g.sim.elapsed() - since).Seconds() / float64(n.server.full)
		text += fmt.Sprintf(" %gx %.2f", n.speed, share)
		if a, ok := n.gate.(*admitted); ok {
			text += fmt.Sprintf("/%d", a.admission.Limit(g.sim.now))
		}
		sum += share
		top = max(top, share)
	}
	return text, top / (sum / float64(len(g.nodes)))
}

func BenchmarkImbalance(b *testing.B) {
	const from, to = 60 * time.Second, 120 * time.Second
	for b.Loop() {
		for _, load := range []float64{0.3, 0.5, 0.8, 1.2} {
			for _, kind := range kinds {
				s := newSim()
				g := newGroup(kind, s, 1, 1, 2, 2, 4, 4)
				g.forwarding, g.retrying, g.budgeted = kind != "fixed", kind != "fixed", true
				s.arrivals(0, to, load*g.capacity(), g.offer)
				s.runUntil(from)
				g.requests, g.forwards, g.retries, g.failed = 0, 0, 0, 0
				var before []time.Duration
				for _, n := range g.nodes {
					n.server.account()
					before = append(before, n.server.busy)
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
			s.after(30*time.Second, func() { g.nodes[0].server.down = epoch.Add(45 * time.Second) })
			s.runUntil(62 * time.Second)
			name := "cardamomring"
			if !budgeted {
				name = "no-budget"
			}
			b.Logf("%-13s 3x load, one of 6 servers failing for 15 s: retries %.1f%% of requests, forwards %.1f%%, done %.1f%% of capacity",
				name, g.percent(g.retries), g.percent(g.forwards), 100*float64(g.done)/(g.capacity()*60))
			b.ReportMetric(g.percent(g.retries), name+"-retries-%")
		}
	}
}
