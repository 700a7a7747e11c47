package crstate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cardamomring.dev/pkg/crdoc"
)

// sortedServices returns the documents by name.
func sortedServices(services map[string]*crdoc.Service) []*crdoc.Service {
	return slices.SortedFunc(maps.Values(services), func(a, b *crdoc.Service) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// sharedHosts reports the host names of doc that also select other.
func sharedHosts(doc, other *crdoc.Service) crdoc.Findings {
	var f crdoc.Findings
	for i, host := range doc.Hosts {
		if host == other.Name || slices.Contains(other.Hosts, host) {
			f.Add(fmt.Sprintf("hosts[%d]", i), "%s selects service %s", host, other.Name)
		}
	}
	if slices.Contains(other.Hosts, doc.Name) {
		f.Add("name", "%s is a host name of service %s", doc.Name, other.Name)
	}
	return f
}

// setZone takes a zone out or in, and returns whether that changed it.
func (s *State) setZone(zone string, out bool) bool {
	i, isOut := slices.BinarySearch(s.Out, zone)
	if isOut == out {
		return false
	}
	if out {
		s.Out = slices.Insert(slices.Clone(s.Out), i, zone)
	} else {
		s.Out = slices.Delete(slices.Clone(s.Out), i, i+1)
	}
	return true
}
