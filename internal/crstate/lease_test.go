package crstate_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// look looks at the leases each quarter of a second from one time to another
// and returns who ended.
func look(l *crstate.Leases, members map[uint32]crwire.Member, from, to time.Duration) []string {
	var gone []string
	for at := from; at <= to; at += 250 * time.Millisecond {
		for _, m := range l.Expired(members, start.Add(at)) {
			gone = append(gone, m.Name)
			delete(members, m.Num)
		}
	}
	return gone
}

// agents returns members by number.
func agents(names ...string) map[uint32]crwire.Member {
	out := map[uint32]crwire.Member{}
	for i, name := range names {
		out[uint32(i)] = crwire.Member{Num: uint32(i), Name: name}
	}
	return out
}

func TestSilentAgentLosesItsLease(t *testing.T) {
	members := agents("silent", "loud")
	l := crstate.NewLeases(3 * time.Second)
	l.Apply([]crwire.Member{members[0], members[1]}, start)
	before := look(l, members, 0, 2*time.Second)
	l.Renew("loud", start.Add(2*time.Second))
	after := look(l, members, 2*time.Second, 4*time.Second)
	if diff := cmp.Diff([][]string{nil, {"silent"}}, [][]string{before, after}); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}

func TestNewLeaderGrantsAFullLease(t *testing.T) {
	members := agents("a")
	l := crstate.NewLeases(3 * time.Second)
	l.Apply([]crwire.Member{members[0]}, start)
	look(l, members, 0, 2*time.Second)
	l.GrantAll(members, start.Add(2*time.Second))
	if gone := look(l, members, 2*time.Second, 5*time.Second); gone != nil {
		t.Errorf("ended within a full lease: %v", gone)
	}
}

func TestStandstillEndsNoLease(t *testing.T) {
	members := agents("a")
	l := crstate.NewLeases(3 * time.Second)
	l.Apply([]crwire.Member{members[0]}, start)
	look(l, members, 0, time.Second)
	resumed := time.Minute
	if gone := look(l, members, resumed, resumed+3*time.Second); gone != nil {
		t.Errorf("ended by a standstill: %v", gone)
	}
	if gone := look(l, members, resumed+3*time.Second, resumed+4*time.Second); len(gone) != 1 {
		t.Errorf("silent for a full lease after it: %v", gone)
	}
}
