package crstate

import (
	"cmp"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
)

// maxCheckGap is the longest normal interval between two calls of
// Leases.Expired. A longer one means that the process was paused, so renewals
// may be queued that it has not handled yet.
const maxCheckGap = time.Second

// drainingLeaseFactor is how many times the usual duration the lease of a draining member
// lasts.
const drainingLeaseFactor = 4

// Leases tracks the membership leases of the agents by name, on monotonic
// time. It is kept in memory only, and only the leader uses it to expire members.
type Leases struct {
	// Duration is the time from a renewal to the expiry of the lease.
	Duration time.Duration

	expiresAt map[string]time.Time
	// lastCheck is the time of the last call of Expired.
	lastCheck time.Time
}

// NewLeases returns an empty set of leases of the given duration.
func NewLeases(duration time.Duration) *Leases {
	return &Leases{Duration: duration, expiresAt: map[string]time.Time{}}
}

// Len returns the number of leases.
func (l *Leases) Len() int { return len(l.expiresAt) }

// Apply renews the leases of members that were added or updated, and removes
// those of members that are gone.
func (l *Leases) Apply(members []crwire.Member, now time.Time) {
	for _, m := range members {
		if m.State == crwire.MemberGone {
			delete(l.expiresAt, m.Name)
			continue
		}
		l.Renew(m, now)
	}
}

// Renew extends a member's lease to the full duration from now. A draining member may be
// restarting, and can't renew its lease until it runs again.
func (l *Leases) Renew(m crwire.Member, now time.Time) {
	duration := l.Duration
	if m.State == crwire.MemberDraining {
		duration *= drainingLeaseFactor
	}
	l.expiresAt[m.Name] = now.Add(duration)
}

// GrantAll replaces all leases by a full lease for each member. A new leader
// calls it because it did not receive the earlier renewals.
func (l *Leases) GrantAll(members map[uint32]crwire.Member, now time.Time) {
	clear(l.expiresAt)
	for _, m := range members {
		l.Renew(m, now)
	}
}

// Expired returns the members whose lease has expired, with their state set to
// MemberGone. If the last call was more than maxCheckGap ago, it grants all
// members a full lease instead.
func (l *Leases) Expired(members map[uint32]crwire.Member, now time.Time) []crwire.Member {
	gap := now.Sub(l.lastCheck)
	l.lastCheck = now
	if gap > maxCheckGap {
		l.GrantAll(members, now)
		return nil
	}
	var expired []crwire.Member
	for _, m := range members {
		if expiresAt, ok := l.expiresAt[m.Name]; ok && now.After(expiresAt) {
			m.State = crwire.MemberGone
			expired = append(expired, m)
		}
	}
	slices.SortFunc(expired, func(a, b crwire.Member) int { return cmp.Compare(a.Num, b.Num) })
	return expired
}
