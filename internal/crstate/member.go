package crstate

import "cardamomring.dev/internal/crwire"

// namesMax bounds the names that were ever given a number; a new name beyond
// it is not taken in.
const namesMax = 1 << 20

// AgentNumber returns the number of an agent's name, 0 for an unknown one.
func (s *State) AgentNumber(name string) uint32 { return s.Numbers[name] }

// HasMember reports whether a member is in the state exactly as m says; m.Num is
// ignored.
func (s *State) HasMember(m crwire.Member) bool {
	m.Num = s.Numbers[m.Name]
	held, ok := s.Members[m.Num]
	if m.State == crwire.MemberGone {
		return !ok
	}
	return ok && held == m
}

// Agents returns the members by number. The caller doesn't change it.
func (s *State) Agents() map[uint32]crwire.Member { return s.Members }

// applyMembers sets agents and numbers new names.
func (s *State) applyMembers(members []crwire.Member) Reply {
	var changed []crwire.Member
	for _, m := range members {
		if s.HasMember(m) || !s.number(&m) {
			continue
		}
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
	delta := s.advance()
	delta.Members = changed
	return Reply{Delta: delta}
}

// number sets a member's number; false when no number is left.
func (s *State) number(m *crwire.Member) bool {
	num, ok := s.Numbers[m.Name]
	if !ok {
		if m.Name == "" || len(s.Numbers) >= namesMax {
			return false
		}
		num = uint32(len(s.Numbers)) + 1
		s.Numbers[m.Name] = num
	}
	m.Num = num
	return true
}
