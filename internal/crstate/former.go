package crstate

import (
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// defaultFlowLifetime is the greatest age of an open flow where the settings name
	// none.
	defaultFlowLifetime = time.Hour
	// staleViewSlack is added to the greatest age of flows: a balancer that is cut
	// off from control opens flows by an older catalog, and clocks of leaders differ.
	staleViewSlack = time.Minute
)

// recordFormer records the services that get no new flows of a route by the next
// catalog, but may hold flows that were opened by the one in force. A balancer that
// doesn't know a flow asks their agents, too, before it resets the caller. The record is
// part of the replicated state, because the balancers that knew the earlier catalogs, and
// the agents of the new services, may all have been restarted since.
func (s *State) recordFormer(next *crdoc.Catalog, lifetime time.Duration) {
	s.dropExpiredFormer()
	if s.Catalog != nil {
		until := s.Time.Add(flowsEnd(lifetime))
		for i := range s.Catalog.Routes {
			s.recordHolders(&s.Catalog.Routes[i], until)
		}
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		s.setFormer(r, slices.DeleteFunc(slices.Clone(s.Former[r.Address]), func(f crdoc.FormerService) bool { return r.LeadsTo(f.Service) }))
	}
}

// flowsEnd returns how long after a change of the routes or the members flows may be open
// that were opened before it.
func flowsEnd(lifetime time.Duration) time.Duration {
	if lifetime <= 0 {
		lifetime = defaultFlowLifetime
	}
	return lifetime + staleViewSlack
}

// recordHolders adds the services of a route to its former ones.
func (s *State) recordHolders(r *crdoc.Route, until time.Time) {
	former := slices.Clone(s.Former[r.Address])
	for _, share := range r.Shares {
		if share.Weight > 0 && !slices.ContainsFunc(former, func(f crdoc.FormerService) bool { return f.Service == share.Service }) {
			former = append(former, crdoc.FormerService{Service: share.Service, Until: until})
		}
	}
	s.setFormer(r, former)
}

// setFormer replaces the former services of a route.
func (s *State) setFormer(r *crdoc.Route, former []crdoc.FormerService) {
	if len(former) == 0 {
		delete(s.Former, r.Address)
		return
	}
	s.Former[r.Address] = former
}

// dropExpiredFormer removes the former services whose time has passed, and reports
// whether there were any.
func (s *State) dropExpiredFormer() bool {
	changed := false
	for address, former := range s.Former {
		kept := slices.DeleteFunc(slices.Clone(former), func(f crdoc.FormerService) bool { return !f.Until.After(s.Time) })
		if len(kept) == len(former) {
			continue
		}
		changed = true
		if s.Former[address] = kept; len(kept) == 0 {
			delete(s.Former, address)
		}
	}
	return changed
}

// expire removes the former services of routes, and the revisions at which members joined,
// whose time has passed.
func (s *State) expire() *crwire.Delta {
	members := s.expireJoins()
	var change *crdoc.CatalogChange
	if s.dropExpiredFormer() && s.Catalog != nil {
		next := s.withFormer(s.Catalog)
		if diff := s.Catalog.Diff(next); len(diff.Set) > 0 {
			change, s.Catalog = diff, next
		}
	}
	if len(members) == 0 && change == nil {
		return nil
	}
	delta := s.nextRevision()
	delta.Members, delta.Catalog = members, change
	return delta
}

// withFormer returns a copy of a catalog with the former services of its routes.
func (s *State) withFormer(c *crdoc.Catalog) *crdoc.Catalog {
	out := *c
	out.Routes = slices.Clone(c.Routes)
	for i := range out.Routes {
		r := &out.Routes[i]
		r.Former = s.Former[r.Address]
	}
	return &out
}

// Expired reports whether KindExpire would remove anything.
func (s *State) Expired(now time.Time) bool {
	for _, joins := range [][]join{s.Joins, s.Left} {
		if len(joins) > 0 && !joins[0].Until.After(now) {
			return true
		}
	}
	for _, former := range s.Former {
		if slices.ContainsFunc(former, func(f crdoc.FormerService) bool { return !f.Until.After(now) }) {
			return true
		}
	}
	return false
}
