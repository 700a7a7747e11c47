package crroute_test

import (
	"fmt"
	"testing"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// agentCounts lists the table sizes of the benchmarks, in agents.
var agentCounts = []int{10, 1000, 48_000}

// viewOfSize returns a view with n agents of the service "ledger".
func viewOfSize(n int) *crwire.View {
	v := &crwire.View{
		Revision: 1, Services: map[string]*crdoc.Service{"ledger": {}}, Members: make(map[uint32]crwire.Member, n),
	}
	for _, a := range agents(n) {
		v.Members[a.Num] = crwire.Member{
			Num: a.Num, Service: "ledger", Zone: a.Zone, Host: a.Host, DatagramAddr: "10.0.0.1:9", Weight: a.Weight,
		}
	}
	return v
}

// BenchmarkForward measures the balancer's work for one datagram, without the
// sockets: routing it and writing the envelope.
func BenchmarkForward(b *testing.B) {
	s := newSealer(b, "one")
	mac := s.MAC
	for _, n := range agentCounts {
		var router crroute.Router
		plan := router.Update(viewOfSize(n), epoch)
		owned := append(shortPacket(s, 7, "ledger"), make([]byte, 1200)...)
		for name, packet := range map[string][]byte{"owned": owned, "first": initialPacket()} {
			b.Run(fmt.Sprintf("%s/agents=%d", name, n), func(b *testing.B) {
				var route crroute.Route
				env := crwire.Envelope{Service: []byte("ledger"), Caller: caller, ReturnAddr: caller, Revision: 1}
				buf := make([]byte, 0, 2000)
				b.ReportAllocs()
				for b.Loop() {
					if plan.Route(s, "ledger", caller, packet, &route) != crroute.ReasonNone {
						b.Fatal("dropped")
					}
					env.Chain, env.ChainLen, env.AcceptFrom, env.Owned = route.Chain, route.ChainLen, route.AcceptFrom, route.Owned
					env.Payload = packet
					buf = crwire.AppendEnvelope(buf[:0], &env, mac)
				}
				b.ReportMetric(float64(len(buf)-len(packet)), "overhead-B")
			})
		}
	}
}

// BenchmarkOpenEnvelope measures parsing and authenticating an envelope, the
// agent's first step for each datagram.
func BenchmarkOpenEnvelope(b *testing.B) {
	s := newSealer(b, "one")
	env := crwire.Envelope{
		Service: []byte("ledger"), Caller: caller, ReturnAddr: caller, Revision: 1, ChainLen: 3,
		Chain: [crwire.ChainMax]uint32{1, 2, 3}, Payload: initialPacket(),
	}
	data := crwire.AppendEnvelope(nil, &env, s.MAC)
	verify := s.Verify
	b.ReportAllocs()
	for b.Loop() {
		if err := crwire.OpenEnvelope(data, &env, verify); err != nil {
			b.Fatal(err)
		}
	}
}

// lookupTables maps the kind of table to a function that builds one and returns
// its lookup function.
var lookupTables = map[string]func(list []crroute.Agent) func(key uint64) uint32{
	"rendezvous": func(list []crroute.Agent) func(uint64) uint32 { return crroute.NewTable(list).Lookup },
	"maglev":     func(list []crroute.Agent) func(uint64) uint32 { return newMaglev(list).lookup },
}

// BenchmarkLookup compares lookups in both kinds of table.
func BenchmarkLookup(b *testing.B) {
	for name, build := range lookupTables {
		for _, n := range agentCounts {
			lookup := build(agents(n))
			b.Run(fmt.Sprintf("%s/agents=%d", name, n), func(b *testing.B) {
				key := uint64(0)
				for b.Loop() {
					key += 0x9e3779b97f4a7c15
					lookup(key)
				}
			})
		}
	}
}

// BenchmarkBuild compares building both kinds of table.
func BenchmarkBuild(b *testing.B) {
	for name, build := range lookupTables {
		for _, n := range agentCounts {
			list := agents(n)
			b.Run(fmt.Sprintf("%s/agents=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					build(list)
				}
			})
		}
	}
}

// BenchmarkPlan measures the balancer's work for one change of the view.
func BenchmarkPlan(b *testing.B) {
	for _, n := range agentCounts {
		v := viewOfSize(n)
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				var router crroute.Router
				router.Update(v, epoch)
			}
		})
	}
}

// BenchmarkMoved reports the share of flows that move when the agent in the
// middle of the list is removed, and the share that the agent owned.
func BenchmarkMoved(b *testing.B) {
	const flows = 200_000
	for name, build := range lookupTables {
		for _, n := range agentCounts {
			b.Run(fmt.Sprintf("%s/agents=%d", name, n), func(b *testing.B) {
				list := agents(n)
				removed := list[n/2]
				before := build(list)
				after := build(append(append([]crroute.Agent{}, list[:n/2]...), list[n/2+1:]...))
				moved, owned := 0, 0
				for b.Loop() {
					moved, owned = 0, 0
					for _, key := range keys(1, flows) {
						was := before(key)
						if was == removed.Num {
							owned++
						}
						if was != after(key) {
							moved++
						}
					}
				}
				b.ReportMetric(float64(moved)/flows*1e6, "moved-ppm")
				b.ReportMetric(float64(owned)/flows*1e6, "held-ppm")
			})
		}
	}
}
