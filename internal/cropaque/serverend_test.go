package cropaque_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cropaque"
)

// TestGateServerRestart checks that callers of open flows are reset when their
// backend server restarts, and that a flow that wasn't open is returned to its
// balancer.
func TestGateServerRestart(t *testing.T) {
	h := newGateHarness()
	key := h.openFlow()
	h.offer()
	h.now = h.now.Add(time.Second)
	h.serverStartedAt = h.now
	h.announce(1, false, 0)
	h.wantReply(t, "the flow that wasn't open", "refused gone")
	if diff := cmp.Diff([]cropaque.Key{key}, h.resets, cmp.Comparer(func(x, y cropaque.Key) bool { return x == y })); diff != "" {
		t.Errorf("resets (-want +got):\n%s", diff)
	}
}

// TestFlowOfAnotherServerIsNotReset guards against an agent that resets open flows of
// other backend servers. After its restart it gets packets of flows that it doesn't know,
// and its backend server ends before it has answered any. The agent denies the flow then,
// so that its balancer looks on, and resets only the caller of the flow that its backend
// server has answered.
func TestFlowOfAnotherServerIsNotReset(t *testing.T) {
	for name, end := range map[string]func(h *gateHarness){
		"silent, then a probe is refused": func(h *gateHarness) {
			h.announce(2, false, 0)
			h.offer()
			h.now = h.now.Add(100 * time.Millisecond)
			h.gate.Tick(h.now)
			h.gate.ProbeRefused(h.now)
		},
		"a newer start is announced": func(h *gateHarness) {
			h.serverStartedAt = h.now
			h.announce(1, false, 0)
		},
		"withdrawn, then a probe is refused": func(h *gateHarness) {
			h.gate.HandleWithdrawal(h.now, "s")
			h.gate.ProbeRefused(h.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newGateHarness()
			h.now = h.serverStartedAt.Add(5 * time.Second)
			h.gate.StartedAt = h.now
			own, other := callerPacket(2024), callerPacket(2025)
			for _, p := range []cropaque.Packet{own, other} {
				p.Acked = 501
				h.sendFrame(cropaque.FrameCarry, p)
			}
			h.gate.HandleServerPacket(h.now, cropaque.Packet{From: own.To, To: own.From, Ack: true, Seq: 501, Size: 100}, nil)
			h.now = h.now.Add(time.Second)
			end(h)
			h.wantReply(t, "the flow that the backend server hasn't answered", "foreign none")
			if diff := cmp.Diff([]cropaque.Key{own.KeyFromCaller()}, h.resets, cmp.Comparer(func(x, y cropaque.Key) bool { return x == y })); diff != "" {
				t.Errorf("resets (-want +got):\n%s", diff)
			}
			h.sendFrame(cropaque.FrameSeek, other)
			h.wantReply(t, "a question after the end", "foreign none")
		})
	}
}

// TestGateLateAnnouncement guards against a backend server that has left and gets
// flows again because one of its announcements was delayed. Its next run is taken.
func TestGateLateAnnouncement(t *testing.T) {
	h := newGateHarness()
	h.gate.HandleWithdrawal(h.now, "s")
	h.announce(2, false, 0)
	h.offer()
	h.wantReply(t, "after a late announcement", "refused absent")
	h.serverStartedAt = h.now.Add(time.Second)
	h.announce(1, false, 0)
	h.offer()
	h.wantReply(t, "after the next run's announcement", "taken none")
}

// TestWithdrawnServerAnswers checks that an agent resets the callers of a backend server
// that has withdrawn when it has ended, not while it may still answer.
func TestWithdrawnServerAnswers(t *testing.T) {
	h := newGateHarness()
	key, answers, probes := h.openFlow(), 0, 0
	h.gate.ToCaller = func(cropaque.Key, []byte) { answers++ }
	h.gate.ProbeServer = func() { probes++ }
	h.gate.HandleWithdrawal(h.now, "s")
	h.now = h.now.Add(300 * time.Millisecond)
	h.gate.Tick(h.now)
	h.gate.HandleServerPacket(h.now, cropaque.Packet{From: key.Service, To: key.Caller, Ack: true, Seq: 501, Size: 1200}, nil)
	if diff := cmp.Diff([]int{1, 2, 0}, []int{answers, probes, len(h.resets)}); diff != "" {
		t.Errorf("answers, probes and resets after the withdrawal (-want +got):\n%s", diff)
	}
	h.gate.ProbeRefused(h.now)
	if diff := cmp.Diff(1, len(h.resets)); diff != "" {
		t.Errorf("resets after the end (-want +got):\n%s", diff)
	}
}
