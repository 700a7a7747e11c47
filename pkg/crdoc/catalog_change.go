package crdoc

import (
	"net/netip"
	"reflect"
	"slices"
)

// CatalogChange leads from one catalog to a later one.
type CatalogChange struct {
	Version  uint64          `json:"version"`
	Idle     Duration        `json:"idle"`
	Services []OpaqueService `json:"services"`
	// Set are routes that are new or were changed.
	Set []Route `json:"set,omitempty"`
	// Drop are the addresses of routes that are gone.
	Drop []netip.AddrPort `json:"drop,omitempty"`
}

// Diff returns what leads from c to next; c may be nil.
func (c *Catalog) Diff(next *Catalog) *CatalogChange {
	out := &CatalogChange{Version: next.Version, Idle: next.Idle, Services: next.Services}
	former := map[netip.AddrPort]*Route{}
	if c != nil {
		for i := range c.Routes {
			former[c.Routes[i].Address] = &c.Routes[i]
		}
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if old := former[r.Address]; old == nil || !reflect.DeepEqual(old, r) {
			out.Set = append(out.Set, *r)
		}
		delete(former, r.Address)
	}
	for address := range former {
		out.Drop = append(out.Drop, address)
	}
	slices.SortFunc(out.Drop, netip.AddrPort.Compare)
	return out
}

// Apply returns the catalog after a change; c stays as it is and may be nil.
// The order of the routes isn't kept.
func (c *Catalog) Apply(change *CatalogChange) *Catalog {
	out := &Catalog{Version: change.Version, Idle: change.Idle, Services: change.Services}
	if c != nil {
		replaced := change.replaces()
		for _, r := range c.Routes {
			if !replaced[r.Address] {
				out.Routes = append(out.Routes, r)
			}
		}
	}
	out.Routes = append(out.Routes, change.Set...)
	return out
}

// Then returns one change that does what c and then next do.
func (c *CatalogChange) Then(next *CatalogChange) *CatalogChange {
	out := &CatalogChange{Version: next.Version, Idle: next.Idle, Services: next.Services}
	replaced := next.replaces()
	for _, r := range c.Set {
		if !replaced[r.Address] {
			out.Set = append(out.Set, r)
		}
	}
	out.Set = append(out.Set, next.Set...)
	set := map[netip.AddrPort]bool{}
	for _, r := range next.Set {
		set[r.Address] = true
	}
	for _, address := range c.Drop {
		if !set[address] && !slices.Contains(next.Drop, address) {
			out.Drop = append(out.Drop, address)
		}
	}
	out.Drop = append(out.Drop, next.Drop...)
	return out
}

// replaces returns the addresses whose former routes don't stay.
func (c *CatalogChange) replaces() map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for _, r := range c.Set {
		out[r.Address] = true
	}
	for _, address := range c.Drop {
		out[address] = true
	}
	return out
}
