package crstate_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// expire calls Expired every 250 ms in the given time range. It removes the
// expired members from members and returns their names.
func expire(l *crstate.Leases, members map[uint32]crwire.Member, from, to time.Duration) []string {
	var expired []string
	for at := from; at <= to; at += 250 * time.Millisecond {
		for _, m := range l.Expired(members, start.Add(at)) {
			expired = append(expired, m.Name)
			delete(members, m.Num)
		}
	}
	return expired
}

// newMembers returns members with these names, by number.
func newMembers(names ...string) map[uint32]crwire.Member {
	out := map[uint32]crwire.Member{}
	for i, name := range names {
		out[uint32(i)] = crwire.Member{Num: uint32(i), Name: name}
	}
	return out
}

func TestLeaseExpiresWithoutRenewal(t *testing.T) {
	members := newMembers("silent", "renewing")
	l := crstate.NewLeases(3 * time.Second)
	l.Apply([]crwire.Member{members[0], members[1]}, start)
	before := expire(l, members, 0, 2*time.Second)
	l.Renew(members[1], start.Add(2*time.Second))
	after := expire(l, members, 2*time.Second, 4*time.Second)
	if diff := cmp.Diff([][]string{nil, {"silent"}}, [][]string{before, after}); diff != "" {
		t.Errorf("expired before and after 2 s (-want +got):\n%s", diff)
	}
}

// TestLeaseOfDrainingMemberLastsARestart guards against an agent that loses its membership,
// and then its flows, while it is restarted as planned.
func TestLeaseOfDrainingMemberLastsARestart(t *testing.T) {
	members := newMembers("restarting", "silent")
	l := crstate.NewLeases(3 * time.Second)
	l.Apply([]crwire.Member{members[0], members[1]}, start)
	expire(l, members, 0, time.Second)
	restarting := members[0]
	restarting.State = crwire.MemberDraining
	members[0] = restarting
	l.Apply([]crwire.Member{restarting}, start.Add(time.Second))
	got := [][]string{expire(l, members, time.Second, 13*time.Second), expire(l, members, 13*time.Second, 14*time.Second)}
	if diff := cmp.Diff([][]string{{"silent"}, {"restarting"}}, got); diff != "" {
		t.Errorf("expired within 12 s and after (-want +got):\n%s", diff)
	}
}

func TestNewLeaderGrantsAFullLease(t *testing.T) {
	members := newMembers("a")
	l := crstate.NewLeases(3 * time.Second)
	l.Apply([]crwire.Member{members[0]}, start)
	expire(l, members, 0, 2*time.Second)
	l.GrantAll(members, start.Add(2*time.Second))
	if expired := expire(l, members, 2*time.Second, 5*time.Second); expired != nil {
		t.Errorf("expired within a full lease: %v", expired)
	}
}

func TestProcessPauseExpiresNoLease(t *testing.T) {
	members := newMembers("a")
	l := crstate.NewLeases(3 * time.Second)
	l.Apply([]crwire.Member{members[0]}, start)
	expire(l, members, 0, time.Second)
	resumed := time.Minute
	if expired := expire(l, members, resumed, resumed+3*time.Second); expired != nil {
		t.Errorf("expired within a full lease after the pause: %v", expired)
	}
	if expired := expire(l, members, resumed+3*time.Second, resumed+4*time.Second); len(expired) != 1 {
		t.Errorf("expired after a full lease without renewal: got %v, want one member", expired)
	}
}
