package crfeed

import (
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// MergeDeltas merges consecutive deltas into one that has the same effect. The
// list must not be empty.
func MergeDeltas(deltas []crwire.Delta) crwire.Delta {
	out := crwire.Delta{From: deltas[0].From, To: deltas[len(deltas)-1].To}
	services := map[string]int{}
	members := map[uint32]int{}
	for i := range deltas {
		d := &deltas[i]
		for _, s := range d.Services {
			upsert(&out.Services, services, s.Name, s)
		}
		for _, m := range d.Members {
			upsert(&out.Members, members, m.Num, m)
		}
		if d.Catalog != nil {
			out.Catalog = composeChanges(out.Catalog, d.Catalog)
		}
		if d.ZonesOutChanged {
			out.ZonesOut, out.ZonesOutChanged = d.ZonesOut, true
		}
	}
	return out
}

// composeChanges merges two consecutive changes of the catalog. The first may be
// nil.
func composeChanges(first, next *crdoc.CatalogChange) *crdoc.CatalogChange {
	if first == nil {
		return next
	}
	return first.Then(next)
}

// upsert adds v to the list, or replaces the item that has the same key. The map
// indexes holds the position of each key in the list.
func upsert[K comparable, V any](list *[]V, indexes map[K]int, key K, v V) {
	if i, ok := indexes[key]; ok {
		(*list)[i] = v
		return
	}
	indexes[key] = len(*list)
	*list = append(*list, v)
}
