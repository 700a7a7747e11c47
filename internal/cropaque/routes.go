package cropaque

import (
	"net/netip"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// routes finds the route of an address.
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

// leads says whether a route leads to a service.
func leads(r *crdoc.Route, service string) bool {
	if r == nil {
		return false
	}
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// pick returns the service of a flow by the weights; at is from 0 to 1.
func pick(r *crdoc.Route, at float64) string {
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at *= sum
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
