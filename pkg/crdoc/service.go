package crdoc

import (
	"strings"
)

// Protocol is the protocol between callers and a service.
type Protocol int

const (
	// ProtocolHTTP is HTTP/3 on the service's UDP address, and HTTP/1.1 on
	// a balancer's plain listener.
	ProtocolHTTP Protocol = iota
	// ProtocolUDP forwards opaque datagrams to the backend server. It is not
	// supported yet.
	ProtocolUDP
)

// Service is a service document. The service's team owns and edits it. A change
// is accepted only if Version equals the version in force.
type Service struct {
	// Name identifies the service: 1 to 63 of a-z, 0-9 and '-'.
	Name string `json:"name"`
	// Customer is the organisation that owns the service. Not empty.
	Customer string `json:"customer"`
	// Version is the version that this document was edited from; 0 creates the
	// service. Control stores the document as Version+1.
	Version uint64 `json:"version"`
	// Protocol is the protocol between callers and the service.
	Protocol Protocol `json:"protocol"`
	// Address is the UDP host:port that callers send to; host is an IP number.
	// No two services share an address.
	Address string `json:"address"`
	// Hosts lists the HTTP host names that select the service on a balancer's
	// plain listener, in addition to Name.
	Hosts []string `json:"hosts,omitempty"`
	// Zones lists the availability zones that may serve the service. Not empty.
	Zones []string `json:"zones"`
	// Limit bounds the concurrent requests on each backend server.
	Limit Limit `json:"limit"`
	// Classes divides the requests; see Classify. Not empty.
	Classes []Class `json:"classes"`
	// OutcomeRetention is how long the outcome of a request with an idempotency
	// key is kept; 0 means control's default. It must not be shorter than the
	// deadline of any class that isn't repeatable.
	OutcomeRetention Duration `json:"keep"`
	// Grace is how long a stopping agent waits for its flows to end.
	Grace Duration `json:"grace"`
}

// Limit bounds the concurrent requests on one backend server.
type Limit struct {
	// Start is the limit right after the backend server has started. At least 1.
	Start int `json:"start"`
	// Max is the upper bound of the limit. At least Start.
	Max int `json:"max"`
	// Headroom is the share of the limit kept free of routine requests, 0 to 0.9.
	Headroom float64 `json:"headroom"`
}

// Class is a set of requests with the same policy.
type Class struct {
	// Name identifies the class within its service.
	Name string `json:"name"`
	// Priority marks requests that start before queued routine ones, may use the
	// headroom and may preempt repeatable routine requests. All other requests are
	// routine.
	Priority bool `json:"priority,omitempty"`
	// Repeatable reports whether a request may run more than once without harm.
	Repeatable bool `json:"repeat,omitempty"`
	// Weight is the share of a routine class relative to other routine classes:
	// at least 1 for a routine class, 0 for a priority class.
	Weight int `json:"weight,omitempty"`
	// Deadline is the longest time from a request's arrival to its answer.
	// Must be positive.
	Deadline Duration `json:"deadline"`
	// Match selects the requests of the class; any match suffices. Not empty.
	Match []Match `json:"match"`
}

// Match selects requests by method and path prefix.
type Match struct {
	// Method is an HTTP method in capitals; empty matches every method.
	Method string `json:"method,omitempty"`
	// Prefix is a prefix of the request's path and begins with '/'.
	Prefix string `json:"prefix"`
}

// Classify returns the class of a request, or false when none matches. The
// longest prefix wins; among equal prefixes, a match with a method wins over one
// without.
func (s *Service) Classify(method, path string) (Class, bool) {
	best, score := -1, -1
	for i, class := range s.Classes {
		for _, m := range class.Match {
			n, ok := m.score(method, path)
			if ok && n > score {
				best, score = i, n
			}
		}
	}
	if best < 0 {
		return Class{}, false
	}
	return s.Classes[best], true
}

// score returns how specific a match is for a request, or false when it doesn't
// match.
func (m Match) score(method, path string) (int, bool) {
	if m.Method != "" && m.Method != method {
		return 0, false
	}
	if !strings.HasPrefix(path, m.Prefix) {
		return 0, false
	}
	n := 2 * len(m.Prefix)
	if m.Method != "" {
		n++
	}
	return n, true
}
