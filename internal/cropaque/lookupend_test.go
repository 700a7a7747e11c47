package cropaque_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/pkg/crdoc"
)

// TestLookupBeyondTheBudget guards against a flow whose owner is never looked up, because the
// lookup needs more frames than the balancer may send in a second. It is sent when the whole
// budget is there, and what it took beyond that is missing afterwards.
func TestLookupBeyondTheBudget(t *testing.T) {
	const perSecond = 10
	h := newSteeringHarness(100, perSecond)
	var questions []int
	for i := range uint16(40) {
		h.steering.HandlePacket(h.now, callerPacket(1024+i), []byte{1})
		questions = append(questions, len(h.take(cropaque.FrameSeek)))
		h.now = h.now.Add(100 * time.Millisecond)
	}
	asked, total := questions[0], 0
	for _, n := range questions {
		total += n
	}
	if asked != maxShortListQuestions || total > 5*perSecond || total < 3*perSecond {
		t.Errorf("%d questions for the first flow and %d in 4 s, want %d and %d to %d", asked, total, maxShortListQuestions, 3*perSecond, 5*perSecond)
	}
}

// TestRouteDroppedDuringLookup guards against a balancer that ends by a nil pointer
// dereference when a view drops the route of a flow whose owner is being looked up: after
// an answer or none, in each scope. Its caller isn't reset, and the owner is found when the
// route is there again.
func TestRouteDroppedDuringLookup(t *testing.T) {
	const agents = 100
	dropped := viewOf(2, agents)
	dropped.Catalog = &crdoc.Catalog{Version: 2, Services: dropped.Catalog.Services}
	for name, c := range map[string]struct {
		// offered makes the balancer ask the agent first that it has offered the flow to;
		// denied is how many agents deny ownership before the view, and answers whether
		// the others answer after it.
		offered bool
		denied  int
		answers bool
	}{
		"offered agent denies":         {offered: true, answers: true},
		"offered agent is silent":      {offered: true},
		"short list denies":            {answers: true},
		"short list denied in part":    {denied: 5, answers: true},
		"short list is silent":         {},
		"short list denied before it":  {denied: maxShortListQuestions},
		"short list is silent in part": {denied: 5},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSteeringHarness(agents, 0)
			p := callerPacket(1024)
			if c.offered {
				h.steering.HandlePacket(h.now, cropaque.Packet{From: p.From, To: p.To, Open: true, Seq: 7}, []byte{1})
				a := h.take(cropaque.FrameOffer)[0]
				h.answer(a, cropaque.FrameTaken, p, nil)
				h.answer(a, cropaque.FrameForeign, p, []byte{1})
			} else {
				h.steering.HandlePacket(h.now, p, []byte{1})
			}
			asked := h.take(cropaque.FrameSeek)
			for _, a := range asked[:c.denied] {
				h.answer(a, cropaque.FrameForeign, p, nil)
			}
			h.steering.SetView(h.now, dropped)
			if c.answers {
				for _, a := range asked[c.denied:] {
					h.answer(a, cropaque.FrameForeign, p, nil)
				}
			}
			for range 200 {
				h.now = h.now.Add(10 * time.Millisecond)
				h.steering.Tick(h.now)
			}
			h.steering.SetView(h.now, viewOf(3, agents))
			h.take(cropaque.FrameSeek)
			h.now = h.now.Add(5 * time.Second)
			h.steering.HandlePacket(h.now, p, []byte{1})
			owner := h.take(cropaque.FrameSeek)[0]
			h.answer(owner, cropaque.FrameOwn, p, nil)
			if to := h.take(cropaque.FrameCarry); !slices.Equal(to, []netip.AddrPort{owner}) || h.resets > 0 {
				t.Errorf("the packet went to %v with %d resets, want the owner %s", to, h.resets, owner)
			}
		})
	}
}
