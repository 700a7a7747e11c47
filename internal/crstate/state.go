package crstate

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// State is the state machine. It is not safe for concurrent use.
type State struct {
	persisted
	// resultByID indexes ChangeResults.
	resultByID map[string]changeResult
	// claimBytes is the total size of the claims of each service.
	claimBytes map[string]int
	// expiries orders the claims by expiry time.
	expiries expiryHeap
}

// persisted is the part of the state that is stored in snapshots.
type persisted struct {
	// Time is the latest time of the applied entries. It never goes back.
	Time     time.Time                 `json:"time"`
	Revision uint64                    `json:"rev"`
	Services map[string]*crdoc.Service `json:"services"`
	// Authors holds the author of the current version of each service.
	Authors map[string]string `json:"authors"`
	// ZonesOut holds the zones that are out of service, sorted.
	ZonesOut []string `json:"out"`
	// ZoneVersions counts the orders about each zone that were carried out.
	ZoneVersions map[string]uint64        `json:"zones,omitempty"`
	Members      map[uint32]crwire.Member `json:"members"`
	// AgentNumbers holds the number of every name that has been a member.
	AgentNumbers map[string]uint32 `json:"numbers"`
	// Joins holds the members that have joined, and Left those that have left, while
	// flows may be open that are older; oldest first.
	Joins []join `json:"joins,omitempty"`
	Left  []join `json:"left,omitempty"`
	// ChangeResults holds the results of the latest changes, oldest first.
	ChangeResults []changeResult `json:"answers"`
	// AuditSeq is the sequence number of the last audit line.
	AuditSeq uint64         `json:"seq"`
	Audit    []crwire.Audit `json:"audit"`
	// Catalog holds the opaque services. Source is the catalog as the
	// operator wrote it.
	Catalog *crdoc.Catalog `json:"catalog,omitempty"`
	Source  []byte         `json:"source,omitempty"`
	// Former holds the former services by the address of the route, also while no
	// route has that address.
	Former map[netip.AddrPort][]crdoc.FormerService `json:"former,omitempty"`
	// Claims holds the claims by service and key.
	Claims map[string]map[string]*claim `json:"claims"`
}

// New returns an empty state.
func New() *State {
	return &State{
		persisted: persisted{
			Services:     map[string]*crdoc.Service{},
			Authors:      map[string]string{},
			Members:      map[uint32]crwire.Member{},
			AgentNumbers: map[string]uint32{},
			Claims:       map[string]map[string]*claim{},
			ZoneVersions: map[string]uint64{},
			Former:       map[netip.AddrPort][]crdoc.FormerService{},
		},
		resultByID: map[string]changeResult{},
		claimBytes: map[string]int{},
	}
}

// Revision returns the current revision.
func (s *State) Revision() uint64 { return s.persisted.Revision }

// Apply applies an entry. Applying the same entries in the same order yields
// the same state and replies.
func (s *State) Apply(e Entry) Reply {
	s.advanceTime(e.Time)
	switch e.Kind {
	case crwire.KindApply, crwire.KindZoneOut, crwire.KindZoneIn, crwire.KindInstance, crwire.KindCatalog:
		return s.applyChange(e)
	case crwire.KindMembers:
		return s.applyMembers(e.Members, e.FlowLifetime)
	case crwire.KindClaims:
		return s.applyClaims(e.Claims)
	case crwire.KindOutcomes:
		s.applySettles(e.Settles)
	case crwire.KindExpire:
		return Reply{Delta: s.expire()}
	}
	return Reply{}
}

// View returns a copy of the configuration that is sent to agents and
// balancers.
func (s *State) View() *crwire.View {
	return &crwire.View{
		Revision: s.persisted.Revision,
		Services: maps.Clone(s.Services),
		ZonesOut: slices.Clone(s.ZonesOut),
		Members:  maps.Clone(s.Members),
		Catalog:  s.Catalog,
	}
}

// advanceTime sets the time, unless now is earlier, and removes expired claims.
func (s *State) advanceTime(now time.Time) {
	now = now.UTC().Round(0)
	if now.After(s.Time) {
		s.Time = now
	}
	s.expireClaims()
}

// nextRevision increments the revision and returns an empty delta to it.
func (s *State) nextRevision() *crwire.Delta {
	s.persisted.Revision++
	return &crwire.Delta{From: s.persisted.Revision - 1, To: s.persisted.Revision}
}
