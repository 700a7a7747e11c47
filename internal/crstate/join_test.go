package crstate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// TestMembersShowSinceWhen checks what the members show about their joining: an agent that
// returns keeps the revision at which it came first, and both revisions are forgotten once
// flows of that time have ended. It guards against an owner that a balancer takes for one
// that was never on the short list, because it has left and returned since.
func TestMembersShowSinceWhen(t *testing.T) {
	const lifetime = time.Minute
	state := crstate.New()
	now := start
	var got []string
	step := func(after time.Duration, name string, memberState crwire.MemberState) {
		now = now.Add(after)
		e := crstate.Entry{Kind: crwire.KindExpire, Time: now, FlowLifetime: lifetime}
		if name != "" {
			e.Kind, e.Members = crwire.KindMembers, []crwire.Member{{Name: name, State: memberState}}
		}
		state.Apply(e)
		line := fmt.Sprint(state.Revision(), ":")
		for num := range uint32(3) {
			if m, ok := state.View().Members[num]; ok {
				line += fmt.Sprint(" ", m.Name, " ", m.Since, "/", m.First)
			}
		}
		got = append(got, line)
		restored, err := crstate.Restore(state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		state = restored
	}
	step(0, "a", crwire.MemberActive)
	step(time.Second, "b", crwire.MemberActive)
	step(time.Second, "a", crwire.MemberDraining)
	step(time.Second, "a", crwire.MemberGone)
	step(time.Second, "a", crwire.MemberActive)
	// Two minutes after each change flows that are older have ended.
	step(2*time.Minute-4*time.Second, "", 0)
	step(time.Second, "", 0)
	step(2*time.Second, "", 0)
	step(time.Second, "", 0)
	step(time.Second, "a", crwire.MemberGone)
	step(3*time.Minute, "a", crwire.MemberActive)
	step(time.Second, "b", crwire.MemberGone)
	want := []string{
		"1: a 1/1", "2: a 1/1 b 2/2", "3: a 1/1 b 2/2", "4: b 2/2", "5: a 5/1 b 2/2",
		"5: a 5/1 b 2/2", "6: a 5/1 b 0/0", "6: a 5/1 b 0/0", "7: a 0/0 b 0/0", "8: b 0/0", "9: a 9/9 b 0/0", "10: a 9/9",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("revision and members, each since and first (-want +got):\n%s", diff)
	}
}
