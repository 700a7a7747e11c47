package cradmit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// serve answers all running requests with the given latency for the duration d.
// If saturate is set, it keeps requests queued, so that the limit is always used.
func (h *harness) serve(d, latency time.Duration, saturate bool) {
	for end := h.now.Add(d); h.now.Before(end); {
		for n := h.admission.Queued(); saturate && n < 200; n++ {
			h.offer("balance", time.Hour)
		}
		h.now = h.now.Add(latency)
		for n := len(h.running); n > 0; n-- {
			h.finish(0, cradmit.ResultDone)
		}
	}
}

func TestLimitGrowsOnlyWhenUsed(t *testing.T) {
	unused := newHarness(document(crdoc.Limit{Start: 4, Max: 100}))
	for range 200 {
		unused.offer("balance", time.Hour)
		unused.serve(20*time.Millisecond, 20*time.Millisecond, false)
	}
	saturated := newHarness(document(crdoc.Limit{Start: 4, Max: 100}))
	saturated.serve(30*time.Second, 20*time.Millisecond, true)
	got := []int{unused.admission.Limit(unused.now), saturated.admission.Limit(saturated.now)}
	if diff := cmp.Diff([]int{4, 100}, got); diff != "" {
		t.Errorf("limits, unused and saturated (-want +got):\n%s", diff)
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

// fail finishes the n oldest running requests with a failed result.
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
		t.Errorf("limits after 5 and 10 errors in a row are %v, want %d and 1 (probing)", got, before)
	}
}

func TestLimitAdaptsToServerWithLessCapacityThanStart(t *testing.T) {
	s := newSim()
	v := newServer(s, 2)
	v.overloadFactor = 1
	g := newAdmissionLimiter(s, v, document(crdoc.Limit{Start: 8, Max: 8}))
	s.arrivals(0, time.Minute, 500, func() {
		g.offer(&call{
			class: "balance", workTime: serviceTime, deadline: s.now.Add(deadline), onEnd: func(cradmit.Result, bool) {},
		})
	})
	s.runUntil(time.Minute)
	overloads := 0
	for second, n := range v.overloads {
		if second >= 10 {
			overloads += n
		}
	}
	if overloads > 3 {
		t.Errorf("%d overloads after the first 10 s, want at most 3; %d crashes in all", overloads, v.crashes)
	}
}

func TestLimitStaysBelowShedValueDuringHold(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 4, Max: 100}))
	h.serve(4*time.Second, 20*time.Millisecond, true)
	shed := h.admission.Limit(h.now)
	h.fail(1, cradmit.ResultShed)
	after := h.admission.Limit(h.now)
	h.serve(5*time.Second, 20*time.Millisecond, true)
	held := h.admission.Limit(h.now)
	if after >= shed || held >= shed {
		t.Errorf("limit was %d at the shed, %d after it, and %d during the hold; want less than at the shed", shed, after, held)
	}
	h.serve(10*time.Second, 20*time.Millisecond, true)
	if got := h.admission.Limit(h.now); got <= shed {
		t.Errorf("limit is %d after the hold, want above the shed limit %d", got, shed)
	}
}

func TestStalledServerGetsNoNewRequests(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 4, Max: 4}))
	h.serve(time.Second, 20*time.Millisecond, true)
	h.now = h.now.Add(2 * time.Second)
	if got := h.state[h.offer("clocking", time.Hour)]; got != "refused" {
		t.Errorf("request to a stalled server is %s, want refused", got)
	}
	h.fail(1, cradmit.ResultDone)
	if got := h.state[h.offer("clocking", time.Hour)]; got == "refused" {
		t.Error("request is refused after the stalled server answered")
	}
}

func TestEjectedAgentReturnsBySlowStart(t *testing.T) {
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
		t.Errorf("traffic shares (-want +got):\n%s", diff)
	}
}
