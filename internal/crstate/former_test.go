package crstate_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// holders returns the services that may hold flows of each route.
func holders(c *crdoc.Catalog) map[netip.AddrPort][]string {
	out := map[netip.AddrPort][]string{}
	for i := range c.Routes {
		out[c.Routes[i].Address] = slices.Sorted(c.Routes[i].Holders())
	}
	return out
}

// TestHoldersIncludeAllServicesOfALifetime guards against a service that a route led to
// within the lifetime of a flow and whose agents nobody asks for it: whatever catalogs were
// applied, the holders of a route in force include it. Daemons that follow the deltas hold
// the same catalog as the state.
func TestHoldersIncludeAllServicesOfALifetime(t *testing.T) {
	const lifetime = 2 * time.Minute
	rapid.Check(t, func(t *rapid.T) {
		state, now := crstate.New(), start
		var followed *crdoc.Catalog
		// ledAt is when a route last led to a service.
		ledAt := map[netip.AddrPort]map[string]time.Time{}
		for i, n := 0, rapid.IntRange(1, 40).Draw(t, "entries"); i < n; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "step")) * time.Second)
			e := crstate.Entry{Kind: crwire.KindExpire, Time: now}
			if rapid.Bool().Draw(t, "change") {
				c := drawCatalog(t, rapid.SampledFrom([]string{"a", "b", "c", "d"}))
				e = crstate.Entry{Kind: crwire.KindCatalog, Time: now, FlowLifetime: lifetime, Change: &crwire.Change{
					ID: time.Duration(i).String(), Kind: crwire.KindCatalog, Catalog: c,
				}}
			}
			if state.View().Catalog != nil {
				recordLed(ledAt, state.View().Catalog, now)
			}
			if reply := state.Apply(e); reply.Delta != nil && reply.Delta.Catalog != nil {
				followed = followed.Apply(reply.Delta.Catalog)
			}
			if followed == nil {
				continue
			}
			if diff := cmp.Diff(holders(state.View().Catalog), holders(followed), addrPorts); diff != "" {
				t.Fatalf("holders by the deltas (-state +deltas):\n%s", diff)
			}
			for address, services := range holders(followed) {
				for service, at := range ledAt[address] {
					if now.Sub(at) <= lifetime && !slices.Contains(services, service) {
						t.Fatalf("route %s led to %s %s ago; its holders are %v", address, service, now.Sub(at), services)
					}
				}
			}
		}
	})
}

// recordLed records that the routes of a catalog lead to their services.
func recordLed(ledAt map[netip.AddrPort]map[string]time.Time, c *crdoc.Catalog, now time.Time) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if ledAt[r.Address] == nil {
			ledAt[r.Address] = map[string]time.Time{}
		}
		for _, s := range r.Shares {
			if s.Weight > 0 {
				ledAt[r.Address][s.Service] = now
			}
		}
	}
}

// TestFormerServicesExpire checks that the former services of a route are removed by an
// entry after their time, once, and that the catalog that operators read stays.
func TestFormerServicesExpire(t *testing.T) {
	state := crstate.New()
	address := netip.MustParseAddrPort("198.18.0.1:443")
	for version, service := range []string{"ledger", "feed"} {
		c := &crdoc.Catalog{Version: uint64(version + 1), Routes: []crdoc.Route{{Address: address, Shares: []crdoc.Share{{Service: service, Weight: 1}}}}}
		state.Apply(crstate.Entry{Kind: crwire.KindCatalog, Time: start, FlowLifetime: time.Minute, Change: &crwire.Change{
			ID: service, Kind: crwire.KindCatalog, Catalog: c, Source: []byte(service),
		}})
	}
	var got []any
	for _, after := range []time.Duration{time.Minute, 3 * time.Minute, 4 * time.Minute} {
		now := start.Add(after)
		got = append(got, state.Expired(now))
		reply := state.Apply(crstate.Entry{Kind: crwire.KindExpire, Time: now})
		got = append(got, reply.Delta != nil, len(state.View().Catalog.Routes[0].Former), string(state.CatalogSource().Source))
	}
	want := []any{false, false, 1, "feed", true, true, 0, "feed", false, false, 0, "feed"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("expired, delta, former services and source (-want +got):\n%s", diff)
	}
}
