package crdoc_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/pkg/crdoc"
)

// address returns the nth address.
func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(1000+n))
}

// drawCatalog draws a catalog with a given version.
func drawCatalog(t *rapid.T, version uint64) *crdoc.Catalog {
	c := &crdoc.Catalog{Version: version, Idle: crdoc.Duration(rapid.IntRange(1, 3).Draw(t, "idle"))}
	for n := range 8 {
		if rapid.Bool().Draw(t, "present") {
			c.Routes = append(c.Routes, crdoc.Route{
				Name: fmt.Sprint(n), Address: address(n), Timeout: crdoc.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")),
			})
		}
	}
	return c
}

// sorted sorts the routes of a catalog, as their order has no meaning.
func sorted(c *crdoc.Catalog) *crdoc.Catalog {
	slices.SortFunc(c.Routes, func(a, b crdoc.Route) int { return a.Address.Compare(b.Address) })
	return c
}

// addrPorts compares addresses.
var addrPorts = cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })

// TestDiffApplyAndThen checks that applying a diff yields the next catalog, and
// that two changes combined by Then have the same result as both in turn.
func TestDiffApplyAndThen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two, three := drawCatalog(t, 1), drawCatalog(t, 2), drawCatalog(t, 3)
		first, second := one.Diff(two), two.Diff(three)
		if diff := cmp.Diff(two, sorted(one.Apply(first)), addrPorts); diff != "" {
			t.Fatalf("after one change (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(three, sorted(one.Apply(first.Then(second))), addrPorts); diff != "" {
			t.Fatalf("after two combined changes (-want +got):\n%s", diff)
		}
		var none *crdoc.Catalog
		if diff := cmp.Diff(one, sorted(none.Apply(none.Diff(one))), addrPorts); diff != "" {
			t.Fatalf("from no catalog (-want +got):\n%s", diff)
		}
	})
}

// TestDiffContainsOnlyChangedRoutes checks that a change of one route among many
// doesn't contain the others.
func TestDiffContainsOnlyChangedRoutes(t *testing.T) {
	c := &crdoc.Catalog{Version: 1}
	for n := range 500 {
		c.Routes = append(c.Routes, crdoc.Route{Name: fmt.Sprint(n), Address: address(n), Timeout: 1})
	}
	next := &crdoc.Catalog{Version: 2, Routes: slices.Clone(c.Routes)}
	next.Routes[17].Timeout = 2
	if diff := cmp.Diff(1, len(c.Diff(next).Set)); diff != "" {
		t.Errorf("routes in the change (-want +got):\n%s", diff)
	}
}
