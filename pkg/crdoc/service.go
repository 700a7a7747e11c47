package crdoc

import (
	"strings"
)

// Protocol is how callers speak to a service.
type Protocol int

const (
	// ProtocolHTTP is HTTP/3 on the service's UDP address, and HTTP/1.1 on
	// a balancer's plain listener.
	ProtocolHTTP Protocol = iota
	// ProtocolUDP relays opaque datagrams to the backend server. It is not
	// supported yet.
	ProtocolUDP
)

// Service is one service document. Its team owns it and changes it; a change
// is accepted only if Version equals the version in force.
type Service struct {
	// Name identifies the service: 1 to 63 of a-z, 0-9 and '-'.
	Name string `json:"name"`
	// Customer is the organisation that owns the service.
	Customer string `json:"customer"`
	// Version is the version this document was edited from; 0 creates the
	// service. Control stores the document under Version+1.
	Version uint64 `json:"version"`
	// Protocol is how callers speak to the service.
	Protocol Protocol `json:"protocol"`
	// Address is the UDP host:port that callers send to. No two services
	// share an address.
	Address string `json:"address"`
	// Hosts are the HTTP host names that select the service on a
	// balancer's plain listener; Name always selects it.
	Hosts []string `json:"hosts,omitempty"`
	// Zones are the availability zones that may serve it. Not empty.
	Zones []string `json:"zones"`
	// Limit bounds the work on each backend server.
	Limit Limit `json:"limit"`
	// Classes sort requests; the longest matching prefix wins. Not empty.
	Classes []Class `json:"classes"`
	// OutcomeRetention is how long the outcome of a keyed request is remembered.
	OutcomeRetention Duration `json:"keep"`
	// Grace is how long a leaving agent waits for its flows.
	Grace Duration `json:"grace"`
}

// Limit bounds the requests under way on one backend server.
type Limit struct {
	// Start is the limit of a backend server that has just started. At least 1.
	Start int `json:"start"`
	// Max is the largest limit. At least Start.
	Max int `json:"max"`
	// Headroom is the share of the limit kept free of routine requests, 0 to 0.9.
	Headroom float64 `json:"headroom"`
}

// Class is a kind of request with one policy.
type Class struct {
	// Name identifies the class within its service.
	Name string `json:"name"`
	// Priority requests run at once; all others are routine.
	Priority bool `json:"priority,omitempty"`
	// Repeatable says that a request may run more than once without harm.
	Repeatable bool `json:"repeat,omitempty"`
	// Weight is the share of a routine class against other routine classes. At least 1 for routine.
	Weight int `json:"weight,omitempty"`
	// Deadline bounds a request from its arrival to its answer. Positive.
	Deadline Duration `json:"deadline"`
	// Match lists the requests of the class. Not empty.
	Match []Match `json:"match"`
}

// Match selects requests by method and path prefix.
type Match struct {
	// Method is an HTTP method; empty matches all.
	Method string `json:"method,omitempty"`
	// Prefix is the beginning of the path; it starts with '/'.
	Prefix string `json:"prefix"`
}

// Classify returns the class of a request and false when none matches. The
// longest prefix wins; among equals a named method goes before an empty one.
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

// score returns how specific a match is for a request.
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
