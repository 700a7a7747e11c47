package crstate_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// start is the time of the first entry.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drawEntry draws an entry from few names, so that entries meet.
func drawEntry(t *rapid.T, now time.Time) crstate.Entry {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	kind := rapid.SampledFrom(crwire.KindValues()).Draw(t, "kind")
	e := crstate.Entry{Kind: kind, Time: now}
	switch kind {
	case crwire.KindMembers:
		e.Members = []crwire.Member{{
			Name: name.Draw(t, "agent"), RunAddr: name.Draw(t, "run"),
			State: rapid.SampledFrom(crwire.MemberStateValues()).Draw(t, "state"),
		}}
	case crwire.KindClaims:
		for range rapid.IntRange(1, 3).Draw(t, "claims") {
			e.Claims = append(e.Claims, crwire.Claim{
				Service: name.Draw(t, "service"), Key: name.Draw(t, "key"),
				Digest: name.Draw(t, "digest"), Attempt: name.Draw(t, "attempt"),
			})
		}
	case crwire.KindOutcomes:
		e.Settles = []crwire.Settle{{
			Service: name.Draw(t, "service"), Key: name.Draw(t, "key"), Attempt: name.Draw(t, "attempt"),
			Record: crwire.Record{Outcome: rapid.SampledFrom(crwire.OutcomeValues()).Draw(t, "outcome")},
		}}
	default:
		e.Change = drawChange(t, kind, name)
	}
	return e
}

// drawChange draws an operator's change.
func drawChange(t *rapid.T, kind crwire.Kind, name *rapid.Generator[string]) *crwire.Change {
	c := &crwire.Change{
		ID:     fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")),
		Author: name.Draw(t, "author"), Kind: kind, Zone: name.Draw(t, "zone"),
	}
	if kind == crwire.KindApply {
		c.Service = &crdoc.Service{
			Name: name.Draw(t, "service"), Version: uint64(rapid.IntRange(0, 3).Draw(t, "version")),
			Address: name.Draw(t, "address"), Keep: crdoc.Duration(time.Minute),
		}
	}
	return c
}

// drawEntries draws a log whose clock may jump back.
func drawEntries(t *rapid.T) []crstate.Entry {
	n := rapid.IntRange(1, 60).Draw(t, "entries")
	entries := make([]crstate.Entry, n)
	now := start
	for i := range entries {
		now = now.Add(time.Duration(rapid.IntRange(-30, 90).Draw(t, "step")) * time.Second)
		entries[i] = drawEntry(t, now)
	}
	return entries
}

func TestEntriesGiveOneStateAlsoAcrossASnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		one, two := crstate.New(), crstate.New()
		cut := rapid.IntRange(0, len(entries)-1).Draw(t, "cut")
		for i, e := range entries {
			if i == cut {
				restored, err := crstate.Restore(two.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				two = restored
			}
			if diff := cmp.Diff(one.Apply(e), two.Apply(throughLog(t, e))); diff != "" {
				t.Fatalf("replies of entry %d (-one +two):\n%s", i, diff)
			}
		}
		if diff := cmp.Diff(string(one.Snapshot()), string(two.Snapshot())); diff != "" {
			t.Fatalf("states (-one +two):\n%s", diff)
		}
	})
}

// throughLog returns an entry as a replica reads it.
func throughLog(t *rapid.T, e crstate.Entry) crstate.Entry {
	data, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	var out crstate.Entry
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestNumberNeverChangesHands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := crstate.New()
		owner := map[uint32]string{}
		for _, e := range drawEntries(t) {
			state.Apply(e)
			for num, m := range state.View().Members {
				if was, ok := owner[num]; ok && was != m.Name {
					t.Fatalf("number %d went from %s to %s", num, was, m.Name)
				}
				owner[num] = m.Name
			}
		}
	})
}

func TestRevisionAndVersionsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := crstate.New()
		for _, e := range drawEntries(t) {
			before := state.View()
			reply := state.Apply(e)
			after := state.View()
			if (reply.Delta != nil) != (after.Revision > before.Revision) {
				t.Fatalf("revision %d to %d with delta %+v", before.Revision, after.Revision, reply.Delta)
			}
			for name, doc := range before.Services {
				if after.Services[name].Version < doc.Version {
					t.Fatalf("%s went from version %d to %d", name, doc.Version, after.Services[name].Version)
				}
			}
		}
	})
}
