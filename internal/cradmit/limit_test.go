package cradmit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// serve answers everything under way with a latency, for a time, and keeps
// the admission pressed when asked to.
func (h *harness) serve(d, latency time.Duration, pressed bool) {
	for end := h.now.Add(d); h.now.Before(end); {
		for n := h.admission.Queued(); pressed && n < 200; n++ {
			h.offer("balance", time.Hour)
		}
		h.now = h.now.Add(latency)
		for n := len(h.running); n > 0; n-- {
			h.finish(0, cradmit.ResultDone)
		}
	}
}

func TestLimitGrowsOnlyInUse(t *testing.T) {
	idle := newHarness(document(crdoc.Limit{Start: 4, Max: 100}))
	for range 200 {
		idle.offer("balance", time.Hour)
		idle.serve(20*time.Millisecond, 20*time.Millisecond, false)
	}
	pressed := newHarness(document(crdoc.Limit{Start: 4, Max: 100}))
	pressed.serve(30*time.Second, 20*time.Millisecond, true)
	got := []int{idle.admission.Limit(idle.now), pressed.admission.Limit(pressed.now)}
	if diff := cmp.Diff([]int{4, 100}, got); diff != "" {
		t.Errorf("limits, idle and pressed (-want +got):\n%s", diff)
	}
}

func TestLimitFallsBackWhenAWarmServerTurnsCold(t *testing.T) {
	faults := map[string]func(h *harness){
		"sheds": func(h *harness) { h.fail(3, cradmit.ResultShed) },
		"timeouts": func(h *harness) {
			h.now = h.now.Add(time.Second)
			h.fail(3, cradmit.ResultTimeout)
		},
		"unreachable": func(h *harness) { h.fail(1, cradmit.ResultUnreachable) },
		"latency": func(h *harness) {
			for n := 0; n < 20 && h.admission.Limit(h.now) > 4; n++ {
				h.serve(200*time.Millisecond, 200*time.Millisecond, true)
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			h := newHarness(document(crdoc.Limit{Start: 4, Max: 100}))
			h.serve(30*time.Second, 20*time.Millisecond, true)
			fault(h)
			for len(h.running) > 0 {
				h.finish(0, cradmit.ResultCancelled)
			}
			h.now = h.now.Add(4 * time.Second)
			probing := h.admission.Limit(h.now)
			h.offer("balance", time.Hour)
			h.serve(time.Millisecond, 20*time.Millisecond, false)
			got := []int{probing, h.admission.Limit(h.now)}
			if diff := cmp.Diff([]int{1, 4}, got); diff != "" {
				t.Errorf("limit while probing and after (-want +got):\n%s", diff)
			}
		})
	}
}

// fail brings requests under way back with a failure.
func (h *harness) fail(n int, result cradmit.Result) {
	for range n {
		h.finish(0, result)
	}
}

func TestErrorsOfOneCallerDontCollapseTheLimit(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 4, Max: 100}))
	h.serve(10*time.Second, 20*time.Millisecond, true)
	before := h.admission.Limit(h.now)
	h.fail(5, cradmit.ResultError)
	few := h.admission.Limit(h.now)
	h.fail(5, cradmit.ResultError)
	h.now = h.now.Add(time.Second)
	if got := []int{few, h.admission.Limit(h.now)}; !cmp.Equal([]int{before, 1}, got) {
		t.Errorf("limits after 5 and 10 errors in a row are %v, want %d and a probe", got, before)
	}
}

func TestServerThatBearsLessThanItsStartIsLearnt(t *testing.T) {
	s := newSim()
	v := newServer(s, 2)
	v.bears = 1
	g := newAdmitted(s, v, document(crdoc.Limit{Start: 8, Max: 8}))
	s.arrivals(0, time.Minute, 500, func() {
		g.offer(&call{
			class: "balance", size: serviceTime, deadline: s.now.Add(deadline), ended: func(cradmit.Result, bool) {},
		})
	})
	s.runUntil(time.Minute)
	late := 0
	for second, n := range v.over {
		if second >= 10 {
			late += n
		}
	}
	if late > 3 {
		t.Errorf("%d requests beyond the bearing after the first 10 s, of %d falls", late, v.falls)
	}
}

func TestShedLimitIsNotTriedAgainSoon(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 4, Max: 100}))
	h.serve(4*time.Second, 20*time.Millisecond, true)
	shed := h.admission.Limit(h.now)
	h.fail(1, cradmit.ResultShed)
	after := h.admission.Limit(h.now)
	h.serve(5*time.Second, 20*time.Millisecond, true)
	held := h.admission.Limit(h.now)
	if after >= shed || held >= shed {
		t.Errorf("limit %d shed, then %d, and %d before the hold ended", shed, after, held)
	}
	h.serve(10*time.Second, 20*time.Millisecond, true)
	if got := h.admission.Limit(h.now); got <= shed {
		t.Errorf("limit %d long after %d shed, want growth", got, shed)
	}
}

func TestStalledServerTakesNothingNew(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 4, Max: 4}))
	h.serve(time.Second, 20*time.Millisecond, true)
	h.now = h.now.Add(2 * time.Second)
	if got := h.state[h.offer("clocking", time.Hour)]; got != "refused" {
		t.Errorf("request at a stalled server is %s, want refused", got)
	}
	h.fail(1, cradmit.ResultDone)
	if got := h.state[h.offer("clocking", time.Hour)]; got == "refused" {
		t.Error("request after an answer is refused")
	}
}

func TestEjectedAgentComesBackSlowly(t *testing.T) {
	var e cradmit.Ejection
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	for range 3 {
		e.RecordFailure(at(0))
	}
	var got []float64
	for _, s := range []time.Duration{0, 1, 6, 11} {
		got = append(got, e.TrafficShare(at(s*time.Second)))
	}
	if diff := cmp.Diff([]float64{0, 0.1, 0.55, 1}, got); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
}
