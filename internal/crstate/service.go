package crstate

import (
	"cmp"
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
