package crfeed

import (
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// MergeDeltas returns one delta that does what consecutive deltas do in order. It
// needs at least one delta.
func MergeDeltas(deltas []crwire.Delta) crwire.Delta {
	out := crwire.Delta{From: deltas[0].From, To: deltas[len(deltas)-1].To}
	services := map[string]int{}
	members := map[uint32]int{}
	for i := range deltas {
		d := &deltas[i]
		for _, s := range d.Services {
			put(&out.Services, services, s.Name, s)
		}
		for _, m := range d.Members {
			put(&out.Members, members, m.Num, m)
		}
		if d.Catalog != nil {
			out.Catalog = after(out.Catalog, d.Catalog)
		}
		if d.ZonesOutChanged {
			out.ZonesOut, out.ZonesOutChanged = d.ZonesOut, true
		}
	}
	return out
}

// after returns what two changes of the catalog do in turn; the first may be
// nil.
func after(first, next *crdoc.CatalogChange) *crdoc.CatalogChange {
	if first == nil {
		return next
	}
	return first.Then(next)
}

// put sets the item of a key in a list; places holds where each key is.
func put[K comparable, V any](list *[]V, places map[K]int, key K, v V) {
	if i, ok := places[key]; ok {
		(*list)[i] = v
		return
	}
	places[key] = len(*list)
	*list = append(*list, v)
}
