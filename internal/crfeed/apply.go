package crfeed

import (
	"fmt"
	"maps"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// EmptyView returns the view at revision 0.
func EmptyView() *crwire.View {
	return &crwire.View{Services: map[string]*crdoc.Service{}, Members: map[uint32]crwire.Member{}}
}

// ApplyDelta returns the view that results from applying d to v. It does not
// change v.
func ApplyDelta(v *crwire.View, d *crwire.Delta) (*crwire.View, error) {
	if d.From != v.Revision {
		return nil, fmt.Errorf("delta starts at revision %d, the view is at %d", d.From, v.Revision)
	}
	next := &crwire.View{Revision: d.To, Services: v.Services, ZonesOut: v.ZonesOut, Members: v.Members, Catalog: v.Catalog}
	if d.Catalog != nil {
		next.Catalog = v.Catalog.Apply(d.Catalog)
	}
	if len(d.Services) > 0 {
		next.Services = maps.Clone(v.Services)
		for _, s := range d.Services {
			if s == nil {
				return nil, fmt.Errorf("delta from revision %d to %d: a service is missing", d.From, d.To)
			}
			next.Services[s.Name] = s
		}
	}
	if d.ZonesOutChanged {
		next.ZonesOut = d.ZonesOut
	}
	if len(d.Members) > 0 {
		next.Members = maps.Clone(v.Members)
		for _, m := range d.Members {
			setMember(next.Members, m)
		}
	}
	return next, nil
}

// setMember adds or replaces an agent; it removes one in the state MemberGone.
func setMember(members map[uint32]crwire.Member, m crwire.Member) {
	if m.State == crwire.MemberGone {
		delete(members, m.Num)
		return
	}
	members[m.Num] = m
}

// ApplyFeed returns the view that results from applying f to v. If f does not
// lead to a higher revision than that of v, it returns v itself. If a delta does
// not fit or is malformed, it returns an error together with the view before that
// delta.
func ApplyFeed(v *crwire.View, f *crwire.Feed) (*crwire.View, error) {
	if f.Snapshot != nil && f.Snapshot.Revision > v.Revision {
		snapshot, err := checkSnapshot(f.Snapshot)
		if err != nil {
			return v, err
		}
		v = snapshot
	}
	for i := range f.Deltas {
		if f.Deltas[i].To <= v.Revision {
			continue
		}
		next, err := ApplyDelta(v, &f.Deltas[i])
		if err != nil {
			return v, err
		}
		v = next
	}
	return v, nil
}

// checkSnapshot returns a view that was decoded, with empty maps in place of missing
// ones.
func checkSnapshot(v *crwire.View) (*crwire.View, error) {
	for name, s := range v.Services {
		if s == nil {
			return nil, fmt.Errorf("snapshot of revision %d: service %q is missing", v.Revision, name)
		}
	}
	out := *v
	if out.Services == nil {
		out.Services = map[string]*crdoc.Service{}
	}
	if out.Members == nil {
		out.Members = map[uint32]crwire.Member{}
	}
	return &out, nil
}
