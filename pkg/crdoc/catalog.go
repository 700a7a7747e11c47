package crdoc

import (
	"iter"
	"net/netip"
	"time"
)

// Catalog lists all opaque services and the addresses that are routed to
// them, as one versioned document. The highest version is in force.
type Catalog struct {
	Version uint64 `json:"version"`
	// Idle is the time without packets after which a flow is removed; 0 means
	// the default of the agents.
	Idle     Duration        `json:"idle"`
	Routes   []Route         `json:"routes"`
	Services []OpaqueService `json:"services"`
}

// Route distributes the flows to one address over services.
type Route struct {
	// Name identifies the route in findings and messages.
	Name string `json:"name"`
	// Address is the IP address and port that callers send to. Unique in a
	// catalog; the port must not be 0.
	Address netip.AddrPort `json:"address"`
	// Repeatable reports whether a request may run more than once without harm.
	Repeatable bool `json:"repeatable,omitempty"`
	// Upload reports whether the requests are long transfers to the backend server.
	// Balancers whose link is known let them take turns.
	Upload bool `json:"upload,omitempty"`
	// Priority orders requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// Timeout is how long a caller waits for an answer. Must be positive.
	Timeout Duration `json:"timeout"`
	// Target is the latency that callers expect of an answer.
	Target Duration `json:"target"`
	// Shares lists the services that receive the flows, with relative weights.
	// At least one weight must be positive.
	Shares []Share `json:"shares"`
	// Former lists the services that get no new flows of the route any more and may
	// still hold open ones. Control sets it; what operators send is replaced.
	Former []FormerService `json:"former,omitempty"`
}

// FormerService is a service that a route led to.
type FormerService struct {
	Service string `json:"service"`
	// Until is when the oldest flow that it may hold has reached the greatest age of
	// flows, by control's clock.
	Until time.Time `json:"until"`
}

// Share is the relative share of a route's flows that a service receives.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// LeadsTo reports whether new flows of the route may go to a service. A nil route leads
// nowhere.
func (r *Route) LeadsTo(service string) bool {
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

// Holders returns the services that may hold open flows of the route: those that get new
// flows, and then the former ones. A nil route has none.
func (r *Route) Holders() iter.Seq[string] {
	return func(yield func(string) bool) {
		if r == nil {
			return
		}
		for _, s := range r.Shares {
			if s.Weight > 0 && !yield(s.Service) {
				return
			}
		}
		for _, s := range r.Former {
			if !r.LeadsTo(s.Service) && !yield(s.Service) {
				return
			}
		}
	}
}

// OpaqueService is a service whose flows the system forwards without parsing
// their content.
type OpaqueService struct {
	Name string `json:"name"`
	// ColdPeriod is how long after its start a backend server counts as cold.
	ColdPeriod Duration `json:"cold"`
	// ColdRate is the number of requests per second that a cold backend server
	// has capacity for; 0 when the operators set no limit.
	ColdRate float64 `json:"coldrate"`
}

// Check returns the findings of a catalog; it is empty for a valid one.
func (c *Catalog) Check() Findings {
	var f Findings
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	if c.Version == 0 {
		f.Add("version", "must be at least 1")
	}
	routeAt := map[netip.AddrPort]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if other, ok := routeAt[r.Address]; ok {
			f.Add("routes."+r.Name, "address %s is already used by route %s", r.Address, other)
		}
		routeAt[r.Address] = r.Name
		r.check(&f, services)
	}
	return f
}

// check reports invalid fields of a route.
func (r *Route) check(f *Findings, services map[string]bool) {
	place := "routes." + r.Name
	if !r.Address.IsValid() || r.Address.Port() == 0 {
		f.Add(place, "address %s: want an IP address and a port", r.Address)
	}
	if r.Timeout <= 0 {
		f.Add(place, "timeout must be more than 0")
	}
	sum := 0.0
	for _, share := range r.Shares {
		if !services[share.Service] {
			f.Add(place, "unknown service %q", share.Service)
		}
		if share.Weight < 0 {
			f.Add(place, "weight of %s must be at least 0", share.Service)
		}
		sum += share.Weight
	}
	if sum <= 0 {
		f.Add(place, "at least one service needs a weight above 0")
	}
}
