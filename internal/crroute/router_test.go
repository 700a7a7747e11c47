package crroute_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

var (
	epoch  = time.Unix(1_000_000, 0)
	caller = netip.MustParseAddrPort("192.0.2.1:4242")
)

// view returns a view with agents 1 to n of the service "ledger" and agent
// 100 of "other", one zone each modulo 3.
func view(rev uint64, n int) *crwire.View {
	v := &crwire.View{
		Revision: rev, Services: map[string]*crdoc.Service{"ledger": {}, "other": {}}, Members: map[uint32]crwire.Member{},
	}
	for i := 1; i <= n; i++ {
		v.Members[uint32(i)] = member(uint32(i), "ledger")
	}
	v.Members[100] = member(100, "other")
	return v
}

// member returns an active agent.
func member(num uint32, service string) crwire.Member {
	return crwire.Member{
		Num: num, Name: fmt.Sprint(num), Service: service, Zone: fmt.Sprint("zone", num%3), Host: fmt.Sprint(num),
		DatagramAddr: fmt.Sprintf("10.0.0.%d:9", num), Weight: 1,
	}
}

// first returns a caller's first packet, under an ID that it chose.
func first() []byte {
	b := make([]byte, 1200)
	copy(b, []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	return b
}

// short returns a short-header packet for an agent of a service.
func short(s *crroute.Sealer, agent uint32, service string) []byte {
	b := s.AppendConnID([]byte{0x40}, crroute.ConnID{Agent: agent, ServiceTag: crroute.ServiceTag(service), Nonce: 1})
	return append(b, make([]byte, 20)...)
}

func TestRouteReasons(t *testing.T) {
	s := sealer(t, "one")
	var router crroute.Router
	v := view(1, 6)
	v.ZonesOut = []string{"zone2"}
	plan := router.Update(v, epoch)
	badLength := first()
	badLength[5] = 21
	shortID := first()
	shortID[5] = 7
	for _, test := range []struct {
		name    string
		service string
		packet  []byte
		want    crroute.Reason
	}{
		{"first packet", "ledger", first(), crroute.ReasonNone},
		{"owned", "ledger", short(s, 1, "ledger"), crroute.ReasonNone},
		{"empty", "ledger", nil, crroute.ReasonShort},
		{"cut short header", "ledger", short(s, 1, "ledger")[:17], crroute.ReasonShort},
		{"cut long header", "ledger", first()[:10], crroute.ReasonShort},
		{"long ID", "ledger", badLength, crroute.ReasonHeader},
		{"short first ID", "ledger", shortID, crroute.ReasonHeader},
		{"version 0", "ledger", []byte{0xc0, 0, 0, 0, 0, 0, 0}, crroute.ReasonHeader},
		{"forged ID", "ledger", append([]byte{0x40}, make([]byte, 40)...), crroute.ReasonForged},
		{"ID of another service", "ledger", short(s, 100, "other"), crroute.ReasonService},
		{"service that is not known", "none", first(), crroute.ReasonService},
		{"agent not known yet", "ledger", short(s, 101, "ledger"), crroute.ReasonUnknown},
	} {
		var route crroute.Route
		got := plan.Route(s, test.service, caller, test.packet, &route)
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

func TestRouteGoneAgent(t *testing.T) {
	s := sealer(t, "one")
	var router crroute.Router
	router.Update(view(1, 3), epoch)
	v := view(2, 3)
	delete(v.Members, 2)
	to := func(at time.Duration) uint32 {
		var route crroute.Route
		plan := router.Update(v, epoch.Add(at))
		if reason := plan.Route(s, "ledger", caller, short(s, 2, "ledger"), &route); reason != crroute.ReasonNone {
			return 0
		}
		return route.Chain[0]
	}
	if got := to(0); got != 2 {
		t.Errorf("at once: sent to %d, want the owner 2", got)
	}
	if got := to(29 * time.Second); got != 2 {
		t.Errorf("after 29 s: sent to %d, want the owner 2", got)
	}
	if got := to(31 * time.Second); got == 2 || got == 0 {
		t.Errorf("after 31 s: sent to %d, want an agent that resets the connection", got)
	}
}

func TestRouteGoneAgentInZoneOut(t *testing.T) {
	s := sealer(t, "one")
	var router crroute.Router
	router.Update(view(1, 3), epoch)
	v := view(2, 3)
	delete(v.Members, 2)
	router.Update(v, epoch)
	v.ZonesOut = []string{"zone2"}
	plan := router.Update(v, epoch)
	var route crroute.Route
	plan.Route(s, "ledger", caller, short(s, 2, "ledger"), &route)
	if route.Chain[0] == 2 {
		t.Error("a datagram goes to an agent in a zone that is out")
	}
}

func TestRouteZoneOut(t *testing.T) {
	s := sealer(t, "one")
	var router crroute.Router
	v := view(1, 3)
	v.ZonesOut = []string{"zone2"}
	plan := router.Update(v, epoch)
	for i := range 200 {
		from := netip.AddrPortFrom(caller.Addr(), uint16(i))
		for name, packet := range map[string][]byte{"owned": short(s, 2, "ledger"), "first": first()} {
			var route crroute.Route
			if reason := plan.Route(s, "ledger", from, packet, &route); reason != crroute.ReasonNone {
				t.Fatalf("%s: %s", name, reason)
			}
			if slices.Contains(route.Chain[:route.ChainLen], 2) || route.To == netip.MustParseAddrPort("10.0.0.2:9") {
				t.Fatalf("%s packet goes to a zone that is out: %+v", name, route)
			}
		}
	}
	v.ZonesOut = []string{"zone0", "zone1", "zone2"}
	var route crroute.Route
	got := router.Update(v, epoch).Route(s, "ledger", caller, short(s, 2, "ledger"), &route)
	if diff := cmp.Diff(crroute.ReasonEmpty, got); diff != "" {
		t.Errorf("every zone out: %s", diff)
	}
}

func TestRouteFormers(t *testing.T) {
	s := sealer(t, "one")
	var router crroute.Router
	chain := func(v *crwire.View, at time.Duration) crroute.Route {
		var route crroute.Route
		plan := router.Update(v, epoch.Add(at))
		if reason := plan.Route(s, "ledger", caller, first(), &route); reason != crroute.ReasonNone {
			t.Fatal(reason)
		}
		return route
	}
	before := chain(view(1, 9), 0)
	owner := before.Chain[0]
	v := view(2, 9)
	leaving := v.Members[owner]
	leaving.State = crwire.MemberDraining
	v.Members[owner] = leaving
	during := chain(v, time.Second)
	if during.Chain[0] != owner || during.AcceptFrom != 1 || during.ChainLen < 3 {
		t.Errorf("the former first agent %d must be asked before: %+v", owner, during)
	}
	v.ZonesOut = []string{leaving.Zone}
	if out := chain(v, 2*time.Second); out.Chain[0] == owner || out.AcceptFrom != 0 {
		t.Errorf("an agent in a zone that is out must not be asked: %+v", out)
	}
	v.ZonesOut = nil
	chain(v, 3*time.Second)
	if !router.HasExpiring() {
		t.Error("former tables are held, but nothing is said to be timed")
	}
	if after := chain(v, 19*time.Second); after.AcceptFrom != 0 || after.Chain[0] == owner {
		t.Errorf("former tables must be dropped in time: %+v", after)
	}
	if router.HasExpiring() {
		t.Error("nothing is left to drop, but something is said to be timed")
	}
}

// TestRouteFormersGone takes the first agent of a flow that opens away: a
// process that has gone can't pass the flow's packets on.
func TestRouteFormersGone(t *testing.T) {
	s := sealer(t, "one")
	var router crroute.Router
	var before, after crroute.Route
	router.Update(view(1, 9), epoch).Route(s, "ledger", caller, first(), &before)
	v := view(2, 9)
	delete(v.Members, before.Chain[0])
	router.Update(v, epoch.Add(time.Second)).Route(s, "ledger", caller, first(), &after)
	if after.Chain[0] == before.Chain[0] || after.AcceptFrom != 0 {
		t.Errorf("a flow that opens is sent to agent %d, which has gone: %+v", before.Chain[0], after)
	}
}

// TestRouteAllocates holds the packet path to its promise: nothing that the
// collector must free.
func TestRouteAllocates(t *testing.T) {
	s := sealer(t, "one")
	var router crroute.Router
	plan := router.Update(view(1, 9), epoch)
	var route crroute.Route
	env := crwire.Envelope{Service: []byte("ledger"), Caller: caller, ReturnAddr: caller, Chain: route.Chain, ChainLen: 3}
	buf := make([]byte, 0, 2000)
	mac := s.MAC
	for name, packet := range map[string][]byte{"first": first(), "owned": short(s, 1, "ledger")} {
		got := testing.AllocsPerRun(100, func() {
			plan.Route(s, "ledger", caller, packet, &route)
			env.Payload = packet
			buf = crwire.AppendEnvelope(buf[:0], &env, mac)
		})
		if diff := cmp.Diff(0.0, got); diff != "" {
			t.Errorf("%s packet: %s", name, diff)
		}
	}
}
