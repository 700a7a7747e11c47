package crroute_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

var (
	epoch  = time.Unix(1_000_000, 0)
	caller = netip.MustParseAddrPort("192.0.2.1:4242")
)

// newView returns a view with agents 1 to n of the service "ledger" and agent
// 100 of the service "other", distributed over three zones.
func newView(rev uint64, n int) *crwire.View {
	v := &crwire.View{
		Revision: rev, Services: map[string]*crdoc.Service{"ledger": {}, "other": {}}, Members: map[uint32]crwire.Member{},
	}
	for i := 1; i <= n; i++ {
		v.Members[uint32(i)] = newMember(uint32(i), "ledger")
	}
	v.Members[100] = newMember(100, "other")
	return v
}

// newMember returns an active agent.
func newMember(num uint32, service string) crwire.Member {
	return crwire.Member{
		Num: num, Name: fmt.Sprint(num), Service: service, Zone: fmt.Sprint("zone", num%3), Host: fmt.Sprint(num),
		DatagramAddr: fmt.Sprintf("10.0.0.%d:9", num), Weight: 1,
	}
}

// initialPacket returns a caller's Initial packet, with a destination connection
// ID that the caller chose.
func initialPacket() []byte {
	b := make([]byte, 1200)
	copy(b, []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	return b
}

// shortPacket returns a short-header packet with a connection ID that an agent
// of the service issued.
func shortPacket(s *crroute.Sealer, agent uint32, service string) []byte {
	b := s.AppendConnID([]byte{0x40}, crroute.ConnID{Agent: agent, ServiceTag: crroute.ServiceTag(service), Nonce: 1})
	return append(b, make([]byte, 20)...)
}

func TestRouteReasons(t *testing.T) {
	s := newSealer(t, "one")
	var router crroute.Router
	v := newView(1, 6)
	v.ZonesOut = []string{"zone2"}
	plan := router.Update(v, epoch)
	badLength := initialPacket()
	badLength[5] = 21
	shortID := initialPacket()
	shortID[5] = 7
	for _, test := range []struct {
		name    string
		service string
		packet  []byte
		want    crroute.Reason
	}{
		{"Initial packet", "ledger", initialPacket(), crroute.ReasonNone},
		{"connection ID of an agent", "ledger", shortPacket(s, 1, "ledger"), crroute.ReasonNone},
		{"empty datagram", "ledger", nil, crroute.ReasonShort},
		{"truncated short header", "ledger", shortPacket(s, 1, "ledger")[:17], crroute.ReasonShort},
		{"truncated long header", "ledger", initialPacket()[:10], crroute.ReasonShort},
		{"connection ID too long", "ledger", badLength, crroute.ReasonHeader},
		{"connection ID of the caller too short", "ledger", shortID, crroute.ReasonHeader},
		{"version 0", "ledger", []byte{0xc0, 0, 0, 0, 0, 0, 0}, crroute.ReasonHeader},
		{"forged connection ID", "ledger", append([]byte{0x40}, make([]byte, 40)...), crroute.ReasonForged},
		{"connection ID of another service", "ledger", shortPacket(s, 100, "other"), crroute.ReasonService},
		{"unknown service", "none", initialPacket(), crroute.ReasonService},
		{"unknown agent", "ledger", shortPacket(s, 101, "ledger"), crroute.ReasonUnknown},
	} {
		var route crroute.Route
		got := plan.Route(s, test.service, caller, test.packet, &route)
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

func TestRouteDepartedAgent(t *testing.T) {
	s := newSealer(t, "one")
	var router crroute.Router
	router.Update(newView(1, 3), epoch)
	v := newView(2, 3)
	delete(v.Members, 2)
	sentTo := func(at time.Duration) uint32 {
		var route crroute.Route
		plan := router.Update(v, epoch.Add(at))
		if reason := plan.Route(s, "ledger", caller, shortPacket(s, 2, "ledger"), &route); reason != crroute.ReasonNone {
			return 0
		}
		return route.Chain[0]
	}
	if got := sentTo(0); got != 2 {
		t.Errorf("immediately: sent to %d, want the owner 2", got)
	}
	if got := sentTo(29 * time.Second); got != 2 {
		t.Errorf("after 29 s: sent to %d, want the owner 2", got)
	}
	if got := sentTo(31 * time.Second); got == 2 || got == 0 {
		t.Errorf("after 31 s: sent to %d, want another agent, which resets the connection", got)
	}
}

func TestRouteDepartedAgentInZoneOut(t *testing.T) {
	s := newSealer(t, "one")
	var router crroute.Router
	router.Update(newView(1, 3), epoch)
	v := newView(2, 3)
	delete(v.Members, 2)
	router.Update(v, epoch)
	v.ZonesOut = []string{"zone2"}
	plan := router.Update(v, epoch)
	var route crroute.Route
	plan.Route(s, "ledger", caller, shortPacket(s, 2, "ledger"), &route)
	if route.Chain[0] == 2 {
		t.Error("a datagram is routed to an agent in a zone that is out of service")
	}
}

func TestRouteZoneOut(t *testing.T) {
	s := newSealer(t, "one")
	var router crroute.Router
	v := newView(1, 3)
	v.ZonesOut = []string{"zone2"}
	plan := router.Update(v, epoch)
	for i := range 200 {
		from := netip.AddrPortFrom(caller.Addr(), uint16(i))
		for name, packet := range map[string][]byte{"owned": shortPacket(s, 2, "ledger"), "first": initialPacket()} {
			var route crroute.Route
			if reason := plan.Route(s, "ledger", from, packet, &route); reason != crroute.ReasonNone {
				t.Fatalf("%s: %s", name, reason)
			}
			if slices.Contains(route.Chain[:route.ChainLen], 2) || route.To == netip.MustParseAddrPort("10.0.0.2:9") {
				t.Fatalf("%s packet is routed to a zone that is out of service: %+v", name, route)
			}
		}
	}
	v.ZonesOut = []string{"zone0", "zone1", "zone2"}
	var route crroute.Route
	got := router.Update(v, epoch).Route(s, "ledger", caller, shortPacket(s, 2, "ledger"), &route)
	if diff := cmp.Diff(crroute.ReasonEmpty, got); diff != "" {
		t.Errorf("all zones out of service: %s", diff)
	}
}

// TestForesee checks that the chain that is foreseen for callers is that of their first
// datagram, also while a replaced table is kept.
func TestForesee(t *testing.T) {
	s := newSealer(t, "one")
	var router crroute.Router
	router.Update(newView(1, 9), epoch)
	v := newView(2, 9)
	delete(v.Members, 3)
	v.ZonesOut = []string{"zone2"}
	plan := router.Update(v, epoch.Add(time.Second))
	for i := range 200 {
		from := netip.AddrPortFrom(caller.Addr(), uint16(i))
		var want, got crroute.Route
		reasons := [2]crroute.Reason{plan.Route(s, "ledger", from, initialPacket(), &want), plan.Foresee("ledger", from, &got)}
		if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" || reasons[0] != reasons[1] {
			t.Fatalf("reasons %v, route (-routed +foreseen):\n%s", reasons, diff)
		}
	}
	if reason := plan.Foresee("none", caller, &crroute.Route{}); reason != crroute.ReasonService {
		t.Errorf("reason %s for an unknown service", reason)
	}
}

// TestRouteReplacedTables checks that a chain begins with the first agent of a
// replaced table until that table expires, unless the agent's zone is out of
// service.
func TestRouteReplacedTables(t *testing.T) {
	s := newSealer(t, "one")
	var router crroute.Router
	chain := func(v *crwire.View, at time.Duration) crroute.Route {
		var route crroute.Route
		plan := router.Update(v, epoch.Add(at))
		if reason := plan.Route(s, "ledger", caller, initialPacket(), &route); reason != crroute.ReasonNone {
			t.Fatal(reason)
		}
		return route
	}
	before := chain(newView(1, 9), 0)
	owner := before.Chain[0]
	v := newView(2, 9)
	draining := v.Members[owner]
	draining.State = crwire.MemberDraining
	v.Members[owner] = draining
	during := chain(v, time.Second)
	if during.Chain[0] != owner || during.AcceptFrom != 1 || during.ChainLen < 3 {
		t.Errorf("the first agent %d of the replaced table must be first in the chain: %+v", owner, during)
	}
	v.ZonesOut = []string{draining.Zone}
	if zoneOut := chain(v, 2*time.Second); zoneOut.Chain[0] == owner || zoneOut.AcceptFrom != 0 {
		t.Errorf("an agent in a zone that is out of service must not be in the chain: %+v", zoneOut)
	}
	v.ZonesOut = nil
	chain(v, 3*time.Second)
	if !router.HasExpiring() {
		t.Error("replaced tables are kept, but HasExpiring reports false")
	}
	if after := chain(v, 19*time.Second); after.AcceptFrom != 0 || after.Chain[0] == owner {
		t.Errorf("replaced tables must be removed when they expire: %+v", after)
	}
	if router.HasExpiring() {
		t.Error("no table or target is left to expire, but HasExpiring reports true")
	}
}

// TestRouteReplacedTablesSkipDepartedAgent removes the agent to which the
// packets of an opening flow were sent. Further packets of the flow must not be
// sent to that agent: a process that has left cannot forward them.
func TestRouteReplacedTablesSkipDepartedAgent(t *testing.T) {
	s := newSealer(t, "one")
	var router crroute.Router
	var before, after crroute.Route
	router.Update(newView(1, 9), epoch).Route(s, "ledger", caller, initialPacket(), &before)
	v := newView(2, 9)
	delete(v.Members, before.Chain[0])
	router.Update(v, epoch.Add(time.Second)).Route(s, "ledger", caller, initialPacket(), &after)
	if after.Chain[0] == before.Chain[0] || after.AcceptFrom != 0 {
		t.Errorf("the opening flow is sent to agent %d, which has left: %+v", before.Chain[0], after)
	}
}

// TestRouteDoesNotAllocate guards against allocations in the packet path, which
// would load the garbage collector.
func TestRouteDoesNotAllocate(t *testing.T) {
	s := newSealer(t, "one")
	var router crroute.Router
	plan := router.Update(newView(1, 9), epoch)
	var route crroute.Route
	env := crwire.Envelope{Service: []byte("ledger"), Caller: caller, ReturnAddr: caller, Chain: route.Chain, ChainLen: 3}
	buf := make([]byte, 0, 2000)
	mac := s.MAC
	for name, packet := range map[string][]byte{"first": initialPacket(), "owned": shortPacket(s, 1, "ledger")} {
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
