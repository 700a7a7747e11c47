package crfeed_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// memberDelta returns the delta to revision rev that sets a single agent.
func memberDelta(rev uint64, num uint32, host string) *crwire.Delta {
	return &crwire.Delta{From: rev - 1, To: rev, Members: []crwire.Member{{Num: num, Host: host}}}
}

// newFilledSource returns a source at revision n, after n changes to ten agents in
// turn.
func newFilledSource(tb testing.TB, n int) *crfeed.Source {
	tb.Helper()
	s := crfeed.NewSource(crfeed.EmptyView())
	for rev := 1; rev <= n; rev++ {
		if err := s.Add(memberDelta(uint64(rev), uint32(rev%10), fmt.Sprint(rev))); err != nil {
			tb.Fatal(err)
		}
	}
	return s
}

// drawDelta draws the delta that follows the revision from.
func drawDelta(t *rapid.T, from uint64) crwire.Delta {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	d := crwire.Delta{From: from, To: from + 1}
	if rapid.Bool().Draw(t, "service") {
		d.Services = []*crdoc.Service{{Name: name.Draw(t, "name"), Version: from}}
	}
	if rapid.Bool().Draw(t, "zoned") {
		d.ZonesOutChanged, d.ZonesOut = true, []string{name.Draw(t, "zone")}
	}
	if rapid.Bool().Draw(t, "member") {
		d.Members = []crwire.Member{{
			Num: rapid.Uint32Range(1, 3).Draw(t, "num"), Host: name.Draw(t, "host"),
			State: rapid.SampledFrom(crwire.MemberStateValues()).Draw(t, "state"),
		}}
	}
	return d
}

func TestAnswerLeadsFromAnyRevisionToCurrentView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := crfeed.NewSource(crfeed.EmptyView())
		views := []*crwire.View{source.View()}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			d := drawDelta(t, source.View().Revision)
			if err := source.Add(&d); err != nil {
				t.Fatal(err)
			}
			views = append(views, source.View())
		}
		for rev, v := range views {
			got, err := crfeed.ApplyFeed(v, source.PollFeed(context.Background(), uint64(rev), 0))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(source.View(), got); diff != "" {
				t.Fatalf("from revision %d (-want +got):\n%s", rev, diff)
			}
		}
	})
}

func TestApplyFeedNeverLowersRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := crfeed.NewSource(crfeed.EmptyView())
		var answers []*crwire.Feed
		for rev := range uint64(10) {
			d := drawDelta(t, rev)
			if err := source.Add(&d); err != nil {
				t.Fatal(err)
			}
			after := rapid.Uint64Range(0, rev).Draw(t, "after")
			answers = append(answers, source.PollFeed(context.Background(), after, 0))
		}
		v := crfeed.EmptyView()
		for _, a := range rapid.Permutation(answers).Draw(t, "order") {
			// A delta that starts at another revision causes an error and leaves
			// the view unchanged.
			next, _ := crfeed.ApplyFeed(v, a)
			if next.Revision < v.Revision {
				t.Fatalf("revision %d after %d", next.Revision, v.Revision)
			}
			v = next
		}
	})
}

func TestChangesAreMergedIntoOneDelta(t *testing.T) {
	source := newFilledSource(t, 400)
	feed := source.PollFeed(context.Background(), 100, 0)
	if len(feed.Deltas) != 1 || len(feed.Deltas[0].Members) != 10 || feed.Deltas[0].To != 400 {
		t.Errorf("300 changes to 10 agents were not merged into one delta of 10 agents to revision 400: %+v", feed)
	}
	if feed := newFilledSource(t, 5000).PollFeed(context.Background(), 100, 0); feed.Snapshot == nil {
		t.Error("no snapshot for a follower whose revision precedes the history")
	}
}

func TestFollowersShareOneAnswer(t *testing.T) {
	source := newFilledSource(t, 50)
	first, second := source.Poll(context.Background(), 49, 0), source.Poll(context.Background(), 49, 0)
	firstBody, _ := first.Body()
	secondBody, _ := second.Body()
	if first != second || &firstBody[0] != &secondBody[0] {
		t.Error("followers at the same revision got separate answers")
	}
}
