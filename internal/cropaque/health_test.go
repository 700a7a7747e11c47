package cropaque_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"cardamomring.dev/internal/cropaque"
)

// answerWithSize makes the backend server answer a request at once, with size
// bytes.
func (h *gateHarness) answerWithSize(size int) { h.answerAfterDelay(0, size) }

// answerAfterDelay makes the backend server answer a request after a delay,
// with size bytes.
func (h *gateHarness) answerAfterDelay(delay time.Duration, size int) {
	key := h.openFlow()
	h.now = h.now.Add(delay)
	for ; size > 1200; size -= 1200 {
		h.gate.HandleServerPacket(h.now, cropaque.Packet{From: key.Service, To: key.Caller, Size: 1200}, nil)
	}
	h.gate.HandleServerPacket(h.now, cropaque.Packet{From: key.Service, To: key.Caller, Size: size, End: true}, nil)
	h.now = h.now.Add(10 * time.Millisecond)
	h.gate.Tick(h.now)
}

// failurePermille returns the failure share that the gate reports, in
// thousandths.
func (h *gateHarness) failurePermille(t *testing.T) int {
	t.Helper()
	permille := -1
	reply := h.gate.Reply
	h.gate.Reply = func(_ netip.AddrPort, f *cropaque.Frame) { permille = f.Load.FailurePermille }
	h.gate.HandleFrame(h.now, balancerAddr, &cropaque.Frame{Kind: cropaque.FramePing}, cropaque.Packet{})
	h.gate.Reply = reply
	return permille
}

// TestSmallErrorsCountAsFailures checks that answers of varying sizes don't
// count as failures, and that error pages of 150 bytes among them do.
func TestSmallErrorsCountAsFailures(t *testing.T) {
	sim := newSimulation(9)
	for name, spread := range map[string]float64{"alike": 0, "spread 0.6": 0.6, "spread 0.7": 0.7} {
		t.Run(name, func(t *testing.T) {
			h := newGateHarness()
			worst := 0
			for i := range 400 {
				h.announce(uint64(i+2), false, 0)
				h.answerWithSize(int(3000 * math.Exp(spread*sim.rnd.NormFloat64())))
				worst = max(worst, h.failurePermille(t))
			}
			if worst > 250 {
				t.Errorf("%d thousandths of proper answers count as failures at worst", worst)
			}
			for i := range 20 {
				h.announce(uint64(i+500), false, 0)
				h.answerWithSize(150)
			}
			if got := h.failurePermille(t); got < 500 {
				t.Errorf("%d thousandths after twenty error pages, want at least 500", got)
			}
		})
	}
}

// TestQuickErrorsCountAsFailures checks that errors that are about as large as
// answers but arrive at once count as failures, and that a backend server that
// becomes much faster doesn't.
func TestQuickErrorsCountAsFailures(t *testing.T) {
	sim := newSimulation(10)
	h := newGateHarness()
	seq := uint64(2)
	run := func(n int, duration time.Duration) (worst int) {
		for range n {
			seq++
			h.announce(seq, false, 0)
			spread := math.Exp(0.5 * sim.rnd.NormFloat64())
			h.answerAfterDelay(time.Duration(spread*float64(duration)), int(800*math.Exp(0.5*sim.rnd.NormFloat64())))
			worst = max(worst, h.failurePermille(t))
		}
		return worst
	}
	if worst := run(400, 30*time.Millisecond); worst > 250 {
		t.Errorf("%d thousandths of proper answers count as failures at worst", worst)
	}
	if worst := run(400, 12*time.Millisecond); worst > 250 {
		t.Errorf("%d thousandths of faster answers count as failures at worst", worst)
	}
	run(400, 30*time.Millisecond)
	for range 10 {
		seq++
		h.announce(seq, false, 0)
		h.answerAfterDelay(time.Millisecond, 400)
	}
	if got := h.failurePermille(t); got < 500 {
		t.Errorf("%d thousandths after ten errors within a millisecond, want at least 500", got)
	}
}
