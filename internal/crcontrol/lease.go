package crcontrol

import (
	"time"

	"cardamomring.dev/internal/crwire"
)

// gapMax is the longest pause between two looks at the leases. A longer one
// means that the process itself stood still, so that renewals may wait.
const gapMax = 4 * leaseTick

// leases are the agents' rights to be members, by name, on monotonic time.
// Only the leader's count.
type leases struct {
	length time.Duration
	until  map[string]time.Time
	// looked is when expired last looked.
	looked time.Time
}

// newLeases returns leases that last for length.
func newLeases(length time.Duration) *leases {
	return &leases{length: length, until: map[string]time.Time{}}
}

// apply follows members that were set.
func (l *leases) apply(members []crwire.Member, now time.Time) {
	for _, m := range members {
		if m.State == crwire.MemberGone {
			delete(l.until, m.Name)
			continue
		}
		l.renew(m.Name, now)
	}
}

// renew grants a full lease.
func (l *leases) renew(name string, now time.Time) { l.until[name] = now.Add(l.length) }

// grantAll grants each member a full lease and forgets all others.
func (l *leases) grantAll(members map[uint32]crwire.Member, now time.Time) {
	clear(l.until)
	for _, m := range members {
		l.renew(m.Name, now)
	}
}

// expired returns the members whose lease has ended. After a standstill it
// grants a full lease instead.
func (l *leases) expired(members map[uint32]crwire.Member, now time.Time) []crwire.Member {
	gap := now.Sub(l.looked)
	l.looked = now
	if gap > gapMax {
		l.grantAll(members, now)
		return nil
	}
	var gone []crwire.Member
	for _, m := range members {
		if until, ok := l.until[m.Name]; ok && now.After(until) {
			m.State = crwire.MemberGone
			gone = append(gone, m)
		}
	}
	return gone
}
