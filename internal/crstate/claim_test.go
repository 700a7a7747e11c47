package crstate_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// keep is the document's keep in these tests.
const keep = 10 * time.Minute

// ledger returns a state with a service, and a clock in its hands.
func ledger() *crstate.State {
	state := crstate.New()
	doc := &crdoc.Service{Name: "ledger", Address: "a", Keep: crdoc.Duration(keep)}
	state.Apply(crstate.Entry{Time: start, Change: &crwire.Change{ID: "1", Service: doc}})
	return state
}

// ask claims a key of the ledger at a time after start.
func ask(state *crstate.State, after time.Duration, key, digest, attempt string) crwire.ClaimResponse {
	c := crwire.Claim{Service: "ledger", Key: key, Digest: digest, Attempt: attempt}
	reply := state.Apply(crstate.Entry{Kind: crwire.KindClaims, Time: start.Add(after), Claims: []crwire.Claim{c}})
	return reply.ClaimResults[0]
}

// settle records an outcome.
func settle(state *crstate.State, after time.Duration, key, attempt string, r crwire.Record) {
	s := crwire.Settle{Service: "ledger", Key: key, Attempt: attempt, Record: r}
	state.Apply(crstate.Entry{Kind: crwire.KindOutcomes, Time: start.Add(after), Settles: []crwire.Settle{s}})
}

func TestClaimVerdicts(t *testing.T) {
	state := ledger()
	done := crwire.Record{Outcome: crwire.OutcomeDone, Status: 201}
	var got []string
	note := func(c crwire.ClaimResponse) { got = append(got, c.Verdict.String()) }
	note(ask(state, 0, "k", "d", "one"))
	note(ask(state, 0, "k", "d", "one"))
	note(ask(state, 0, "k", "d", "two"))
	note(ask(state, 0, "k", "other", "two"))
	settle(state, 0, "k", "two", done)
	note(ask(state, 0, "k", "d", "two"))
	settle(state, time.Minute, "k", "one", done)
	note(ask(state, keep, "k", "d", "two"))
	note(ask(state, keep+time.Minute, "k", "d", "two"))
	settle(state, keep+time.Minute, "k", "two", crwire.Record{Outcome: crwire.OutcomeNotrun})
	note(ask(state, keep+time.Minute, "k", "d", "two"))
	note(ask(state, keep+time.Minute, "k", "d", "three"))
	want := []string{
		"granted", "granted", "held", "mismatch", "held", "recorded", "granted", "unavailable", "granted",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

func TestClaimsOfOneServiceAreBounded(t *testing.T) {
	state := ledger()
	verdicts := map[crwire.Verdict]int{}
	const asked = 20_000
	for i := range asked {
		verdicts[ask(state, 0, fmt.Sprint(i), "d", "one").Verdict]++
	}
	if verdicts[crwire.VerdictUnavailable] == 0 {
		t.Fatal("every claim was granted")
	}
	if size := len(state.Snapshot()); size > 64<<20 {
		t.Errorf("the snapshot takes %d bytes", size)
	}
	body := []byte(strings.Repeat("x", crwire.RecordMax))
	settle(state, 0, "0", "one", crwire.Record{Outcome: crwire.OutcomeDone, Body: body})
	want := crwire.ClaimResponse{
		Verdict: crwire.VerdictRecorded, Record: &crwire.Record{Outcome: crwire.OutcomeDone, Body: body},
	}
	if diff := cmp.Diff(want, ask(state, 0, "0", "d", "two")); diff != "" {
		t.Errorf("a settle when the room is full (-want +got):\n%s", diff)
	}
	if got := ask(state, keep+time.Minute, "late", "d", "one").Verdict; got != crwire.VerdictGranted {
		t.Errorf("after the others ended: %s", got)
	}
}

func TestAtMostOneAttemptRunsWithinKeep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := ledger()
		// running holds the attempt that was granted and has not given the
		// key back.
		running := map[string]string{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
			attempt := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "attempt")
			if rapid.Bool().Draw(t, "settle") {
				outcome := rapid.SampledFrom(crwire.OutcomeValues()).Draw(t, "outcome")
				settle(state, 0, key, attempt, crwire.Record{Outcome: outcome})
				if outcome == crwire.OutcomeNotrun && running[key] == attempt {
					delete(running, key)
				}
				continue
			}
			if ask(state, 0, key, "d", attempt).Verdict != crwire.VerdictGranted {
				continue
			}
			if other := running[key]; other != "" && other != attempt {
				t.Fatalf("%s was granted to %s while %s runs", key, attempt, other)
			}
			running[key] = attempt
		}
	})
}

func TestSlowClockOfALeaderShortensNoClaim(t *testing.T) {
	state := ledger()
	ask(state, keep, "early", "d", "one")
	ask(state, 0, "k", "d", "one")
	if got := ask(state, keep+time.Minute, "k", "d", "two").Verdict; got != crwire.VerdictHeld {
		t.Errorf("a minute after the claim: %s, want held", got)
	}
}
