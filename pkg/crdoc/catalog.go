package crdoc

import "net/netip"

// Catalog is the whole set of opaque services and of the addresses that lead
// to them, as one versioned document. The highest version is in force.
type Catalog struct {
	Version uint64 `json:"version"`
	// Idle is how long a flow may be silent before it is forgotten.
	Idle     Duration        `json:"idle"`
	Routes   []Route         `json:"routes"`
	Services []OpaqueService `json:"services"`
}

// Route leads the flows to an address to services.
type Route struct {
	// Name says it to people.
	Name string `json:"name"`
	// Address is what callers send to. Unique in a catalog.
	Address netip.AddrPort `json:"address"`
	// Repeatable says that a request may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Priority is 0 for the most urgent requests.
	Priority int `json:"priority"`
	// Timeout is how long a caller waits. Not 0.
	Timeout Duration `json:"timeout"`
	// Target is the latency that callers expect.
	Target Duration `json:"target"`
	// Shares are the services that take the flows, with relative weights.
	Shares []Share `json:"shares"`
}

// Share is the part of a route's flows that a service takes.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// OpaqueService is a service whose flows the system carries without reading them.
type OpaqueService struct {
	Name string `json:"name"`
	// ColdPeriod is how long a backend server is cold after its start.
	ColdPeriod Duration `json:"cold"`
	// ColdRate is how many requests a second a cold backend server bears; 0
	// when the operators name no bound.
	ColdRate float64 `json:"coldrate"`
}

// Check returns what is wrong with a catalog.
func (c *Catalog) Check() Findings {
	var f Findings
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	if c.Version == 0 {
		f.Add("version", "must be at least 1")
	}
	taken := map[netip.AddrPort]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if other, ok := taken[r.Address]; ok {
			f.Add("routes."+r.Name, "address %s leads to route %s already", r.Address, other)
		}
		taken[r.Address] = r.Name
		r.check(&f, services)
	}
	return f
}

// check adds what is wrong with one route.
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
		f.Add(place, "no service has a weight")
	}
}
