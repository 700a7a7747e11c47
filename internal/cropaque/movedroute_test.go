package cropaque_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// movedRouteFleet is the replicated state with agents of three services, and the catalogs
// that operators apply to it.
type movedRouteFleet struct {
	state   *crstate.State
	now     time.Time
	version uint64
}

// newMovedRouteFleet returns a state with 30 agents of each service.
func newMovedRouteFleet() *movedRouteFleet {
	fleet := &movedRouteFleet{state: crstate.New(), now: time.Unix(1_700_000_000, 0)}
	var members []crwire.Member
	for s, service := range []string{"ledger", "feed", "archive"} {
		for i := range 30 {
			addr := machineAddr(byte(1+s), i).String()
			members = append(members, crwire.Member{Name: addr, Service: service, Zone: string(rune('a' + i%3)), DatagramAddr: addr})
		}
	}
	fleet.state.Apply(crstate.Entry{Kind: crwire.KindMembers, Time: fleet.now, Members: members})
	return fleet
}

// apply applies a catalog whose route has some shares, or no route without any.
func (fleet *movedRouteFleet) apply(t *testing.T, shares ...crdoc.Share) {
	t.Helper()
	if result := fleet.applyCatalog(shares...); result.Code != crwire.CodeOK {
		t.Fatalf("catalog %d: %+v", fleet.version, result)
	}
}

// applyCatalog applies a catalog and returns the result.
func (fleet *movedRouteFleet) applyCatalog(shares ...crdoc.Share) crwire.Result {
	fleet.version++
	fleet.now = fleet.now.Add(time.Second)
	c := &crdoc.Catalog{Version: fleet.version}
	for _, service := range []string{"ledger", "feed", "archive"} {
		c.Services = append(c.Services, crdoc.OpaqueService{Name: service})
	}
	if len(shares) > 0 {
		c.Routes = []crdoc.Route{{Name: "r", Address: routeAddr, Timeout: crdoc.Duration(time.Second), Target: crdoc.Duration(100 * time.Millisecond), Shares: shares}}
	}
	change := &crwire.Change{ID: fmt.Sprint(fleet.version), Kind: crwire.KindCatalog, Catalog: c}
	return fleet.state.Apply(crstate.Entry{Kind: crwire.KindCatalog, Time: fleet.now, Change: change}).Result
}

// restore replaces the state by one from its snapshot, as after a restart of control.
func (fleet *movedRouteFleet) restore(t *testing.T) {
	t.Helper()
	restored, err := crstate.Restore(fleet.state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	fleet.state = restored
}

// share returns a share of a route.
func share(service string, weight float64) crdoc.Share {
	return crdoc.Share{Service: service, Weight: weight}
}

// newBalancerOf returns a balancer that has just started with the view of a state.
func newBalancerOf(state *crstate.State) *steeringHarness {
	h := newSteeringHarness(1, 60)
	h.steering.Init()
	h.steering.SetView(h.now, state.View())
	return h
}

// open opens a flow by the state in force and returns a packet of it and its owner.
func (fleet *movedRouteFleet) open() (cropaque.Packet, netip.AddrPort) {
	placing, p := newBalancerOf(fleet.state), callerPacket(1024)
	placing.steering.HandlePacket(placing.now, cropaque.Packet{From: p.From, To: p.To, Open: true, Seq: 7}, []byte{1})
	return p, placing.take(cropaque.FrameOffer)[0]
}

// TestOwnerAfterItsRouteMoved guards against the reset of an open flow whose route was
// moved to another service: a balancer that didn't know the flow asked the agents of the
// new service only.
func TestOwnerAfterItsRouteMoved(t *testing.T) {
	type catalog []crdoc.Share
	for name, c := range map[string]struct {
		catalogs []catalog
		// restart restores the state after each catalog, and outdated sends the first
		// one again at the end.
		restart, outdated bool
	}{
		"to another service":     {catalogs: []catalog{{share("feed", 1)}}},
		"by a weight of 0":       {catalogs: []catalog{{share("ledger", 0), share("feed", 1)}}},
		"from a share of two":    {catalogs: []catalog{{share("ledger", 1), share("feed", 1)}, {share("feed", 1)}}},
		"twice":                  {catalogs: []catalog{{share("feed", 1)}, {share("archive", 1)}}},
		"there and back":         {catalogs: []catalog{{share("feed", 1)}, {share("ledger", 1)}}},
		"by a removal":           {catalogs: []catalog{{}, {share("feed", 1)}}},
		"with restarts between":  {catalogs: []catalog{{share("feed", 1)}, {share("archive", 1)}}, restart: true},
		"before a late old copy": {catalogs: []catalog{{share("feed", 1)}}, outdated: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newMovedRouteFleet()
			fleet.apply(t, share("ledger", 1))
			p, owner := fleet.open()
			for _, shares := range c.catalogs {
				fleet.apply(t, shares...)
				if c.restart {
					fleet.restore(t)
				}
			}
			if c.outdated {
				fleet.version = 0
				fleet.apply(t, share("ledger", 1))
			}

			h := newBalancerOf(fleet.state)
			h.steering.HandlePacket(h.now, p, []byte{1})
			asked := h.take(cropaque.FrameSeek)
			if !slices.Contains(asked, owner) {
				t.Fatalf("%v are asked, want the owner %s among them", asked, owner)
			}
			for _, a := range asked {
				if a != owner {
					h.answer(a, cropaque.FrameForeign, p, nil)
				}
			}
			h.answer(owner, cropaque.FrameOwn, p, nil)
			if to := h.take(cropaque.FrameCarry); !slices.Equal(to, []netip.AddrPort{owner}) || h.resets > 0 {
				t.Errorf("the packet went to %v with %d resets, want the owner %s", to, h.resets, owner)
			}
		})
	}
}

// TestRouteMovesDuringLookup checks that a flow isn't reset when its route moves while its
// owner, which answers late, is looked up.
func TestRouteMovesDuringLookup(t *testing.T) {
	fleet := newMovedRouteFleet()
	fleet.apply(t, share("ledger", 1))
	p, owner := fleet.open()

	h := newBalancerOf(fleet.state)
	h.steering.HandlePacket(h.now, p, []byte{1})
	fleet.apply(t, share("feed", 1))
	h.steering.SetView(h.now, fleet.state.View())
	for range 200 {
		for _, a := range h.take(cropaque.FrameSeek) {
			if a != owner {
				h.answer(a, cropaque.FrameForeign, p, nil)
			}
		}
		h.now = h.now.Add(10 * time.Millisecond)
		h.steering.Tick(h.now)
	}
	if h.resets > 0 {
		t.Errorf("%d resets of a flow whose owner %s has denied nothing", h.resets, owner)
	}
}

// TestFormerServicesAreAskedForALifetime checks that lookups cost no more frames once the
// flows that were opened before the route moved have reached their greatest age.
func TestFormerServicesAreAskedForALifetime(t *testing.T) {
	fleet := newMovedRouteFleet()
	fleet.apply(t, share("ledger", 1))
	fleet.apply(t, share("feed", 1))
	p := callerPacket(1024)
	questions := func() int {
		h := newBalancerOf(fleet.state)
		h.steering.HandlePacket(h.now, p, []byte{1})
		return len(h.take(cropaque.FrameSeek))
	}
	moved := questions()
	fleet.state.Apply(crstate.Entry{Kind: crwire.KindExpire, Time: fleet.now.Add(59 * time.Minute)})
	before := questions()
	fleet.state.Apply(crstate.Entry{Kind: crwire.KindExpire, Time: fleet.now.Add(62 * time.Minute)})
	after := questions()
	if moved != 2*after || before != moved || after == 0 {
		t.Errorf("%d agents are asked after the move, %d within the hour and %d after it, want twice as many within it", moved, before, after)
	}
}
