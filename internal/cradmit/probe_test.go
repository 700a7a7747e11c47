package cradmit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// TestProbeDue checks when a request tests a failing backend server although other
// agents have room: a repeatable one as soon as the limit allows a probe, another one
// 2 s later, and none while a probe is in progress or after it has succeeded.
func TestProbeDue(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 4, Max: 8}))
	due := func() [2]bool {
		return [2]bool{h.admission.ProbeDue(true, h.now), h.admission.ProbeDue(false, h.now)}
	}
	offer := func() *cradmit.Request {
		r := &cradmit.Request{Class: "balance", Deadline: h.now.Add(time.Minute)}
		h.state[r] = "waiting"
		h.admission.Offer(r, h.now)
		return r
	}
	got := [][2]bool{due()}
	h.admission.Finish(offer(), cradmit.ResultUnreachable, h.now)
	got = append(got, due())
	h.now = h.now.Add(100 * time.Millisecond)
	got = append(got, due())
	h.now = h.now.Add(2 * time.Second)
	got = append(got, due())
	probe := offer()
	got = append(got, due())
	h.admission.Finish(probe, cradmit.ResultDone, h.now)
	got = append(got, due())
	want := [][2]bool{{false, false}, {false, false}, {true, false}, {true, true}, {false, false}, {false, false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("due for repeatable and other requests (-want +got):\n%s", diff)
	}
}
