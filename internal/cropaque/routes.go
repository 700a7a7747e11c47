package cropaque

import (
	"iter"
	"maps"
	"net/netip"
	"slices"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// routes maps the address of a route to the route.
type routes map[netip.AddrPort]*crdoc.Route

// newRoutes indexes the routes of a view.
func newRoutes(v *crwire.View) routes {
	out := routes{}
	if v.Catalog == nil {
		return out
	}
	for i := range v.Catalog.Routes {
		r := &v.Catalog.Routes[i]
		out[r.Address] = r
	}
	return out
}

// RouteAddrs returns the addresses of the routes in force, sorted.
func (s *Steering) RouteAddrs() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(s.routes), netip.AddrPort.Compare)
}

// pickService picks a service of a route by weight: point, from 0 to 1, is a
// position on the weights laid end to end.
func pickService(r *crdoc.Route, point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// servicesFor returns the services of a route in the order in which a flow is offered
// to their agents: first the one that pickService picks.
func servicesFor(r *crdoc.Route, point float64) iter.Seq[string] {
	return func(yield func(string) bool) {
		picked := pickService(r, point)
		if !yield(picked) {
			return
		}
		for _, share := range r.Shares {
			if share.Service != picked && share.Weight > 0 && !yield(share.Service) {
				return
			}
		}
	}
}
