package crwire

import "cardamomring.dev/pkg/crdoc"

// View is the configuration at one revision. A View must not be changed after
// it has been shared.
type View struct {
	// Revision increases with each change that is visible to daemons.
	Revision uint64 `json:"rev"`
	// Services maps the name of each service to its current document.
	Services map[string]*crdoc.Service `json:"services"`
	// ZonesOut lists the availability zones that are out of service, sorted.
	ZonesOut []string `json:"out"`
	// Members maps the number of each agent to its entry. Agents in the state
	// MemberGone are absent.
	Members map[uint32]Member `json:"members"`
	// Catalog holds the opaque services; nil before the first catalog.
	Catalog *crdoc.Catalog `json:"catalog,omitempty"`
}

// Delta is the difference between the revisions From and To.
type Delta struct {
	From uint64 `json:"from"`
	// To is greater than From.
	To uint64 `json:"to"`
	// Services lists the documents that were set.
	Services []*crdoc.Service `json:"services,omitempty"`
	// ZonesOut replaces the list of zones that are out of service, if
	// ZonesOutChanged is true.
	ZonesOut        []string `json:"out,omitempty"`
	ZonesOutChanged bool     `json:"zoned,omitempty"`
	// Members lists the agents that were set. An agent in the state MemberGone
	// is removed.
	Members []Member `json:"members,omitempty"`
	// Catalog is the change of the catalog; nil if it is unchanged.
	Catalog *crdoc.CatalogChange `json:"catalog,omitempty"`
}

// Feed is the response to GET /feed?after=REV&wait=DURATION.
type Feed struct {
	// Stale is true if the sender has no proof of contact with the leader. A
	// process that is starting rejects a stale response.
	Stale bool `json:"stale,omitempty"`
	// Revision is the sender's revision.
	Revision uint64 `json:"rev"`
	// Control lists the host:port of the control instances known to the sender;
	// empty means unknown.
	Control []string `json:"control,omitempty"`
	// ControlIndex is the index in the replicated log of the accepted configuration that
	// Control comes from; 0 if the sender doesn't tell.
	ControlIndex uint64 `json:"index,omitempty"`
	// Snapshot is the complete view, if the available deltas do not reach back
	// to the requested revision.
	Snapshot *View `json:"snapshot,omitempty"`
	// Deltas lead from the requested revision onwards; each starts at the
	// revision where the previous one ends.
	Deltas []Delta `json:"deltas,omitempty"`
}
