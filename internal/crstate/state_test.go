package crstate_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
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

// addrPorts compares addresses.
var addrPorts = cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })

// drawEntry draws an entry. It uses only a few names, so that entries refer to
// the same services, keys and agents.
func drawEntry(t *rapid.T, now time.Time) crstate.Entry {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	kind := rapid.SampledFrom(crwire.KindValues()).Draw(t, "kind")
	e := crstate.Entry{Kind: kind, Time: now, FlowLifetime: time.Minute}
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

// drawChange draws a change by an operator.
func drawChange(t *rapid.T, kind crwire.Kind, name *rapid.Generator[string]) *crwire.Change {
	c := &crwire.Change{
		ID:     fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")),
		Author: name.Draw(t, "author"), Kind: kind, Zone: name.Draw(t, "zone"),
	}
	if rapid.Bool().Draw(t, "based") {
		base := uint64(rapid.IntRange(0, 5).Draw(t, "base"))
		c.Base = &base
	}
	if kind == crwire.KindCatalog {
		c.Catalog = drawCatalog(t, name)
	}
	if kind == crwire.KindApply {
		c.Service = &crdoc.Service{
			Name: name.Draw(t, "service"), Version: uint64(rapid.IntRange(0, 3).Draw(t, "version")),
			Address: name.Draw(t, "address"), OutcomeRetention: crdoc.Duration(time.Minute),
		}
	}
	return c
}

// drawCatalog draws a catalog of up to two routes to a few services.
func drawCatalog(t *rapid.T, service *rapid.Generator[string]) *crdoc.Catalog {
	c := &crdoc.Catalog{Version: uint64(rapid.IntRange(1, 40).Draw(t, "catalog"))}
	for port := range uint16(2) {
		if !rapid.Bool().Draw(t, "route") {
			continue
		}
		c.Routes = append(c.Routes, crdoc.Route{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), 1+port), Shares: []crdoc.Share{
			{Service: service.Draw(t, "service"), Weight: 1}, {Service: service.Draw(t, "other"), Weight: float64(rapid.IntRange(0, 1).Draw(t, "weight"))},
		}})
	}
	return c
}

// drawEntries draws a sequence of entries whose clock may go back.
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

func TestSameEntriesGiveTheSameStateAcrossASnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		original, replica := crstate.New(), crstate.New()
		restoreAt := rapid.IntRange(0, len(entries)-1).Draw(t, "restoreAt")
		for i, e := range entries {
			if i == restoreAt {
				restored, err := crstate.Restore(replica.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				replica = restored
			}
			if diff := cmp.Diff(original.Apply(e), replica.Apply(roundTrip(t, e)), addrPorts); diff != "" {
				t.Fatalf("replies to entry %d (-original +replica):\n%s", i, diff)
			}
		}
		if diff := cmp.Diff(string(original.Snapshot()), string(replica.Snapshot())); diff != "" {
			t.Fatalf("states (-original +replica):\n%s", diff)
		}
	})
}

// roundTrip encodes and decodes an entry, as the log does.
func roundTrip(t *rapid.T, e crstate.Entry) crstate.Entry {
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

func TestAgentNumberIsNeverReassigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := crstate.New()
		owner := map[uint32]string{}
		for _, e := range drawEntries(t) {
			state.Apply(e)
			for num, m := range state.View().Members {
				if name, ok := owner[num]; ok && name != m.Name {
					t.Fatalf("number %d was reassigned from %s to %s", num, name, m.Name)
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
