package cropaque_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cropaque"
)

// openingHarness runs a balancer that places one flow; agents answer as a test says.
type openingHarness struct {
	*steeringHarness
	p cropaque.Packet
}

// newOpening sends a caller's first opening packet to a balancer with a few agents.
func newOpening(agents int) *openingHarness {
	h := &openingHarness{newSteeringHarness(agents, 0), callerPacket(1024)}
	h.p.Open, h.p.Ack, h.p.Seq, h.p.Size = true, false, 7, 0
	h.copyAt(0)
	return h
}

// copyAt sends the copy of the opening packet that the caller sends after a time.
func (h *openingHarness) copyAt(age time.Duration) {
	p := h.p
	p.Age = age
	h.steering.HandlePacket(h.now, p, []byte{1})
}

// refuse refuses the latest offer that an agent got, for an agent that has no slot.
func (h *openingHarness) refuse(agent netip.AddrPort) {
	h.steering.HandleFrame(h.now, agent, &cropaque.Frame{
		Kind: cropaque.FrameRefused, Key: h.p.KeyFromCaller(), Number: h.numbers[agent], Reason: cropaque.ReasonFull,
	})
}

// pass lets time pass. Agents for which refuses is true refuse the offers; the others
// don't answer. It returns the agents that got offers.
func (h *openingHarness) pass(d time.Duration, refuses func(to netip.AddrPort) bool) map[netip.AddrPort]bool {
	offered := map[netip.AddrPort]bool{}
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(5 * time.Millisecond) {
		for range 20 {
			for _, to := range h.take(cropaque.FrameOffer) {
				offered[to] = true
				if refuses(to) {
					h.refuse(to)
				}
			}
		}
		h.steering.Tick(h.now)
	}
	return offered
}

// all is true for all agents.
func all(netip.AddrPort) bool { return true }

// TestUnansweredOfferPreventsReset guards against the reset of a living flow of an agent
// whose answer was lost or is late. When that agent has refused the flow after all, the
// caller is reset at once.
func TestUnansweredOfferPreventsReset(t *testing.T) {
	h := newOpening(4)
	silent := h.take(cropaque.FrameOffer)[0]
	h.pass(190*time.Millisecond, func(to netip.AddrPort) bool { return to != silent })
	h.copyAt(200 * time.Millisecond)
	h.pass(390*time.Millisecond, func(to netip.AddrPort) bool { return to != silent })
	if diff := cmp.Diff(0, h.resets); diff != "" {
		t.Errorf("resets while an offer is unanswered (-want +got):\n%s", diff)
	}
	h.answer(silent, cropaque.FramePong, h.p, nil)
	h.copyAt(600 * time.Millisecond)
	h.pass(100*time.Millisecond, all)
	if diff := cmp.Diff(1, h.resets); diff != "" {
		t.Errorf("resets after all have refused (-want +got):\n%s", diff)
	}
}

// TestEarlierRefusalPreventsNoTake guards against a refusal of an earlier offer that
// comes after a later one was sent, which the agent may take.
func TestEarlierRefusalPreventsNoTake(t *testing.T) {
	h := newOpening(1)
	agent := h.take(cropaque.FrameOffer)[0]
	first := h.numbers[agent]
	h.pass(100*time.Millisecond, func(netip.AddrPort) bool { return false })
	h.steering.HandleFrame(h.now, agent, &cropaque.Frame{
		Kind: cropaque.FrameRefused, Key: h.p.KeyFromCaller(), Number: first, Reason: cropaque.ReasonFull,
	})
	h.pass(500*time.Millisecond, func(netip.AddrPort) bool { return false })
	if diff := cmp.Diff(0, h.resets); diff != "" {
		t.Errorf("resets (-want +got):\n%s", diff)
	}
}

// TestGivenBackFlowIsOfferedAgain checks that a flow that its owner gives back soon goes
// to another agent without another packet of the caller, and without a reset.
func TestGivenBackFlowIsOfferedAgain(t *testing.T) {
	h := newOpening(4)
	owner := h.take(cropaque.FrameOffer)[0]
	h.answer(owner, cropaque.FrameTaken, h.p, nil)
	h.refuse(owner)
	next := h.take(cropaque.FrameOffer)
	if diff := cmp.Diff([]int{1, 0}, []int{len(next), h.resets}); diff != "" || next[0] == owner {
		t.Errorf("offers and resets (-want +got):\n%s, offered to %v by %s", diff, next, owner)
	}
}

// TestCopyAfterReset guards against the reset of a living flow by a reset that waited in
// the balancer's link: a copy of the opening packet that came meanwhile was placed, and
// its flow opened. The copy is answered with a reset.
func TestCopyAfterReset(t *testing.T) {
	h := newOpening(4)
	h.refuse(h.take(cropaque.FrameOffer)[0])
	h.pass(150*time.Millisecond, all)
	h.now = h.now.Add(50 * time.Millisecond)
	h.copyAt(200 * time.Millisecond)
	h.pass(50*time.Millisecond, all)
	resets := h.resets
	h.copyAt(200 * time.Millisecond)
	offered := h.pass(10*time.Millisecond, all)
	if diff := cmp.Diff([]int{resets + 1, 0}, []int{h.resets, len(offered)}); diff != "" || resets == 0 {
		t.Errorf("%d resets; then resets and offers for a copy (-want +got):\n%s", resets, diff)
	}
}

// TestNoResetWhileACopyMayBeElsewhere checks that a caller isn't reset when a copy of
// its opening packet that hasn't come may have gone through another balancer, counting
// the time that packets wait at this one: its loop has just been late.
func TestNoResetWhileACopyMayBeElsewhere(t *testing.T) {
	for _, c := range []struct {
		late   time.Duration
		resets int
	}{{0, 1}, {300 * time.Millisecond, 0}} {
		h := newSteeringHarness(4, 0)
		h.steering.Tick(h.now)
		h.now = h.now.Add(250*time.Millisecond + c.late)
		o := &openingHarness{h, callerPacket(1024)}
		o.p.Open, o.p.Ack, o.p.Seq, o.p.Size = true, false, 7, 0
		o.copyAt(0)
		for range 20 {
			for _, to := range o.take(cropaque.FrameOffer) {
				o.refuse(to)
			}
		}
		if diff := cmp.Diff(c.resets, h.resets); diff != "" {
			t.Errorf("resets by a balancer that was %s late (-want +got):\n%s", c.late, diff)
		}
	}
}

// TestLateAnswerToGivenBackFlow checks that an agent that has given a flow back doesn't
// let it open when its backend server accepts it late, and that it lets a flow that was
// offered again open.
func TestLateAnswerToGivenBackFlow(t *testing.T) {
	h := newGateHarness()
	answers := 0
	h.gate.ToCaller = func(cropaque.Key, []byte) { answers++ }
	key := h.offer()
	h.now = h.now.Add(100 * time.Millisecond)
	h.gate.Tick(h.now)
	h.wantReply(t, "the backend server is silent", "refused silent")
	synAck := cropaque.Packet{From: key.Service, To: key.Caller, Open: true, Ack: true, Seq: 500}
	h.gate.HandleServerPacket(h.now, synAck, nil)
	if diff := cmp.Diff(0, answers); diff != "" {
		t.Errorf("answers sent to the caller after the flow was given back (-want +got):\n%s", diff)
	}
	h.sendFrame(cropaque.FrameOffer, cropaque.Packet{From: key.Caller, To: key.Service, Open: true, Seq: 7})
	h.gate.HandleServerPacket(h.now, synAck, nil)
	if diff := cmp.Diff(1, answers); diff != "" {
		t.Errorf("answers sent to the caller after another offer (-want +got):\n%s", diff)
	}
}

// TestReturnedCopy checks that an agent keeps a flow whose backend server has accepted
// one copy of the opening packet and returns another.
func TestReturnedCopy(t *testing.T) {
	h := newGateHarness()
	key := h.openFlow()
	h.gate.HandleServerPacket(h.now, cropaque.Packet{From: key.Caller, To: key.Service, Open: true, Seq: 7, Returned: true}, []byte{1})
	h.sendFrame(cropaque.FrameSeek, cropaque.Packet{From: key.Caller, To: key.Service, Ack: true})
	h.wantReply(t, "lookup", "own none")
}

// TestRepeatedHandshakeAnswer guards against an agent that returns the packets of an open
// flow: its backend server had answered a late copy of the opening packet once more, and
// the agent then took the caller's acknowledgement for one of another backend server.
func TestRepeatedHandshakeAnswer(t *testing.T) {
	h := newGateHarness()
	key := h.openFlow()
	h.gate.HandleServerPacket(h.now, cropaque.Packet{From: key.Service, To: key.Caller, Ack: true, Seq: 501, Size: 1000}, nil)
	h.gate.HandleServerPacket(h.now, cropaque.Packet{From: key.Service, To: key.Caller, Open: true, Ack: true, Seq: 500}, nil)
	replies := len(h.replies)
	h.sendFrame(cropaque.FrameCarry, cropaque.Packet{From: key.Caller, To: key.Service, Ack: true, Acked: 1501})
	if diff := cmp.Diff(0, len(h.replies)-replies); diff != "" {
		t.Errorf("packets returned to the balancer (-want +got):\n%s", diff)
	}
}
