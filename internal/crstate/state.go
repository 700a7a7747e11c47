package crstate

import (
	"maps"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// Entry is one command of the replicated log. Exactly the fields of its
// Kind are set. Applying an entry reads no clock: Time is the leader's.
type Entry struct {
	Kind crwire.Kind `json:"kind"`
	// Time is the leader's clock when it proposed the entry.
	Time time.Time `json:"time"`
	// Change is set for KindApply, KindZoneOut and KindZoneIn.
	Change *crwire.Change `json:"change,omitempty"`
	// Members is set for KindMembers. Num is ignored.
	Members []crwire.Member `json:"members,omitempty"`
	// Claims is set for KindClaims.
	Claims []crwire.Claim `json:"claims,omitempty"`
	// Settles is set for KindOutcomes.
	Settles []crwire.Settle `json:"settles,omitempty"`
}

// Reply is what applying an entry answers.
type Reply struct {
	// Result answers a change.
	Result crwire.Result
	// Claimed answers each claim, in order.
	Claimed []crwire.Claimed
	// Delta is what daemons must learn, nil for none.
	Delta *crwire.Delta
}

// State is the state machine. It is not safe for concurrent use.
type State struct {
	revision uint64
	services map[string]*crdoc.Service
	out      map[string]bool
	members  map[uint32]crwire.Member
	numbers  map[string]uint32
	answers  map[string]crwire.Result
	winners  map[string]string
	audit    []crwire.Audit
}

// New returns an empty state.
func New() *State {
	return &State{
		services: map[string]*crdoc.Service{},
		out:      map[string]bool{},
		members:  map[uint32]crwire.Member{},
		numbers:  map[string]uint32{},
		answers:  map[string]crwire.Result{},
		winners:  map[string]string{},
	}
}

// Revision returns the revision in force.
func (s *State) Revision() uint64 { return s.revision }

// Number returns the number of an agent's name, 0 for an unknown one.
func (s *State) Number(name string) uint32 { return s.numbers[name] }

// Apply carries out an entry. The same entries in the same order give the
// same state and replies.
func (s *State) Apply(e Entry) Reply {
	switch e.Kind {
	case crwire.KindApply, crwire.KindZoneOut, crwire.KindZoneIn:
		return s.applyChange(e)
	case crwire.KindMembers:
		return s.applyMembers(e)
	default:
		return Reply{}
	}
}

// View returns a copy of what daemons see.
func (s *State) View() *crwire.View {
	return &crwire.View{
		Revision: s.revision,
		Services: maps.Clone(s.services),
		Out:      s.zonesOut(),
		Members:  maps.Clone(s.members),
	}
}

// Audit returns the audit trail, oldest first.
func (s *State) Audit() []crwire.Audit { return slices.Clone(s.audit) }

// applyChange carries out an operator's change once per ID.
func (s *State) applyChange(e Entry) Reply {
	c := e.Change
	if answer, ok := s.answers[c.ID]; ok {
		return Reply{Result: answer}
	}
	line := crwire.Audit{Time: e.Time, Author: c.Author, ID: c.ID, Kind: c.Kind}
	var delta *crwire.Delta
	var result crwire.Result
	if c.Kind == crwire.KindApply {
		delta, result = s.applyService(c, &line)
	} else {
		delta, result = s.applyZone(c, &line)
	}
	result.Revision = s.revision
	line.Revision, line.Code = s.revision, result.Code
	s.audit = append(s.audit, line)
	s.answers[c.ID] = result
	return Reply{Result: result, Delta: delta}
}

// applyService sets a document if its version is the one in force.
func (s *State) applyService(c *crwire.Change, line *crwire.Audit) (*crwire.Delta, crwire.Result) {
	doc := *c.Service
	var current uint64
	if old := s.services[doc.Name]; old != nil {
		current = old.Version
	}
	line.Subject, line.From, line.To = doc.Name, current, current
	if doc.Version != current {
		return nil, crwire.Result{Code: crwire.CodeConflict, Version: current, Winner: s.winners[doc.Name]}
	}
	doc.Version++
	line.To = doc.Version
	s.services[doc.Name] = &doc
	s.winners[doc.Name] = c.Author
	delta := s.advance()
	delta.Services = []*crdoc.Service{&doc}
	return delta, crwire.Result{Code: crwire.CodeOK, Version: doc.Version}
}

// applyZone takes a zone out or brings it back.
func (s *State) applyZone(c *crwire.Change, line *crwire.Audit) (*crwire.Delta, crwire.Result) {
	line.Subject = c.Zone
	if c.Kind == crwire.KindZoneOut {
		s.out[c.Zone] = true
	} else {
		delete(s.out, c.Zone)
	}
	delta := s.advance()
	delta.Out, delta.Zoned = s.zonesOut(), true
	return delta, crwire.Result{Code: crwire.CodeOK}
}

// applyMembers sets agents and numbers new names.
func (s *State) applyMembers(e Entry) Reply {
	delta := s.advance()
	for _, m := range e.Members {
		num, ok := s.numbers[m.Name]
		if !ok {
			num = uint32(len(s.numbers)) + 1
			s.numbers[m.Name] = num
		}
		m.Num = num
		if m.State == crwire.MemberGone {
			delete(s.members, num)
		} else {
			s.members[num] = m
		}
		delta.Members = append(delta.Members, m)
	}
	return Reply{Delta: delta}
}

// advance starts the next revision and its delta.
func (s *State) advance() *crwire.Delta {
	s.revision++
	return &crwire.Delta{From: s.revision - 1, To: s.revision}
}

// zonesOut returns the zones that are out, sorted.
func (s *State) zonesOut() []string {
	return slices.Sorted(maps.Keys(s.out))
}
