package cregress_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// policy is how a replayed balancer treats uploads.
type policy int

const (
	sendAtOnce policy = iota
	queueOnly
	queueAndTurns
	pacedAcks
)

func (p policy) String() string {
	return [...]string{"at once", "queue", "queue and turns", "paced acks"}[p]
}

// load is what reaches one link: the mean share of its rate that uploads ask for, which
// swings by 0.55 and is 1.7 times higher in a burst of three seconds at the crest.
type load struct {
	mbps, share float64
	policy      policy
	seed        uint64
}

// result is what callers saw.
type result struct {
	asked, inTime, late, lost, refused, again, urgentLost int
	maxWait                                               time.Duration
	// excess is how many uploads no link of this rate could carry in time.
	excess float64
}

func (r result) String() string {
	share := func(n int) float64 { return float64(n) / float64(r.asked) }
	return fmt.Sprintf("asked %5d  in time %.3f  late %.3f  lost %.3f  refused %4d  sent again %6d  urgent lost %5d",
		r.asked, share(r.inTime), share(r.late), share(r.lost), r.refused, r.again, r.urgentLost)
}

// playSeeds sums the results of a load with several seeds.
func playSeeds(l load, seeds uint64) result {
	var sum result
	for l.seed = range seeds {
		sum.add(play(l))
	}
	return sum
}

// TestReplayOfCrests plays uploads at links of three rates whose crests and bursts come
// near to what they carry. With the queue and turns, callers are served in time, no
// urgent frame is lost, and no upload is. The other policies are for comparison.
func TestReplayOfCrests(t *testing.T) {
	for _, l := range []load{
		{mbps: 1.5, share: 0.18},
		{mbps: 1.5, share: 0.36},
		{mbps: 4.4, share: 0.18},
		{mbps: 4.4, share: 0.36},
		{mbps: 100, share: 0.18},
		{mbps: 100, share: 0.36},
	} {
		for l.policy = range pacedAcks + 1 {
			got := playSeeds(l, uint64(max(1, 10/l.mbps)))
			t.Logf("%5g Mbps, %g used, %-15s: %s", l.mbps, l.share, l.policy, got)
			if l.policy != queueAndTurns {
				continue
			}
			if inTime := float64(got.inTime) / float64(got.asked); inTime < 0.85 {
				t.Errorf("in time %.3f, want 0.85", inTime)
			}
			if diff := cmp.Diff([]int{0, 0, 0}, []int{got.lost, got.refused, got.urgentLost}); diff != "" {
				t.Errorf("lost, refused, urgent frames lost (-want +got):\n%s", diff)
			}
		}
	}
}

// TestReplayOfOverload plays uploads beyond what the link carries for longer than callers
// wait. No urgent frame is lost, and fewer uploads than with the other policies.
func TestReplayOfOverload(t *testing.T) {
	got := map[policy]result{}
	for p := range pacedAcks + 1 {
		got[p] = playSeeds(load{mbps: 4.4, share: 0.95, policy: p}, 3)
		t.Logf("%-15s: %s", p, got[p])
	}
	best := got[queueAndTurns]
	for p, r := range got {
		if p != queueAndTurns && r.lost <= best.lost {
			t.Errorf("%s lost %d, with turns %d were", p, r.lost, best.lost)
		}
	}
	if best.urgentLost > 0 {
		t.Errorf("%d urgent frames lost", best.urgentLost)
	}
}

// TestOverloadLosesOnlyExcess checks that no more uploads are lost than a link that knows
// them all couldn't carry.
func TestOverloadLosesOnlyExcess(t *testing.T) {
	got := playSeeds(load{mbps: 4.4, share: 0.95, policy: queueAndTurns}, 20)
	t.Log(got)
	if float64(got.lost) > got.excess {
		t.Errorf("%d uploads lost, %.0f can't be carried", got.lost, got.excess)
	}
}

// add sums two results.
func (r *result) add(o result) {
	r.asked, r.inTime, r.late, r.lost = r.asked+o.asked, r.inTime+o.inTime, r.late+o.late, r.lost+o.lost
	r.excess += o.excess
	r.refused, r.again, r.urgentLost, r.maxWait = r.refused+o.refused, r.again+o.again, r.urgentLost+o.urgentLost, max(r.maxWait, o.maxWait)
}
