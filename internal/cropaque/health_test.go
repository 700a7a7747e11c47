package cropaque_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"cardamomring.dev/internal/cropaque"
)

// answerSize lets the backend server answer a request with a size at once.
func (b *bench) answerSize(size int) { b.answerAfter(0, size) }

// answerAfter lets the backend server answer a request with a size after a time.
func (b *bench) answerAfter(took time.Duration, size int) {
	key := b.open()
	b.now = b.now.Add(took)
	for ; size > 1200; size -= 1200 {
		b.gate.HandleServerPacket(b.now, cropaque.Packet{From: key.Service, To: key.Caller, Size: 1200}, nil)
	}
	b.gate.HandleServerPacket(b.now, cropaque.Packet{From: key.Service, To: key.Caller, Size: size, End: true}, nil)
	b.now = b.now.Add(10 * time.Millisecond)
	b.gate.Tick(b.now)
}

// failing asks the gate for the share that fails, in thousandths.
func (b *bench) failing(t *testing.T) int {
	t.Helper()
	got := -1
	reply := b.gate.Reply
	b.gate.Reply = func(_ netip.AddrPort, f *cropaque.Frame) { got = f.Load.FailurePermille }
	b.gate.HandleFrame(b.now, from, &cropaque.Frame{Kind: cropaque.FramePing}, cropaque.Packet{})
	b.gate.Reply = reply
	return got
}

// TestOddAnswers: answers whose sizes spread as usual aren't failures, pages of
// 150 bytes among them are.
func TestOddAnswers(t *testing.T) {
	w := newWorld(9)
	for name, spread := range map[string]float64{"alike": 0, "spread 0.6": 0.6, "spread 0.7": 0.7} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			most := 0
			for i := range 400 {
				b.announce(uint64(i+2), false, 0)
				b.answerSize(int(3000 * math.Exp(spread*w.rnd.NormFloat64())))
				most = max(most, b.failing(t))
			}
			if most > 250 {
				t.Errorf("%d thousandths of proper answers count as failures at worst", most)
			}
			for i := range 20 {
				b.announce(uint64(i+500), false, 0)
				b.answerSize(150)
			}
			if got := b.failing(t); got < 500 {
				t.Errorf("%d thousandths after twenty error pages, want at least 500", got)
			}
		})
	}
}

// TestQuickErrors: errors that are about as large as answers, and come at once,
// are failures; a backend server that becomes much faster isn't failing.
func TestQuickErrors(t *testing.T) {
	w := newWorld(10)
	b := newBench()
	seq := uint64(2)
	run := func(n int, took time.Duration) (most int) {
		for range n {
			seq++
			b.announce(seq, false, 0)
			spread := math.Exp(0.5 * w.rnd.NormFloat64())
			b.answerAfter(time.Duration(spread*float64(took)), int(800*math.Exp(0.5*w.rnd.NormFloat64())))
			most = max(most, b.failing(t))
		}
		return most
	}
	if most := run(400, 30*time.Millisecond); most > 250 {
		t.Errorf("%d thousandths of proper answers count as failures at worst", most)
	}
	if most := run(400, 12*time.Millisecond); most > 250 {
		t.Errorf("%d thousandths of faster answers count as failures at worst", most)
	}
	run(400, 30*time.Millisecond)
	for range 10 {
		seq++
		b.announce(seq, false, 0)
		b.answerAfter(time.Millisecond, 400)
	}
	if got := b.failing(t); got < 500 {
		t.Errorf("%d thousandths after ten errors within a millisecond, want at least 500", got)
	}
}
