package cropaque_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
)

// openLongFlow opens a flow and returns its attempt and its agent. The backend
// server takes 20 s to answer, so the flow stays open.
func openLongFlow(t *testing.T, sim *simulation) (*attempt, *agent) {
	t.Helper()
	sim.callerTimeout = time.Minute
	r := &request{arrivedAt: sim.now}
	sim.requests = append(sim.requests, r)
	for _, a := range sim.agents {
		a.server.requestDuration = 20 * time.Second
	}
	sim.startAttempt(r)
	sim.run(200 * time.Millisecond)
	att := r.attempts[0]
	if !att.opened {
		t.Fatal("the flow isn't open")
	}
	return att, att.agent
}

// removeMembers applies a view without some agents on the balancers.
func (sim *simulation) removeMembers(without ...*agent) {
	v := *sim.view
	v.Revision++
	v.Members = map[uint32]crwire.Member{}
	for num, m := range sim.view.Members {
		v.Members[num] = m
		for _, a := range without {
			if m.DatagramAddr == a.addr.String() {
				delete(v.Members, num)
			}
		}
	}
	for _, b := range sim.balancers {
		b.steering.SetView(sim.now, &v)
	}
}

// TestAgentCutFromControl checks that an agent that lost its membership,
// because it is cut off from control only, keeps its flows as long as it
// answers balancers.
func TestAgentCutFromControl(t *testing.T) {
	sim := newSimulation(6)
	att, cutOff := openLongFlow(t, sim)
	sim.removeMembers(cutOff)
	sim.run(5 * time.Second)
	if att.ended || sim.brokenFlows > 0 {
		t.Errorf("the flow was reset, %d broken", sim.brokenFlows)
	}
	cutOff.down, cutOff.server.down = true, true
	sim.run(5 * time.Second)
	if !att.ended {
		t.Error("the caller isn't reset 5 s after its agent was removed and fell silent")
	}
}

// TestDrainedAgentKeepsFlows checks that an agent that stops and restarts
// beside a running backend server loses no flow and gets new ones again.
func TestDrainedAgentKeepsFlows(t *testing.T) {
	sim := newSimulation(7)
	att, restarted := openLongFlow(t, sim)
	restarted.gate.Drain()
	restarted.down = true
	sim.run(800 * time.Millisecond)
	restarted.start()
	sim.run(3 * time.Second)
	if att.ended || sim.brokenFlows > 0 {
		t.Errorf("the flow was reset, %d broken", sim.brokenFlows)
	}
	for _, other := range sim.agents {
		other.server.requestDuration = requestDuration
		if other != restarted {
			other.down = true
		}
	}
	sim.callerTimeout = 2 * time.Second
	sim.addLoad(20, 2*time.Second, true)
	sim.run(4 * time.Second)
	if len(restarted.server.flows) < 10 {
		t.Errorf("the restarted agent got %d flows, want at least 9", len(restarted.server.flows)-1)
	}
}

// TestUnownedFlowReset checks that a caller is reset only when all agents have
// denied ownership of its flow twice, some time apart, and the view is
// confirmed.
func TestUnownedFlowReset(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	fresh, resets := false, 0
	addrs := []string{"10.1.0.1:7000", "10.1.0.2:7000"}
	var s *cropaque.Steering
	s = &cropaque.Steering{
		Zone: "a", Random: func() float64 { return 0 }, ViewFresh: func() bool { return fresh },
		LogDecision: func(cropaque.Decision) {}, ResetFlow: func(cropaque.Key, uint32) { resets++ },
		Send: func(to netip.AddrPort, f *cropaque.Frame) {
			if f.Kind == cropaque.FrameSeek {
				answers := &cropaque.Frame{Kind: cropaque.FrameForeign, Key: f.Key}
				defer s.HandleFrame(now, to, answers)
			}
		},
	}
	s.Init()
	v := newSimulation(1).view
	v.Members = map[uint32]crwire.Member{}
	for i, addr := range addrs {
		v.Members[uint32(i)] = crwire.Member{Num: uint32(i), Name: addr, Service: "ledger", Zone: "a", DatagramAddr: addr}
	}
	s.SetView(now, v)
	p := cropaque.Packet{From: netip.MustParseAddrPort("100.64.0.1:5000"), To: routeAddr, Ack: true, Size: 10}
	var got []int
	for _, step := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond} {
		now = now.Add(step)
		s.HandlePacket(now, p, []byte{1})
		s.Tick(now)
		got = append(got, resets)
		fresh = len(got) == 3
	}
	if diff := cmp.Diff([]int{0, 0, 0, 1}, got); diff != "" {
		t.Errorf("resets after each packet (-want +got):\n%s", diff)
	}
}

// TestOfferLimit guards against floods of offers when callers return to a
// large service whose agents are all full: a flow causes at most six offers,
// not two for each agent.
func TestOfferLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	offers, resets := 0, 0
	var s *cropaque.Steering
	s = &cropaque.Steering{
		Zone: "a", Random: func() float64 { return 0 }, ViewFresh: func() bool { return true },
		LogDecision: func(cropaque.Decision) {}, ResetFlow: func(cropaque.Key, uint32) { resets++ },
		Send: func(to netip.AddrPort, f *cropaque.Frame) {
			offers++
			s.HandleFrame(now, to, &cropaque.Frame{
				Kind: cropaque.FrameRefused, Key: f.Key, Number: f.Number, Reason: cropaque.ReasonFull, Load: cropaque.Load{Busy: 3, Slots: 3},
			})
		},
	}
	s.Init()
	v := newSimulation(1).view
	v.Members = map[uint32]crwire.Member{}
	for i := range uint32(45) {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 7000).String()
		v.Members[i] = crwire.Member{Num: i, Name: addr, Service: "ledger", Zone: "a", DatagramAddr: addr}
	}
	s.SetView(now, v)
	s.HandlePacket(now, cropaque.Packet{From: netip.MustParseAddrPort("100.64.0.1:5000"), To: routeAddr, Open: true}, []byte{1})
	if diff := cmp.Diff([]int{6, 1}, []int{offers, resets}); diff != "" {
		t.Errorf("offers and resets (-want +got):\n%s", diff)
	}
}

// TestPortReuse guards against a new flow that reaches the owner of a former
// flow of the same port without being offered: the owner may be full, cold or
// draining by then.
func TestPortReuse(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var kinds []string
	s := &cropaque.Steering{
		Zone: "a", Random: func() float64 { return 0 }, ViewFresh: func() bool { return true },
		LogDecision: func(cropaque.Decision) {}, ResetFlow: func(cropaque.Key, uint32) {},
		Send: func(_ netip.AddrPort, f *cropaque.Frame) { kinds = append(kinds, f.Kind.String()) },
	}
	s.Init()
	s.SetView(now, newSimulation(1).view)
	p := cropaque.Packet{From: netip.MustParseAddrPort("100.64.0.1:5000"), To: routeAddr, Open: true, Seq: 7}
	s.HandlePacket(now, p, []byte{1})
	s.HandleFrame(now, netip.MustParseAddrPort("10.1.0.1:7000"), &cropaque.Frame{Kind: cropaque.FrameTaken, Key: p.KeyFromCaller()})
	s.HandlePacket(now, cropaque.Packet{From: p.From, To: p.To, Ack: true, Size: 10}, []byte{1})
	s.HandlePacket(now, p, []byte{1})
	p.Seq = 9_000
	s.HandlePacket(now, p, []byte{1})
	if diff := cmp.Diff([]string{"offer", "carry", "carry", "offer"}, kinds); diff != "" {
		t.Errorf("frames sent for the first flow, its request, a copy of its opening packet and the next flow (-want +got):\n%s", diff)
	}
}
