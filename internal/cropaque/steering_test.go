package cropaque_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
)

// longFlow opens a flow in a world and returns its attempt and its agent. The
// backend server answers late, so that the flow stays open.
func longFlow(t *testing.T, w *world) (*attempt, *agent) {
	t.Helper()
	w.deadline = time.Minute
	r := &request{came: w.now}
	w.requests = append(w.requests, r)
	for _, a := range w.agents {
		a.server.work = 20 * time.Second
	}
	w.try(r)
	w.run(200 * time.Millisecond)
	at := r.attempts[0]
	if !at.opened {
		t.Fatal("the flow isn't open")
	}
	return at, at.at
}

// members puts a view without some agents in force on the balancers.
func (w *world) members(without ...*agent) {
	v := *w.view
	v.Revision++
	v.Members = map[uint32]crwire.Member{}
	for num, m := range w.view.Members {
		v.Members[num] = m
		for _, a := range without {
			if m.DatagramAddr == a.addr.String() {
				delete(v.Members, num)
			}
		}
	}
	for _, b := range w.balancers {
		b.steering.SetView(w.now, &v)
	}
}

// TestAgentCutFromControl: an agent that lost its membership, because it is cut
// off from control alone, keeps its flows as long as it answers balancers.
func TestAgentCutFromControl(t *testing.T) {
	w := newWorld(6)
	at, a := longFlow(t, w)
	w.members(a)
	w.run(5 * time.Second)
	if at.ended || w.brokenFlows > 0 {
		t.Errorf("the flow was reset, %d broken", w.brokenFlows)
	}
	a.down, a.server.down = true, true
	w.run(5 * time.Second)
	if !at.ended {
		t.Error("5 s after its agent is gone and silent, the caller isn't told")
	}
}

// TestRolledAgent: an agent that stops and comes back beside a living backend
// server loses no flow and gets new ones again.
func TestRolledAgent(t *testing.T) {
	w := newWorld(7)
	at, a := longFlow(t, w)
	a.gate.Drain()
	a.down = true
	w.run(800 * time.Millisecond)
	a.start()
	w.run(3 * time.Second)
	if at.ended || w.brokenFlows > 0 {
		t.Errorf("the flow was reset, %d broken", w.brokenFlows)
	}
	for _, other := range w.agents {
		other.server.work = work
		if other != a {
			other.down = true
		}
	}
	w.deadline = 2 * time.Second
	w.load(20, 2*time.Second, true)
	w.run(4 * time.Second)
	if len(a.server.flows) < 10 {
		t.Errorf("the agent that came back got %d flows", len(a.server.flows)-1)
	}
}

// TestDisownedFlow: a caller is told only when all agents have disowned its
// flow twice, a while apart, and the view is proven.
func TestDisownedFlow(t *testing.T) {
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
	v := newWorld(1).view
	v.Members = map[uint32]crwire.Member{}
	for i, addr := range addrs {
		v.Members[uint32(i)] = crwire.Member{Num: uint32(i), Name: addr, Service: "ledger", Zone: "a", DatagramAddr: addr}
	}
	s.SetView(now, v)
	p := cropaque.Packet{From: netip.MustParseAddrPort("100.64.0.1:5000"), To: entrance, Ack: true, Size: 10}
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

// TestOffersAreBounded replays callers that return to a large service whose
// agents are all full: a flow costs six offers at most, not two for each agent.
func TestOffersAreBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	offers, resets := 0, 0
	var s *cropaque.Steering
	s = &cropaque.Steering{
		Zone: "a", Random: func() float64 { return 0 }, ViewFresh: func() bool { return true },
		LogDecision: func(cropaque.Decision) {}, ResetFlow: func(cropaque.Key, uint32) { resets++ },
		Send: func(to netip.AddrPort, f *cropaque.Frame) {
			offers++
			s.HandleFrame(now, to, &cropaque.Frame{
				Kind: cropaque.FrameRefused, Key: f.Key, Reason: cropaque.ReasonFull, Load: cropaque.Load{Busy: 3, Slots: 3},
			})
		},
	}
	s.Init()
	v := newWorld(1).view
	v.Members = map[uint32]crwire.Member{}
	for i := range uint32(45) {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 7000).String()
		v.Members[i] = crwire.Member{Num: i, Name: addr, Service: "ledger", Zone: "a", DatagramAddr: addr}
	}
	s.SetView(now, v)
	s.HandlePacket(now, cropaque.Packet{From: netip.MustParseAddrPort("100.64.0.1:5000"), To: entrance, Open: true}, []byte{1})
	if diff := cmp.Diff([]int{6, 1}, []int{offers, resets}); diff != "" {
		t.Errorf("offers and resets (-want +got):\n%s", diff)
	}
}
