package crstate

import (
	"cmp"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
)

// gapMax is the longest pause between two looks at the leases. A longer one
// means that the process itself stood still, so that renewals may wait.
const gapMax = time.Second

// Leases are the agents' rights to be members, by name, on monotonic time.
// They are kept in memory only, and only the leader's count.
type Leases struct {
	// Duration is how long a lease lasts.
	Duration time.Duration

	until map[string]time.Time
	// looked is when Expired last looked.
	looked time.Time
}

// NewLeases returns leases that last for length.
func NewLeases(length time.Duration) *Leases {
	return &Leases{Duration: length, until: map[string]time.Time{}}
}

// Len returns how many agents hold a lease.
func (l *Leases) Len() int { return len(l.until) }

// Apply follows members that were set.
func (l *Leases) Apply(members []crwire.Member, now time.Time) {
	for _, m := range members {
		if m.State == crwire.MemberGone {
			delete(l.until, m.Name)
			continue
		}
		l.Renew(m.Name, now)
	}
}

// Renew grants a full lease.
func (l *Leases) Renew(name string, now time.Time) { l.until[name] = now.Add(l.Duration) }

// GrantAll grants each member a full lease and forgets all others. A leader
// calls it when it begins to lead: it can't know who renewed before.
func (l *Leases) GrantAll(members map[uint32]crwire.Member, now time.Time) {
	clear(l.until)
	for _, m := range members {
		l.Renew(m.Name, now)
	}
}

// Expired returns the members whose lease has ended, as gone. After a
// standstill of the process it grants full leases instead.
func (l *Leases) Expired(members map[uint32]crwire.Member, now time.Time) []crwire.Member {
	gap := now.Sub(l.looked)
	l.looked = now
	if gap > gapMax {
		l.GrantAll(members, now)
		return nil
	}
	var gone []crwire.Member
	for _, m := range members {
		if until, ok := l.until[m.Name]; ok && now.After(until) {
			m.State = crwire.MemberGone
			gone = append(gone, m)
		}
	}
	slices.SortFunc(gone, func(a, b crwire.Member) int { return cmp.Compare(a.Num, b.Num) })
	return gone
}
