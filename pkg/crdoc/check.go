package crdoc

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// maxHeadroom is the largest share of a limit that may be kept free of routine
// requests.
const maxHeadroom = 0.9

// namePattern matches names of services, classes, zones and processes.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// methodPattern matches an HTTP method.
var methodPattern = regexp.MustCompile(`^[A-Z]+$`)

// hostPattern matches an HTTP host name without a port.
var hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Check returns all findings of the document. It also reports zones of the
// document that are not listed in zones, unless zones is empty.
func (s *Service) Check(zones []string) Findings {
	var f Findings
	checkName(&f, "name", s.Name)
	if s.Customer == "" {
		f.Add("customer", "is missing")
	}
	if s.Protocol != ProtocolHTTP {
		f.Add("protocol", "%s is not supported yet; want %s", s.Protocol, ProtocolHTTP)
	}
	checkAddress(&f, "address", s.Address, 1)
	checkList(&f, "hosts", s.Hosts, func(place, host string) {
		if !hostPattern.MatchString(host) {
			f.Add(place, "%q: want a host name in lower case, without a port", host)
		}
	})
	if len(s.Zones) == 0 {
		f.Add("zones", "name at least one availability zone")
	}
	checkList(&f, "zones", s.Zones, func(place, zone string) { checkZone(&f, place, zone, zones) })
	s.Limit.check(&f)
	s.checkClasses(&f)
	s.checkTimes(&f)
	return f
}

// CheckAgainst reports the address and the hosts of the document that another
// service uses already. It skips the service of the same name in others.
func (s *Service) CheckAgainst(others []*Service) Findings {
	var f Findings
	for _, other := range others {
		if other.Name == s.Name {
			continue
		}
		if other.Address == s.Address {
			f.Add("address", "%s is the address of service %s", s.Address, other.Name)
		}
		for i, host := range s.Hosts {
			if slices.Contains(append([]string{other.Name}, other.Hosts...), host) {
				f.Add(fmt.Sprintf("hosts[%d]", i), "%q selects service %s", host, other.Name)
			}
		}
	}
	return f
}

// check reports invalid fields of a limit.
func (l Limit) check(f *Findings) {
	if l.Start < 1 {
		f.Add("limit.start", "must be at least 1, is %d", l.Start)
	}
	if l.Max < max(l.Start, 1) {
		f.Add("limit.max", "must be at least limit.start, is %d", l.Max)
	}
	if l.Headroom < 0 || l.Headroom > maxHeadroom {
		f.Add("limit.headroom", "must be from 0 to %g, is %g", maxHeadroom, l.Headroom)
	}
}

// checkClasses reports invalid classes, and names and matches that occur twice.
func (s *Service) checkClasses(f *Findings) {
	if len(s.Classes) == 0 {
		f.Add("classes", "name at least one class")
	}
	names := map[string]string{}
	matches := map[Match]string{}
	for i := range s.Classes {
		place := fmt.Sprintf("classes[%d]", i)
		c := &s.Classes[i]
		c.check(f, place)
		checkUnique(f, names, c.Name, place+".name")
		if len(c.Match) == 0 {
			f.Add(place+".match", "name at least one match")
		}
		for j, m := range c.Match {
			at := fmt.Sprintf("%s.match[%d]", place, j)
			m.check(f, at)
			checkUnique(f, matches, m, at)
		}
	}
}

// check reports invalid fields of a class.
func (c *Class) check(f *Findings, place string) {
	checkName(f, place+".name", c.Name)
	switch {
	case c.Priority && c.Weight != 0:
		f.Add(place+".weight", "a priority class has no weight")
	case !c.Priority && c.Weight < 1:
		f.Add(place+".weight", "must be at least 1 for a routine class, is %d", c.Weight)
	}
	if c.Deadline <= 0 {
		f.Add(place+".deadline", "must be longer than 0s")
	}
}

// check reports invalid fields of a match.
func (m Match) check(f *Findings, place string) {
	if !strings.HasPrefix(m.Prefix, "/") {
		f.Add(place+".prefix", "%q: want a path that begins with '/'", m.Prefix)
	}
	if m.Method != "" && !methodPattern.MatchString(m.Method) {
		f.Add(place+".method", "%q: want an HTTP method in capitals", m.Method)
	}
}

// checkTimes reports negative times, and a retention of outcomes that is shorter
// than the deadline of a class that isn't repeatable.
func (s *Service) checkTimes(f *Findings) {
	if s.Grace < 0 {
		f.Add("grace", "must not be negative")
	}
	if s.OutcomeRetention < 0 {
		f.Add("keep", "must not be negative")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if !c.Repeatable && s.OutcomeRetention >= 0 && s.OutcomeRetention < c.Deadline {
			f.Add("keep", "%s is shorter than the deadline of class %q, which may not be repeated", s.OutcomeRetention.D(), c.Name)
		}
	}
}

// checkName reports a missing or malformed name.
func checkName(f *Findings, place, name string) {
	switch {
	case name == "":
		f.Add(place, "is missing")
	case !namePattern.MatchString(name):
		f.Add(place, "%q: want 1 to 63 of a-z, 0-9 and '-', with no '-' at the ends", name)
	}
}

// checkZone reports a missing zone, and one that is not listed in zones unless
// zones is empty.
func checkZone(f *Findings, place, zone string, zones []string) {
	if zone == "" {
		f.Add(place, "is missing")
		return
	}
	if len(zones) > 0 && !slices.Contains(zones, zone) {
		f.Add(place, "availability zone %q is not listed; listed are %s", zone, strings.Join(zones, ", "))
	}
}

// checkAddress reports an address that is missing, isn't of the form IP:port or
// has a port below minPort. Callers pass 0 for addresses to listen on, where
// port 0 means any free port.
func checkAddress(f *Findings, place, address string, minPort uint16) {
	if address == "" {
		f.Add(place, "is missing")
		return
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		f.Add(place, "%q: want an IP number and a port, such as 192.0.2.1:4433", address)
		return
	}
	if addr.Port() < minPort {
		f.Add(place, "%q: want a port from 1 to 65535", address)
	}
}

// checkList calls check for each element and reports duplicates.
func checkList(f *Findings, place string, list []string, check func(place, v string)) {
	seen := map[string]string{}
	for i, v := range list {
		at := fmt.Sprintf("%s[%d]", place, i)
		check(at, v)
		checkUnique(f, seen, v, at)
	}
}

// checkUnique reports v if it is in seen, which maps each value to its first
// place, and otherwise adds it. It ignores the zero value, which other checks
// report.
func checkUnique[K comparable](f *Findings, seen map[K]string, v K, place string) {
	var zero K
	if v == zero {
		return
	}
	if first, ok := seen[v]; ok {
		f.Add(place, "stands twice: the same as %s", first)
		return
	}
	seen[v] = place
}
