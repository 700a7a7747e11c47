package crstate

import (
	"time"

	"cardamomring.dev/internal/crwire"
)

// maxAgentNames limits the number of agent names that have a number. Numbers are
// never freed. Once the limit is reached, agents with a new name are ignored.
const maxAgentNames = 1 << 20

// AgentNumber returns the number of the agent with this name, or 0.
func (s *State) AgentNumber(name string) uint32 { return s.AgentNumbers[name] }

// HasMember reports whether applying m would change nothing: the member is
// stored with equal fields or, for MemberGone, is absent. What control sets in m is
// ignored.
func (s *State) HasMember(m crwire.Member) bool {
	m.Num = s.AgentNumbers[m.Name]
	existing, ok := s.Members[m.Num]
	m.Since, m.First = existing.Since, existing.First
	if m.State == crwire.MemberGone {
		return !ok
	}
	return ok && existing == m
}

// Agents returns the members by number. The caller must not modify the map.
func (s *State) Agents() map[uint32]crwire.Member { return s.Members }

// applyMembers adds, updates and removes members, and assigns numbers to new
// names.
func (s *State) applyMembers(members []crwire.Member, lifetime time.Duration) Reply {
	var changed []crwire.Member
	for _, m := range members {
		if s.HasMember(m) || !s.assignNumber(&m) {
			continue
		}
		s.recordJoin(&m, lifetime)
		if m.State == crwire.MemberGone {
			delete(s.Members, m.Num)
		} else {
			s.Members[m.Num] = m
		}
		changed = append(changed, m)
	}
	if len(changed) == 0 {
		return Reply{}
	}
	delta := s.nextRevision()
	delta.Members = changed
	return Reply{Delta: delta}
}

// assignNumber sets m.Num to the number of its name. It returns false if the
// name is empty or no number is left.
func (s *State) assignNumber(m *crwire.Member) bool {
	num, ok := s.AgentNumbers[m.Name]
	if !ok {
		if m.Name == "" || len(s.AgentNumbers) >= maxAgentNames {
			return false
		}
		num = uint32(len(s.AgentNumbers)) + 1
		s.AgentNumbers[m.Name] = num
	}
	m.Num = num
	return true
}
