package crshare_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crshare"
)

// start is when the tests begin.
var start = time.Unix(1_700_000_000, 0)

// newUsage returns a usage with a window of a second.
func newUsage(maxHolders int) *crshare.Usage[string] {
	return &crshare.Usage[string]{Window: time.Second, MaxHolders: maxHolders}
}

// TestUsageSlides checks that work leaves the window evenly and is forgotten.
func TestUsageSlides(t *testing.T) {
	u := newUsage(10)
	u.Add(start, "a", 400*time.Millisecond)
	u.Add(start, "b", 0)
	var got []time.Duration
	var holders []float64
	for _, age := range []time.Duration{500, 1000, 1500, 2000} {
		now := start.Add(age * time.Millisecond)
		got, holders = append(got, u.Of(now, "a")), append(holders, u.Holders(now))
	}
	want := []time.Duration{400 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("work of a (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]float64{2, 2, 1, 0}, holders); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
}

// TestUsageIsBounded checks that ten thousand accounts take no more entries than
// allowed, that their work still counts, and that none of them is beyond its share.
func TestUsageIsBounded(t *testing.T) {
	u := &crshare.Usage[int]{Window: time.Second, MaxHolders: 100}
	for i := range 10_000 {
		u.Add(start.Add(time.Duration(i)*10*time.Microsecond), i, time.Millisecond)
	}
	now := start.Add(100 * time.Millisecond)
	if diff := cmp.Diff(float64(100), u.Holders(now)); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(10*time.Second, u.Total(now)); diff != "" {
		t.Errorf("total (-want +got):\n%s", diff)
	}
	for i := range 10_000 {
		if u.Of(now, i) > crshare.Limit(u.Total(now), u.Holders(now), time.Millisecond) {
			t.Fatalf("account %d is beyond its share", i)
		}
	}
}

// TestLimit checks that ten accounts with one request each, or two, are within
// their share, and one with ten times as many isn't.
func TestLimit(t *testing.T) {
	const request = 30 * time.Millisecond
	u := newUsage(100)
	for _, account := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		u.Add(start, account, request)
	}
	u.Add(start, "twice", 2*request)
	u.Add(start, "greedy", 10*request)
	got := map[string]bool{}
	for _, account := range []string{"a", "twice", "greedy"} {
		got[account] = u.Of(start, account) > crshare.Limit(u.Total(start), u.Holders(start), request)
	}
	if diff := cmp.Diff(map[string]bool{"a": false, "twice": false, "greedy": true}, got); diff != "" {
		t.Errorf("beyond their share (-want +got):\n%s", diff)
	}
}

// TestEstimateIsCorrected checks that a correction takes back no more than was
// added.
func TestEstimateIsCorrected(t *testing.T) {
	u := newUsage(10)
	u.Add(start, "a", 30*time.Millisecond)
	u.Add(start, "a", -40*time.Millisecond)
	u.Add(start, "b", 5*time.Millisecond)
	if diff := cmp.Diff(5*time.Millisecond, u.Total(start)); diff != "" {
		t.Errorf("total (-want +got):\n%s", diff)
	}
}
