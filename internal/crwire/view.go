package crwire

import "cardamomring.dev/pkg/crdoc"

// View is the configuration in force at one revision. A holder never
// changes a View it has handed out.
type View struct {
	// Revision grows with each change that daemons see.
	Revision uint64 `json:"rev"`
	// Services are the documents in force by name.
	Services map[string]*crdoc.Service `json:"services"`
	// ZonesOut are the availability zones that are out of service, sorted.
	ZonesOut []string `json:"out"`
	// Members are the agents by number; gone ones are absent.
	Members map[uint32]Member `json:"members"`
	// Catalog holds the opaque services; nil before the first one.
	Catalog *crdoc.Catalog `json:"catalog,omitempty"`
}

// Delta leads from revision From to revision To.
type Delta struct {
	From uint64 `json:"from"`
	// To is greater than From.
	To uint64 `json:"to"`
	// Services are documents that were set.
	Services []*crdoc.Service `json:"services,omitempty"`
	// ZonesOut replaces the zones that are out, when ZonesOutChanged is true.
	ZonesOut        []string `json:"out,omitempty"`
	ZonesOutChanged bool     `json:"zoned,omitempty"`
	// Members are agents that were set; a gone one is removed.
	Members []Member `json:"members,omitempty"`
	// Catalog changes the catalog; nil leaves it.
	Catalog *crdoc.CatalogChange `json:"catalog,omitempty"`
}

// Feed is the answer to GET /feed?after=REV&wait=DURATION.
type Feed struct {
	// Stale says that the sender can't prove contact with the leader. A
	// process that starts doesn't take a stale answer.
	Stale bool `json:"stale,omitempty"`
	// Revision is the sender's own.
	Revision uint64 `json:"rev"`
	// Control lists the host:port of the control instances that the sender
	// knows; empty says nothing.
	Control []string `json:"control,omitempty"`
	// Snapshot is the whole view, when deltas don't reach back far enough.
	Snapshot *View `json:"snapshot,omitempty"`
	// Deltas lead from the asked revision onwards, each from the one before.
	Deltas []Delta `json:"deltas,omitempty"`
}
