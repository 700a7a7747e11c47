package crstate_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

func TestUnchangedMemberKeepsTheRevision(t *testing.T) {
	state := crstate.New()
	active := crwire.Member{Name: "a"}
	draining := crwire.Member{Name: "a", State: crwire.MemberDraining}
	gone := crwire.Member{Name: "a", State: crwire.MemberGone}
	var got []uint64
	for _, m := range []crwire.Member{active, active, draining, gone, gone, active} {
		state.Apply(crstate.Entry{Kind: crwire.KindMembers, Members: []crwire.Member{m}})
		got = append(got, state.Revision())
	}
	if diff := cmp.Diff([]uint64{1, 1, 2, 3, 3, 4}, got); diff != "" {
		t.Errorf("revisions (-want +got):\n%s", diff)
	}
}
