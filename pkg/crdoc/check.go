package crdoc

import (
	"fmt"
	"net"
	"slices"
)

// Check returns everything wrong with the document.
func (s *Service) Check(zones []string) Findings {
	var f Findings
	if s.Name == "" {
		f.Add("name", "is missing")
	}
	checkAddress(&f, "address", s.Address)
	if len(s.Zones) == 0 {
		f.Add("zones", "name at least one availability zone")
	}
	for i, zone := range s.Zones {
		if len(zones) > 0 && !slices.Contains(zones, zone) {
			f.Add(fmt.Sprintf("zones[%d]", i), "availability zone %q is not listed", zone)
		}
	}
	if s.Limit.Start < 1 {
		f.Add("limit.start", "must be at least 1")
	}
	if s.Limit.Max < s.Limit.Start {
		f.Add("limit.max", "must be at least limit.start")
	}
	if len(s.Classes) == 0 {
		f.Add("classes", "name at least one class")
	}
	return f
}

// Check returns everything wrong with the settings.
func (s *Settings) Check() Findings {
	var f Findings
	if s.Name == "" {
		f.Add("name", "is missing")
	}
	if !slices.Contains(s.Zones, s.Zone) {
		f.Add("zone", "availability zone %q is not listed in zones", s.Zone)
	}
	return f
}

// checkAddress reports an address that is no host:port.
func checkAddress(f *Findings, place, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		f.Add(place, "%q: want host:port", address)
	}
}
