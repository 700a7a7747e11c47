package crstate

import (
	"maps"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// State is the state machine. It is not safe for concurrent use.
type State struct {
	image
	// recent finds the answers by the change's ID.
	recent map[string]answer
	// sizes is the room that the claims of each service take, in bytes.
	sizes map[string]int
	// expiries orders the claims by the time they end.
	expiries expiryHeap
}

// image is what a snapshot holds.
type image struct {
	// Time is the latest time of an entry; it never goes back.
	Time     time.Time                 `json:"time"`
	Revision uint64                    `json:"rev"`
	Services map[string]*crdoc.Service `json:"services"`
	// Authors holds who made each service's version in force.
	Authors map[string]string `json:"authors"`
	// Out are the zones that are out of service, sorted.
	Out     []string                 `json:"out"`
	Members map[uint32]crwire.Member `json:"members"`
	// Numbers holds the number of each name that was ever a member.
	Numbers map[string]uint32 `json:"numbers"`
	// Answers are the latest answers to changes, oldest first.
	Answers []answer `json:"answers"`
	// Seq is the number of the last audit line.
	Seq   uint64         `json:"seq"`
	Audit []crwire.Audit `json:"audit"`
	// Catalog holds the opaque services, and Source the same as its operator
	// wrote it.
	Catalog *crdoc.Catalog `json:"catalog,omitempty"`
	Source  []byte         `json:"source,omitempty"`
	// Claims holds the claims of each service by key.
	Claims map[string]map[string]*claim `json:"claims"`
}

// New returns an empty state.
func New() *State {
	return &State{
		image: image{
			Services: map[string]*crdoc.Service{},
			Authors:  map[string]string{},
			Members:  map[uint32]crwire.Member{},
			Numbers:  map[string]uint32{},
			Claims:   map[string]map[string]*claim{},
		},
		recent: map[string]answer{},
		sizes:  map[string]int{},
	}
}

// Revision returns the revision in force.
func (s *State) Revision() uint64 { return s.image.Revision }

// Apply carries out an entry. The same entries in the same order give the
// same state and replies.
func (s *State) Apply(e Entry) Reply {
	s.pass(e.Time)
	switch e.Kind {
	case crwire.KindApply, crwire.KindZoneOut, crwire.KindZoneIn, crwire.KindInstance, crwire.KindCatalog:
		return s.applyChange(e)
	case crwire.KindMembers:
		return s.applyMembers(e.Members)
	case crwire.KindClaims:
		return s.applyClaims(e.Claims)
	case crwire.KindOutcomes:
		s.applySettles(e.Settles)
	}
	return Reply{}
}

// View returns a copy of what daemons see.
func (s *State) View() *crwire.View {
	return &crwire.View{
		Revision: s.image.Revision,
		Services: maps.Clone(s.Services),
		ZonesOut: slices.Clone(s.Out),
		Members:  maps.Clone(s.Members),
		Catalog:  s.Catalog,
	}
}

// pass moves the state's time forward and drops what has expired.
func (s *State) pass(now time.Time) {
	now = now.UTC().Round(0)
	if now.After(s.Time) {
		s.Time = now
	}
	s.expireClaims()
}

// advance starts the next revision and its delta.
func (s *State) advance() *crwire.Delta {
	s.image.Revision++
	return &crwire.Delta{From: s.image.Revision - 1, To: s.image.Revision}
}
