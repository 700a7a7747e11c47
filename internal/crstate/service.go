package crstate

import (
	"cmp"
	"maps"
	"slices"

	"cardamomring.dev/pkg/crdoc"
)

// sortedServices returns the documents sorted by name.
func sortedServices(services map[string]*crdoc.Service) []*crdoc.Service {
	return slices.SortedFunc(maps.Values(services), func(a, b *crdoc.Service) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// setZone takes a zone out of service or brings it back, and reports whether
// its state changed.
func (s *State) setZone(zone string, out bool) bool {
	i, isOut := slices.BinarySearch(s.ZonesOut, zone)
	if isOut == out {
		return false
	}
	if out {
		s.ZonesOut = slices.Insert(slices.Clone(s.ZonesOut), i, zone)
	} else {
		s.ZonesOut = slices.Delete(slices.Clone(s.ZonesOut), i, i+1)
	}
	return true
}
