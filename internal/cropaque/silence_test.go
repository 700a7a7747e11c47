package cropaque_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
)

// TestSilenceNeedsWitnesses guards against the reset of living flows by a balancer
// whose own link is full: pings to the owner of a flow are lost, and so are those to
// other agents, or their answers are late. The caller of an agent that is really gone
// is reset as quickly as before.
func TestSilenceNeedsWitnesses(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost is the share of the pings that is lost at the balancer's link, and
		// late how long answers wait there.
		lost float64
		late time.Duration
		gone bool
		want time.Duration
	}{
		{name: "gone", gone: true, want: 1375 * time.Millisecond},
		{name: "gone, some pings are lost", gone: true, lost: 0.1, want: 3 * time.Second},
		{name: "pings are lost", lost: 0.8},
		{name: "answers are late", late: 1500 * time.Millisecond},
		{name: "gone, but answers are late", gone: true, late: 600 * time.Millisecond},
	} {
		for seed := range uint64(20) {
			resetAfter := silenceOf(seed, c.lost, c.late, c.gone)
			if c.want == 0 && resetAfter > 0 || c.want > 0 && (resetAfter == 0 || resetAfter > c.want) {
				t.Errorf("%s, seed %d: reset after %s, want at most %s (0: never)", c.name, seed, resetAfter, c.want)
			}
		}
	}
}

// silenceOf opens a flow whose owner gets no packets of it any more, and returns after
// which time its caller is reset, 0 if that doesn't happen in 10 s.
func silenceOf(seed uint64, lost float64, late time.Duration, gone bool) time.Duration {
	h := newSteeringHarness(20, 250)
	rnd := newSimulation(seed).rnd
	type pong struct {
		at     time.Time
		from   netip.AddrPort
		number uint64
	}
	var pongs []pong
	var owner netip.AddrPort
	h.steering.Send = func(to netip.AddrPort, f *cropaque.Frame) {
		if f.Kind == cropaque.FrameOffer {
			owner = to
		}
		if f.Kind == cropaque.FramePing && (!gone || to != owner) && rnd.Float64() >= lost {
			pongs = append(pongs, pong{h.now.Add(2*time.Millisecond + late), to, f.Number})
		}
	}
	p := callerPacket(1024)
	h.steering.HandlePacket(h.now, cropaque.Packet{From: p.From, To: p.To, Open: true, Seq: 7}, []byte{1})
	h.answer(owner, cropaque.FrameTaken, p, nil)
	for step := range 2000 {
		h.now = h.now.Add(5 * time.Millisecond)
		for len(pongs) > 0 && !pongs[0].at.After(h.now) {
			h.steering.HandleFrame(h.now, pongs[0].from, &cropaque.Frame{Kind: cropaque.FramePong, Number: pongs[0].number})
			pongs = pongs[1:]
		}
		if step%20 == 0 {
			h.steering.HandlePacket(h.now, p, []byte{1})
		}
		h.steering.Tick(h.now)
		if h.resets > 0 {
			return time.Duration(step+1) * 5 * time.Millisecond
		}
	}
	return 0
}

// TestRestartOfAnAgentIsNoLoss guards against the reset of living flows of an agent that is
// restarted as planned and takes longer than agents may be silent: it has announced its
// stop to the balancer, or to control. An agent that doesn't return is lost in the end.
func TestRestartOfAnAgentIsNoLoss(t *testing.T) {
	for _, c := range []struct {
		toBalancer, toControl bool
		resets                int
	}{{resets: 1}, {toBalancer: true}, {toControl: true}} {
		h := newSteeringHarness(20, 250)
		var owner netip.AddrPort
		var pinged []netip.AddrPort
		h.steering.Send = func(to netip.AddrPort, f *cropaque.Frame) {
			switch f.Kind {
			case cropaque.FrameOffer:
				owner = to
			case cropaque.FramePing:
				pinged = append(pinged, to)
				h.numbers[to] = f.Number
			}
		}
		p := callerPacket(1024)
		h.steering.HandlePacket(h.now, cropaque.Packet{From: p.From, To: p.To, Open: true, Seq: 7}, []byte{1})
		h.answer(owner, cropaque.FrameTaken, p, nil)
		if c.toBalancer {
			h.answer(owner, cropaque.FrameLeave, p, nil)
		}
		if c.toControl {
			v := viewOf(2, 20)
			for num, m := range v.Members {
				if m.DatagramAddr == owner.String() {
					m.State = crwire.MemberDraining
					v.Members[num] = m
				}
			}
			h.steering.SetView(h.now, v)
		}
		silentFor := func(d time.Duration) {
			for range d / (5 * time.Millisecond) {
				h.now = h.now.Add(5 * time.Millisecond)
				for _, to := range pinged {
					if to != owner {
						h.steering.HandleFrame(h.now, to, &cropaque.Frame{Kind: cropaque.FramePong, Number: h.numbers[to]})
					}
				}
				pinged = nil
				h.steering.HandlePacket(h.now, p, []byte{1})
				h.steering.Tick(h.now)
			}
		}
		silentFor(4 * time.Second)
		if h.resets != c.resets {
			t.Errorf("announced to the balancer %t, to control %t: %d resets after a silence of 4 s, want %d", c.toBalancer, c.toControl, h.resets, c.resets)
		}
		silentFor(4 * time.Second)
		if h.resets != 1 {
			t.Errorf("announced to the balancer %t, to control %t: %d resets after a silence of 8 s, want 1", c.toBalancer, c.toControl, h.resets)
		}
	}
}

// TestPongRepeatsNumber checks that an agent's answer to a ping names the ping.
func TestPongRepeatsNumber(t *testing.T) {
	h := newGateHarness()
	var got uint64
	h.gate.Reply = func(_ netip.AddrPort, f *cropaque.Frame) { got = f.Number }
	h.gate.HandleFrame(h.now, balancerAddr, &cropaque.Frame{Kind: cropaque.FramePing, Number: 41}, cropaque.Packet{})
	if diff := cmp.Diff(uint64(41), got); diff != "" {
		t.Errorf("number of the answer (-want +got):\n%s", diff)
	}
}
