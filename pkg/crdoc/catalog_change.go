package crdoc

import (
	"net/netip"
	"reflect"
	"slices"
)

// CatalogChange is the difference between a catalog and a later version of it.
type CatalogChange struct {
	Version  uint64          `json:"version"`
	Idle     Duration        `json:"idle"`
	Services []OpaqueService `json:"services"`
	// Set lists the new and changed routes.
	Set []Route `json:"set,omitempty"`
	// Drop lists the addresses of removed routes.
	Drop []netip.AddrPort `json:"drop,omitempty"`
}

// Diff returns the change that turns c into next. A nil c counts as empty.
func (c *Catalog) Diff(next *Catalog) *CatalogChange {
	out := &CatalogChange{Version: next.Version, Idle: next.Idle, Services: next.Services}
	previous := map[netip.AddrPort]*Route{}
	if c != nil {
		for i := range c.Routes {
			previous[c.Routes[i].Address] = &c.Routes[i]
		}
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if old := previous[r.Address]; old == nil || !reflect.DeepEqual(old, r) {
			out.Set = append(out.Set, *r)
		}
		delete(previous, r.Address)
	}
	for address := range previous {
		out.Drop = append(out.Drop, address)
	}
	slices.SortFunc(out.Drop, netip.AddrPort.Compare)
	return out
}

// Apply returns a new catalog with the change applied. It doesn't modify c; a
// nil c counts as empty. The order of the routes isn't kept.
func (c *Catalog) Apply(change *CatalogChange) *Catalog {
	out := &Catalog{Version: change.Version, Idle: change.Idle, Services: change.Services}
	if c != nil {
		replaced := change.affectedAddresses()
		for _, r := range c.Routes {
			if !replaced[r.Address] {
				out.Routes = append(out.Routes, r)
			}
		}
	}
	out.Routes = append(out.Routes, change.Set...)
	return out
}

// Then returns one change that is equivalent to c followed by next.
func (c *CatalogChange) Then(next *CatalogChange) *CatalogChange {
	out := &CatalogChange{Version: next.Version, Idle: next.Idle, Services: next.Services}
	replaced := next.affectedAddresses()
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

// affectedAddresses returns the addresses whose previous routes are replaced or
// removed.
func (c *CatalogChange) affectedAddresses() map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for _, r := range c.Set {
		out[r.Address] = true
	}
	for _, address := range c.Drop {
		out[address] = true
	}
	return out
}
