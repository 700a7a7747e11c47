package crfeed_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crwire"
)

// groupAt returns the addresses of the control instances in the configuration with an index.
func groupAt(index uint64) []string {
	return []string{fmt.Sprint("host-", index), fmt.Sprint("host-", index+1), fmt.Sprint("host-", index+2)}
}

// TestDirectoryMovesOnlyForward guards against daemons that a stale instance leads back to
// instances that are gone: answers come in any order, some of earlier releases. The latest
// accepted list that a daemon has heard stays the first that it tries, and all that it keeps
// is bounded.
func TestDirectoryMovesOnlyForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d crfeed.Directory
		seeds, latest := []string{"seed"}, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			index := rapid.Uint64Range(0, 9).Draw(t, "index")
			addrs := groupAt(index)
			if index == 0 && latest == 0 {
				// What an earlier release lists before anything is accepted isn't checked.
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "large") == 0 {
				addrs = nil
				for i := range 1000 {
					addrs = append(addrs, fmt.Sprint("large-", i))
				}
				index = 0
			}
			d.Learn(addrs, index, rapid.Bool().Draw(t, "stale"))
			latest = max(latest, index)
			got := d.Addrs(seeds)
			if latest > 0 && (d.Index() != latest || !slices.Equal(got[:3], groupAt(latest))) {
				t.Fatalf("tries %v of index %d, want those of %d first", got, d.Index(), latest)
			}
			if len(got) > 100 || !slices.Contains(got, "seed") {
				t.Fatalf("tries %d addresses, want at most 100 with the seed among them", len(got))
			}
		}
	})
}

// TestDirectoryOfEarlierReleases checks that lists without an index are followed as long as
// there is no other: the latest one of an instance with a quorum.
func TestDirectoryOfEarlierReleases(t *testing.T) {
	var d crfeed.Directory
	var got [][]string
	for _, answer := range []struct {
		addr  string
		index uint64
		stale bool
	}{{"a", 0, true}, {"b", 0, false}, {"c", 0, true}, {"d", 0, false}, {"e", 3, false}, {"f", 0, false}} {
		d.Learn([]string{answer.addr}, answer.index, answer.stale)
		got = append(got, d.Addrs([]string{"seed", "a"}))
	}
	want := [][]string{
		{"a", "seed"}, {"b", "seed", "a"}, {"b", "c", "seed", "a"}, {"d", "seed", "a"}, {"e", "seed", "a"}, {"e", "f", "seed", "a"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("addresses (-want +got):\n%s", diff)
	}
}

// TestFollowerKeepsListOfLaterConfiguration guards against a daemon that stays with a stale
// instance for good: the instance that it polls stops, and the stale one lists former
// instances only. The daemon returns as soon as the other runs again.
func TestFollowerKeepsListOfLaterConfiguration(t *testing.T) {
	later := startFeedServer(t, newFilledSource(t, 5), false)
	later.SetControlAddrs([]string{later.addr}, 20)
	stale := startFeedServer(t, newFilledSource(t, 4), true)
	stale.SetControlAddrs([]string{stale.addr, "127.0.0.1:1"}, 10)
	d := startFollower(t, nil, stale.addr, later.addr)
	d.waitForRevision(t, 5)
	d.SetSources([]string{stale.addr})
	later.stale.Store(true)
	for source := range d.failedSources {
		if source == stale.addr {
			break
		}
	}
	later.stale.Store(false)
	if err := later.Add(&crwire.Delta{From: 5, To: 6}); err != nil {
		t.Fatal(err)
	}
	d.waitForRevision(t, 6)
	if diff := cmp.Diff(later.addr, d.ControlAddrs()[0]); diff != "" {
		t.Errorf("first address to poll (-want +got):\n%s", diff)
	}
}
