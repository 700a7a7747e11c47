package crstate_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// TestZoneOrderForAnEarlierVersionIsRefused guards against an order about a zone that is
// carried out after a later one: in whatever order they are committed, one that was made
// before another was acknowledged changes nothing after it, also across a snapshot.
func TestZoneOrderForAnEarlierVersionIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := crstate.New()
		// delayed are orders that were sent and haven't arrived, with the number of
		// orders that were acknowledged when they were sent.
		type delayed struct {
			change *crwire.Change
			acked  int
		}
		var waiting []delayed
		acked, out := 0, false
		for i, n := 0, rapid.IntRange(1, 60).Draw(t, "orders"); i < n; i++ {
			base := state.ZoneVersion("za")
			c := &crwire.Change{ID: fmt.Sprint(i), Kind: crwire.KindZoneIn, Zone: "za", Base: &base}
			if rapid.Bool().Draw(t, "out") {
				c.Kind = crwire.KindZoneOut
			}
			waiting = append(waiting, delayed{c, acked})
			if rapid.Bool().Draw(t, "delayed") {
				continue
			}
			j := rapid.IntRange(0, len(waiting)-1).Draw(t, "arrives")
			d := waiting[j]
			waiting = slices.Delete(waiting, j, j+1)
			if rapid.Bool().Draw(t, "restart") {
				restored, err := crstate.Restore(state.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				state = restored
			}
			reply := state.Apply(crstate.Entry{Kind: d.change.Kind, Time: start, Change: d.change})
			want := crwire.CodeConflict
			if d.acked == acked {
				want, out = crwire.CodeOK, d.change.Kind == crwire.KindZoneOut
				acked++
			}
			if reply.Result.Code != want || reply.Result.Version != uint64(acked) || slices.Contains(state.View().ZonesOut, "za") != out {
				t.Fatalf("order %s: %+v, zones out %v, want %s, version %d, out %t", d.change.ID, reply.Result, state.View().ZonesOut, want, acked, out)
			}
		}
	})
}

// TestZoneVersionIsAudited checks that the audit trail shows a refused order with the
// version that it was refused at.
func TestZoneVersionIsAudited(t *testing.T) {
	state := crstate.New()
	base := uint64(0)
	for _, id := range []string{"one", "two"} {
		state.Apply(crstate.Entry{Kind: crwire.KindZoneOut, Time: start, Change: &crwire.Change{ID: id, Kind: crwire.KindZoneOut, Zone: "za", Base: &base}})
	}
	var got []string
	for _, line := range state.Audit(0, 10, "za") {
		got = append(got, fmt.Sprint(line.ID, " ", line.From, "-", line.To, " ", line.Code, " ", line.Text))
	}
	want := []string{"one 0-1 ok ", "two 1-1 conflict the zone is at version 1; the order was made for version 0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("audit trail (-want +got):\n%s", diff)
	}
}
