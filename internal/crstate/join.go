package crstate

import (
	"maps"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
)

// join is a change of an agent's membership.
type join struct {
	Num uint32 `json:"num"`
	// First is the revision at which the agent became a member first, for one that has
	// left.
	First uint64 `json:"first,omitempty"`
	// Until is when flows that were opened before the change have reached their greatest
	// age.
	Until time.Time `json:"until"`
}

// recordJoin sets since when an agent is a member, and records the change if it joins or
// leaves. Balancers find out by it which agents may have been on a flow's short list since
// the flow was opened. The agents themselves can't tell: they may have been restarted.
func (s *State) recordJoin(m *crwire.Member, lifetime time.Duration) {
	existing, member := s.Members[m.Num]
	change := join{Num: m.Num, First: existing.First, Until: s.Time.Add(flowsEnd(lifetime))}
	switch {
	case m.State == crwire.MemberGone:
		m.Since, m.First = 0, 0
		s.Left = append(s.Left, change)
	case member:
		m.Since, m.First = existing.Since, existing.First
	default:
		// The delta that adds the member leads to this revision.
		m.Since = s.persisted.Revision + 1
		m.First = m.Since
		if i := slices.IndexFunc(s.Left, func(l join) bool { return l.Num == m.Num }); i >= 0 {
			if s.Left[i].Until.After(s.Time) {
				m.First = s.Left[i].First
			}
			s.Left = slices.Delete(s.Left, i, i+1)
		}
		s.Joins = append(s.Joins, change)
	}
}

// expireJoins forgets when members joined whose time has passed, and returns these
// members.
func (s *State) expireJoins() []crwire.Member {
	expired := func(j join) bool { return !j.Until.After(s.Time) }
	s.Left = slices.DeleteFunc(s.Left, expired)
	changed := map[uint32]crwire.Member{}
	for len(s.Joins) > 0 && expired(s.Joins[0]) {
		num := s.Joins[0].Num
		s.Joins = s.Joins[1:]
		m, ok := s.Members[num]
		if !ok || slices.ContainsFunc(s.Joins, func(j join) bool { return j.Num == num }) {
			continue
		}
		m.Since, m.First = 0, 0
		s.Members[num], changed[num] = m, m
	}
	out := make([]crwire.Member, 0, len(changed))
	for _, num := range slices.Sorted(maps.Keys(changed)) {
		out = append(out, changed[num])
	}
	return out
}
