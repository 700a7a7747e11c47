package cropaque_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// TestOwnerOffTheShortListIsFound guards against the reset of an open flow whose owner was
// pushed off the short list, while those that knew it were restarted: agents join in any
// zone, leave, and return under their names, and nobody has told anybody about the flow. A
// balancer that has just started asks the owner before it resets the caller.
func TestOwnerOffTheShortListIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := &movedRouteFleet{state: crstate.New(), now: time.Unix(1_700_000_000, 0)}
		fleet.applyCatalog(share("ledger", 1))
		const maxAgents, zones = 90, 4
		present := map[int]bool{}
		set := func(i int, state crwire.MemberState) {
			addr := machineAddr(1, i).String()
			m := crwire.Member{Name: addr, Service: "ledger", Zone: string(rune('a' + i%zones)), DatagramAddr: addr, State: state}
			present[i] = state != crwire.MemberGone
			fleet.now = fleet.now.Add(time.Millisecond)
			fleet.state.Apply(crstate.Entry{Kind: crwire.KindMembers, Time: fleet.now, Members: []crwire.Member{m}})
		}
		// Some zones have no agent until the flow is open.
		early := rapid.IntRange(1, zones).Draw(t, "early zones")
		for i := range rapid.IntRange(1, maxAgents).Draw(t, "agents") {
			if i%zones < early {
				set(i, crwire.MemberActive)
			}
		}
		if rapid.Bool().Draw(t, "settled") {
			fleet.now = fleet.now.Add(2 * time.Hour)
			fleet.state.Apply(crstate.Entry{Kind: crwire.KindExpire, Time: fleet.now})
		}
		change := func(label string, inZones int) {
			for n := range rapid.IntRange(0, 60).Draw(t, label) {
				i := rapid.IntRange(0, maxAgents-1).Draw(t, "agent")
				if i%zones >= inZones {
					continue
				}
				set(i, rapid.SampledFrom([]crwire.MemberState{
					crwire.MemberActive, crwire.MemberActive, crwire.MemberActive, crwire.MemberGone,
				}).Draw(t, fmt.Sprint(label, n)))
			}
		}
		change("before", early)
		p := callerPacket(uint16(rapid.IntRange(1024, 60_000).Draw(t, "port")))
		placing := newBalancerOf(fleet.state)
		placing.steering.HandlePacket(placing.now, cropaque.Packet{From: p.From, To: p.To, Open: true, Seq: 7}, []byte{1})
		offers := placing.take(cropaque.FrameOffer)
		if len(offers) == 0 {
			t.Skip("no agent is a member")
		}
		owner := offers[0]
		change("after", zones)
		// The owner is a member when the balancer starts, perhaps again.
		for i := range maxAgents {
			if machineAddr(1, i) == owner && !present[i] {
				set(i, crwire.MemberActive)
			}
		}

		if asked, reset := askedBeforeReset(newBalancerOf(fleet.state), p); reset && !asked[owner] {
			t.Fatalf("the caller is reset after %d agents denied; the owner %s wasn't asked", len(asked), owner)
		}
	})
}

// askedBeforeReset returns which agents a balancer asks for a flow, all of which deny it, in
// 4 s or until it resets the caller, and whether it does.
func askedBeforeReset(h *steeringHarness, p cropaque.Packet) (asked map[netip.AddrPort]bool, reset bool) {
	asked = map[netip.AddrPort]bool{}
	for step := range 400 {
		if step%40 == 0 {
			h.steering.HandlePacket(h.now, p, []byte{1})
		}
		for _, a := range h.take(cropaque.FrameSeek) {
			asked[a] = true
			h.answer(a, cropaque.FrameForeign, p, nil)
		}
		if h.resets > 0 {
			return asked, true
		}
		h.now = h.now.Add(10 * time.Millisecond)
		h.steering.Tick(h.now)
	}
	return asked, false
}

// TestRecentListOfSettledMembersIsTheShortList checks that a lookup asks no more agents than
// the short list has when the members haven't changed while flows of now were opened.
func TestRecentListOfSettledMembersIsTheShortList(t *testing.T) {
	fleet := newMovedRouteFleet()
	fleet.apply(t, share("ledger", 1))
	questions := func() int {
		h := newBalancerOf(fleet.state)
		p, n := callerPacket(1024), 0
		h.steering.HandlePacket(h.now, p, []byte{1})
		for asked := h.take(cropaque.FrameSeek); len(asked) > 0; asked = h.take(cropaque.FrameSeek) {
			n += len(asked)
			for _, a := range asked {
				h.answer(a, cropaque.FrameForeign, p, nil)
			}
		}
		return n
	}
	fleet.state.Apply(crstate.Entry{Kind: crwire.KindExpire, Time: fleet.now.Add(2 * time.Hour)})
	if n := questions(); n != 12 {
		t.Errorf("%d questions with settled members, want 12", n)
	}
	// One agent of ten in each zone is new.
	var joined []crwire.Member
	for i := range 3 {
		addr := machineAddr(1, 30+i).String()
		joined = append(joined, crwire.Member{Name: addr, Service: "ledger", Zone: string(rune('a' + i)), DatagramAddr: addr})
	}
	fleet.state.Apply(crstate.Entry{Kind: crwire.KindMembers, Time: fleet.now, Members: joined})
	if n := questions(); n < 12 || n > 15 {
		t.Errorf("%d questions after one agent joined in each zone, want 12 to 15", n)
	}
}

// BenchmarkLookup measures a lookup without an owner on a service whose members are settled,
// and on one whose members have all joined lately, with its questions.
func BenchmarkLookup(b *testing.B) {
	for _, agents := range []int{100, 1000, 10_000} {
		for _, settled := range []bool{true, false} {
			b.Run(fmt.Sprintf("agents=%d/settled=%t", agents, settled), func(b *testing.B) {
				h := newSteeringHarness(1, 0)
				v := viewOf(2, agents)
				for num, m := range v.Members {
					if !settled {
						m.Since, m.First = uint64(num), uint64(num)
						v.Members[num] = m
					}
				}
				h.steering.SetView(h.now, v)
				questions := 0
				for i := 0; b.Loop(); i++ {
					p := callerPacket(uint16(1024 + i%60_000))
					h.steering.HandlePacket(h.now, p, []byte{1})
					for asked := h.take(cropaque.FrameSeek); len(asked) > 0; asked = h.take(cropaque.FrameSeek) {
						questions += len(asked)
						for _, a := range asked {
							h.answer(a, cropaque.FrameForeign, p, nil)
						}
					}
				}
				b.ReportMetric(float64(questions)/float64(b.N), "questions/flow")
			})
		}
	}
}
