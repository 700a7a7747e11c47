package cropaque_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
)

// steeringHarness runs a balancer's steering against agents that the test answers
// for.
type steeringHarness struct {
	steering *cropaque.Steering
	now      time.Time
	sent     []sentFrame
	// numbers are those of the latest frames sent to agents, which answers repeat.
	numbers map[netip.AddrPort]uint64
	// resets counts the resets, resetKeys holds their flows.
	resets    int
	resetKeys []cropaque.Key
}

// sentFrame is a frame that the balancer has sent.
type sentFrame struct {
	to   netip.AddrPort
	kind cropaque.FrameKind
}

// newSteeringHarness returns a balancer in zone a with a view of agents in five zones.
func newSteeringHarness(agents int, controlFrames float64) *steeringHarness {
	h := &steeringHarness{now: time.Unix(1_700_000_000, 0), numbers: map[netip.AddrPort]uint64{}}
	h.steering = &cropaque.Steering{
		Zone: "a", Random: func() float64 { return 0 }, ViewFresh: func() bool { return true }, ControlFrames: controlFrames,
		LogDecision: func(cropaque.Decision) {}, ResetFlow: func(key cropaque.Key, _ uint32) {
			h.resets++
			h.resetKeys = append(h.resetKeys, key)
		},
		Send: func(to netip.AddrPort, f *cropaque.Frame) {
			h.sent = append(h.sent, sentFrame{to, f.Kind})
			h.numbers[to] = f.Number
		},
	}
	h.steering.Init()
	h.steering.SetView(h.now, viewOf(1, agents))
	return h
}

// viewOf returns a view with agents in five zones.
func viewOf(revision uint64, agents int) *crwire.View {
	v := *newSimulation(1).view
	v.Revision, v.Members = revision, map[uint32]crwire.Member{}
	for i := range agents {
		addr := machineAddr(1, i).String()
		v.Members[uint32(i+1)] = crwire.Member{
			Num: uint32(i + 1), Name: addr, Service: "ledger", Zone: string(rune('a' + i%5)), DatagramAddr: addr,
		}
	}
	return &v
}

// callerPacket returns a packet of an open flow from a caller's port.
func callerPacket(port uint16) cropaque.Packet {
	return cropaque.Packet{From: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), To: routeAddr, Ack: true, Size: 10}
}

// take returns the frames of a kind sent since the last call, and forgets all.
func (h *steeringHarness) take(kind cropaque.FrameKind) []netip.AddrPort {
	var to []netip.AddrPort
	for _, s := range h.sent {
		if s.kind == kind {
			to = append(to, s.to)
		}
	}
	h.sent = nil
	return to
}

// resetsOf returns how often a flow was reset.
func (h *steeringHarness) resetsOf(key cropaque.Key) int {
	n := 0
	for _, k := range h.resetKeys {
		if k == key {
			n++
		}
	}
	return n
}

// answer answers for an agent.
func (h *steeringHarness) answer(from netip.AddrPort, kind cropaque.FrameKind, p cropaque.Packet, data []byte) {
	h.steering.HandleFrame(h.now, from, &cropaque.Frame{Kind: kind, Key: p.KeyFromCaller(), Number: h.numbers[from], Data: data})
}

// maxShortListQuestions is how many agents a lookup may ask first, whatever the size
// of the service: three of each of five zones.
const maxShortListQuestions = 15

// TestLookupAsksFewAgents checks that the owner of a flow that another balancer has
// placed is among the few agents that are asked, on a service of any size.
func TestLookupAsksFewAgents(t *testing.T) {
	for _, agents := range []int{10, 100, 1000} {
		for port := range uint16(50) {
			placing, other := newSteeringHarness(agents, 0), newSteeringHarness(agents, 0)
			p := callerPacket(1024 + port)
			open := cropaque.Packet{From: p.From, To: p.To, Open: true, Seq: 7}
			placing.steering.HandlePacket(placing.now, open, []byte{1})
			owner := placing.take(cropaque.FrameOffer)[0]
			other.steering.HandlePacket(other.now, p, []byte{1})
			asked := other.take(cropaque.FrameSeek)
			if len(asked) > maxShortListQuestions || !slices.Contains(asked, owner) {
				t.Errorf("%d agents: %d were asked, want at most %d with the owner %s", agents, len(asked), maxShortListQuestions, owner)
			}
		}
	}
}

// newOwner returns the gate of the agent on which a balancer places a flow among some
// agents, with the flow open there, the agent's address and a packet of the caller.
func newOwner(agents int) (*gateHarness, netip.AddrPort, cropaque.Packet) {
	p := callerPacket(1024)
	placing := newSteeringHarness(agents, 0)
	open := cropaque.Packet{From: p.From, To: p.To, Open: true, Seq: 7}
	placing.steering.HandlePacket(placing.now, open, []byte{1})
	owner := placing.take(cropaque.FrameOffer)[0]
	h := newGateHarness()
	h.gate.Name, h.gate.Zone = owner.String(), "a"
	h.gate.SetView(viewOf(1, agents))
	h.sendFrame(cropaque.FrameOffer, open)
	h.gate.HandleServerPacket(h.now, cropaque.Packet{From: p.To, To: p.From, Open: true, Ack: true, Seq: 500}, nil)
	p.Acked = 501
	h.sendFrame(cropaque.FrameCarry, p)
	return h, owner, p
}

// TestPushedOutOwnerIsFound checks that the owner of a flow tells the agents of the
// flow's short list about it when agents that joined have pushed it out, that they
// name it to a balancer that asks, and that its packets then go there.
func TestPushedOutOwnerIsFound(t *testing.T) {
	const before, after = 20, 400
	h, owner, p := newOwner(before)
	hinted := map[netip.AddrPort]int{}
	h.gate.Reply = func(to netip.AddrPort, f *cropaque.Frame) {
		if f.Kind == cropaque.FrameHint {
			hinted[to]++
		}
	}
	h.gate.SetView(viewOf(2, after))
	for range 10 {
		h.now = h.now.Add(300 * time.Millisecond)
		h.gate.Tick(h.now)
	}

	asking := newSteeringHarness(after, 0)
	asking.steering.HandlePacket(asking.now, p, []byte{1})
	asked := asking.take(cropaque.FrameSeek)
	if len(hinted) == 0 || slices.Contains(asked, owner) {
		t.Fatalf("hints %v, asked %v: the owner %s wasn't pushed out", hinted, asked, owner)
	}
	for to, n := range hinted {
		if n != 3 || !slices.Contains(asked, to) {
			t.Errorf("%d hints to %s, want 3 to an agent that is asked", n, to)
		}
		other := newGateHarness()
		other.gate.HandleFrame(other.now, owner, &cropaque.Frame{Kind: cropaque.FrameHint, Key: p.KeyFromCaller()}, cropaque.Packet{})
		var answer cropaque.Frame
		other.gate.Reply = func(_ netip.AddrPort, f *cropaque.Frame) { answer = *f }
		other.sendFrame(cropaque.FrameSeek, p)
		asking.steering.HandleFrame(asking.now, to, &answer)
		break
	}
	if diff := cmp.Diff([]netip.AddrPort{owner}, asking.take(cropaque.FrameCarry), cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })); diff != "" {
		t.Errorf("packets sent to agents (-want +got):\n%s", diff)
	}
}

// TestHintsAfterEachJoin guards against an owner that stays silent when it is pushed
// out, because it has counted earlier views, in which it was on the list, as hints.
func TestHintsAfterEachJoin(t *testing.T) {
	h, _, p := newOwner(20)
	hinted := map[netip.AddrPort]bool{}
	h.gate.Reply = func(to netip.AddrPort, f *cropaque.Frame) {
		if f.Kind == cropaque.FrameHint {
			hinted[to] = true
		}
	}
	for agents := 20; agents <= 400; agents++ {
		h.gate.SetView(viewOf(uint64(agents), agents))
	}
	asking := newSteeringHarness(400, 0)
	asking.steering.HandlePacket(asking.now, p, []byte{1})
	told := 0
	for _, a := range asking.take(cropaque.FrameSeek) {
		if hinted[a] {
			told++
		}
	}
	// The three agents of the owner's zone on the present list.
	if diff := cmp.Diff(3, told); diff != "" {
		t.Errorf("agents that are asked and were told (-want +got):\n%s", diff)
	}
}

// TestStaleHint checks that a flow whose named owner denies it is still reset.
func TestStaleHint(t *testing.T) {
	h := newSteeringHarness(100, 60)
	p := callerPacket(1024)
	h.steering.HandlePacket(h.now, p, []byte{1})
	asked := h.take(cropaque.FrameSeek)
	named := machineAddr(1, 0)
	for i := 1; slices.Contains(asked, named); i++ {
		named = machineAddr(1, i)
	}
	elsewhere := &cropaque.Frame{Kind: cropaque.FrameElsewhere, Key: p.KeyFromCaller(), Owner: named}
	h.steering.HandleFrame(h.now, asked[0], elsewhere)
	if diff := cmp.Diff(1, len(h.take(cropaque.FrameCarry))); diff != "" {
		t.Fatalf("packets sent to the agent that was named (-want +got):\n%s", diff)
	}
	h.answer(named, cropaque.FrameForeign, p, []byte{1})
	h.steering.HandleFrame(h.now, asked[1], elsewhere)
	for _, a := range asked[2:] {
		h.answer(a, cropaque.FrameForeign, p, nil)
	}
	for range 40 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.steering.Tick(h.now)
	}
	if diff := cmp.Diff(1, h.resets); diff != "" {
		t.Errorf("resets (-want +got):\n%s", diff)
	}
}

// TestUnownedFlow checks that a caller is reset 300 ms after the agents of the short
// list have denied ownership of its flow, without another packet of its own, and that
// they are asked once. All other agents are asked before the reset if the budget has
// plenty.
func TestUnownedFlow(t *testing.T) {
	for _, c := range []struct {
		controlFrames float64
		questions     int
	}{{0, 100}, {60, maxShortListQuestions}} {
		h := newSteeringHarness(100, c.controlFrames)
		p := callerPacket(1024)
		h.steering.HandlePacket(h.now, p, []byte{1})
		asked := 0
		for step := range 40 {
			for _, a := range h.take(cropaque.FrameSeek) {
				asked++
				h.answer(a, cropaque.FrameForeign, p, nil)
			}
			if step == 20 {
				h.steering.HandlePacket(h.now, p, []byte{1})
			}
			if wantResets := step * 10 / 300; step < 29 && h.resets != wantResets {
				t.Fatalf("%d resets after %d ms", h.resets, 10*step)
			}
			h.now = h.now.Add(10 * time.Millisecond)
			h.steering.Tick(h.now)
		}
		if diff := cmp.Diff([]int{c.questions, 1}, []int{asked, h.resets}); diff != "" {
			t.Errorf("questions and resets with %v frames for control (-want +got):\n%s", c.controlFrames, diff)
		}
	}
}

// TestLookupBudget checks that lookups of many unknown flows stay within the frames
// that a balancer may spend on them.
func TestLookupBudget(t *testing.T) {
	const perSecond = 150
	h := newSteeringHarness(100, perSecond)
	questions := 0
	for i := range uint16(1000) {
		h.steering.HandlePacket(h.now, callerPacket(1024+i), []byte{1})
		questions += len(h.take(cropaque.FrameSeek))
		h.now = h.now.Add(time.Millisecond)
		h.steering.Tick(h.now)
	}
	if questions > 2*perSecond || questions < perSecond/2 {
		t.Errorf("%d questions in a second, want %d to %d", questions, perSecond/2, 2*perSecond)
	}
}

// TestPossibleOwnersAreTriedOnce guards against a packet that goes round between
// agents that may own its flow, each of which returns it, without another packet of
// the caller: 2,988 frames a second for 91 packets of callers on one balancer of the
// large ledger.
func TestPossibleOwnersAreTriedOnce(t *testing.T) {
	const agents = 10
	h := newSteeringHarness(agents, 0)
	p := callerPacket(1024)
	h.steering.HandlePacket(h.now, p, []byte{1})
	carried := 0
	for range 100 {
		sent := h.sent
		h.sent = nil
		h.now = h.now.Add(3 * time.Millisecond)
		for _, f := range sent {
			if f.kind == cropaque.FrameSeek {
				h.answer(f.to, cropaque.FrameMaybe, p, nil)
				continue
			}
			carried++
			h.answer(f.to, cropaque.FrameForeign, p, []byte{1})
		}
	}
	if diff := cmp.Diff(agents, carried); diff != "" {
		t.Errorf("times that the packet was sent to an agent (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, h.resets); diff != "" {
		t.Errorf("resets (-want +got):\n%s", diff)
	}
}

// TestLateBalancer checks that a balancer whose answers all come late, because its
// own link or processor is saturated, doesn't offer each flow to several agents.
func TestLateBalancer(t *testing.T) {
	h := newSteeringHarness(10, 0)
	late := 150 * time.Millisecond
	type pending struct {
		at   time.Time
		from netip.AddrPort
		p    cropaque.Packet
	}
	var answers []pending
	offers, flows := 0, 0
	for step := range 3000 {
		h.now = h.now.Add(time.Millisecond)
		if step%20 == 0 {
			p := callerPacket(uint16(1024 + step))
			p.Open, p.Seq, p.Ack, p.Size = true, 7, false, 0
			h.steering.HandlePacket(h.now, p, []byte{1})
		}
		for len(answers) > 0 && !answers[0].at.After(h.now) {
			a := answers[0]
			answers = answers[1:]
			h.answer(a.from, cropaque.FrameTaken, a.p, nil)
		}
		h.steering.Tick(h.now)
		for _, s := range h.sent {
			if s.kind == cropaque.FramePing {
				answers = append(answers, pending{h.now.Add(late), s.to, cropaque.Packet{}})
			}
		}
		for _, to := range h.take(cropaque.FrameOffer) {
			if step >= 1000 {
				offers++
			}
			p := callerPacket(uint16(1024 + step/20*20))
			answers = append(answers, pending{h.now.Add(late), to, p})
		}
		if step >= 1000 && step%20 == 0 {
			flows++
		}
	}
	if ratio := float64(offers) / float64(flows); ratio > 1.2 {
		t.Errorf("%.2f offers for each flow, want at most 1.2", ratio)
	}
}

// TestServerThatStartedWithItsAgent checks that an agent doesn't claim unknown flows
// for a backend server that started about when it did: it can't hold any.
func TestServerThatStartedWithItsAgent(t *testing.T) {
	for _, c := range []struct {
		headStart time.Duration
		want      string
	}{{300 * time.Millisecond, "foreign none"}, {5 * time.Second, "maybe none"}} {
		h := newGateHarness()
		h.now = h.serverStartedAt.Add(c.headStart)
		h.gate.StartedAt = h.now
		h.sendFrame(cropaque.FrameSeek, callerPacket(1024))
		h.wantReply(t, "a flow that the agent doesn't know", c.want)
	}
}

// TestReturnedFlowMayBeOpenElsewhere guards against the reset of a living flow: a
// copy of its opening packet went through another balancer, whose agent's backend
// server the caller has opened, and then an agent that had kept the flow waiting gave
// it back to this balancer.
func TestReturnedFlowMayBeOpenElsewhere(t *testing.T) {
	for _, c := range []struct {
		copies, resets int
	}{{1, 0}, {2, 1}} {
		h := newSteeringHarness(10, 0)
		p := callerPacket(1024)
		p.Open, p.Ack, p.Seq, p.Size = true, false, 7, 0
		h.steering.HandlePacket(h.now, p, []byte{1})
		agent := h.take(cropaque.FrameOffer)[0]
		h.answer(agent, cropaque.FrameTaken, p, nil)
		h.now = h.now.Add(200 * time.Millisecond)
		if c.copies > 1 {
			p.Age = 200 * time.Millisecond
			h.steering.HandlePacket(h.now, p, []byte{1})
			h.answer(agent, cropaque.FrameTaken, p, nil)
		}
		h.now = h.now.Add(100 * time.Millisecond)
		h.steering.HandleFrame(h.now, agent, &cropaque.Frame{
			Kind: cropaque.FrameRefused, Key: p.KeyFromCaller(), Number: h.numbers[agent], Reason: cropaque.ReasonFull,
		})
		if diff := cmp.Diff(c.resets, h.resets); diff != "" {
			t.Errorf("resets after %d of 2 opening packets (-want +got):\n%s", c.copies, diff)
		}
	}
}

// TestLostOfferResetsNoFlow guards against the reset of living flows of an agent that
// lost one offer while the balancer had no frames left to test the agent with.
func TestLostOfferResetsNoFlow(t *testing.T) {
	h := newSteeringHarness(1, 1)
	p := callerPacket(1024)
	open := p
	open.Open, open.Ack, open.Seq, open.Size = true, false, 7, 0
	h.steering.HandlePacket(h.now, open, []byte{1})
	agent := h.take(cropaque.FrameOffer)[0]
	h.answer(agent, cropaque.FrameTaken, p, nil)
	h.steering.HandlePacket(h.now, p, []byte{1})
	other := open
	other.From = callerPacket(1025).From
	h.steering.HandlePacket(h.now, other, []byte{1})
	pings := 0
	for range 200 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.steering.Tick(h.now)
		pings += len(h.take(cropaque.FramePing))
	}
	if diff := cmp.Diff([]int{0, 2}, []int{h.resetsOf(p.KeyFromCaller()), pings}); diff != "" {
		t.Errorf("resets of the living flow, and pings in 2 s (-want +got):\n%s", diff)
	}
}

// TestLookupAfterMembersChange guards against the reset of a living flow whose owner was
// pushed out of the short list by agents that have just joined, before its hints have
// come, or has just lost its membership, while the budget lets few agents be asked.
func TestLookupAfterMembersChange(t *testing.T) {
	_, owner, p := newOwner(20)
	cutOff := viewOf(2, 20)
	for num, m := range cutOff.Members {
		if m.DatagramAddr == owner.String() {
			delete(cutOff.Members, num)
		}
	}
	for name, next := range map[string]*crwire.View{"agents join": viewOf(2, 400), "the owner is no member any more": cutOff} {
		h := newSteeringHarness(20, 60)
		h.steering.SetView(h.now, next)
		h.steering.HandlePacket(h.now, p, []byte{1})
		if asked := h.take(cropaque.FrameSeek); !slices.Contains(asked, owner) {
			t.Errorf("%s: %v are asked, want the owner %s among them", name, asked, owner)
		}
	}
}
