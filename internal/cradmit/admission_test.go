package cradmit_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// epoch is when virtual time begins.
var epoch = time.Unix(0, 0)

// document returns a policy with two priority and three routine classes.
func document(limit crdoc.Limit) *crdoc.Service {
	return &crdoc.Service{Limit: limit, Classes: []crdoc.Class{
		{Name: "clocking", Priority: true},
		{Name: "result", Priority: true, Repeat: true},
		{Name: "balance", Repeat: true, Weight: 3},
		{Name: "statement", Repeat: true, Weight: 1},
		{Name: "deposit", Weight: 1},
	}}
}

var routine = map[string]bool{"balance": true, "statement": true, "deposit": true}

// harness drives an admission and keeps its own account of every request.
type harness struct {
	admission *cradmit.Admission
	now       time.Time
	running   []*cradmit.Request
	cancelled map[*cradmit.Request]bool
	state     map[*cradmit.Request]string
	started   map[string]int
	// over counts starts beyond the limit in force.
	over int
	// doubled counts requests that ended or started twice.
	doubled int
}

func newHarness(doc *crdoc.Service) *harness {
	h := &harness{
		now: epoch, cancelled: map[*cradmit.Request]bool{},
		state: map[*cradmit.Request]string{}, started: map[string]int{},
	}
	h.admission = &cradmit.Admission{Start: h.start, Refuse: h.refuse, Preempt: h.preempt}
	h.admission.Configure(doc, h.now)
	return h
}

func (h *harness) start(r *cradmit.Request) {
	h.move(r, "waiting", "running")
	h.running = append(h.running, r)
	h.started[r.Class]++
	if len(h.running) > h.admission.Limit(h.now) {
		h.over++
	}
}

func (h *harness) refuse(r *cradmit.Request, _ cradmit.Reason) { h.move(r, "waiting", "refused") }

func (h *harness) preempt(r *cradmit.Request) {
	if h.state[r] != "running" || h.cancelled[r] {
		h.doubled++
	}
	h.cancelled[r] = true
}

func (h *harness) move(r *cradmit.Request, from, to string) {
	if h.state[r] != from {
		h.doubled++
	}
	h.state[r] = to
}

func (h *harness) offer(class string, deadline time.Duration) *cradmit.Request {
	r := &cradmit.Request{Class: class, Deadline: h.now.Add(deadline)}
	h.state[r] = "waiting"
	h.admission.Offer(r, h.now)
	return r
}

func (h *harness) finish(i int, result cradmit.Result) {
	r := h.running[i]
	h.running = append(h.running[:i:i], h.running[i+1:]...)
	h.move(r, "running", "ended")
	delete(h.state, r)
	if h.cancelled[r] {
		result = cradmit.ResultCancelled
	}
	h.admission.Finish(r, result, h.now)
}

// waiting counts the requests that wait, by priority or routine.
func (h *harness) waiting(isRoutine bool) int {
	n := 0
	for r, state := range h.state {
		if state == "waiting" && routine[r.Class] == isRoutine {
			n++
		}
	}
	return n
}

// count counts the requests of a class in a state.
func (h *harness) count(class, state string) int {
	n := 0
	for r, s := range h.state {
		if s == state && r.Class == class {
			n++
		}
	}
	return n
}

// preemptable counts the routine requests under way that may be cancelled.
func (h *harness) preemptable() int {
	n := 0
	for _, r := range h.running {
		if routine[r.Class] && r.Class != "deposit" && !h.cancelled[r] {
			n++
		}
	}
	return n
}

func TestInvariantsHoldOverAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.IntRange(1, 6).Draw(t, "start")
		h := newHarness(document(crdoc.Limit{
			Start: start, Max: start + rapid.IntRange(0, 20).Draw(t, "more"),
			Headroom: rapid.Float64Range(0, 0.9).Draw(t, "headroom"),
		}))
		classes := []string{"clocking", "result", "balance", "statement", "deposit"}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				deadline := time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond
				h.offer(rapid.SampledFrom(classes).Draw(t, "class"), deadline)
			},
			"finish": func(t *rapid.T) {
				if len(h.running) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(h.running)-1).Draw(t, "which")
				results := []cradmit.Result{
					cradmit.ResultDone, cradmit.ResultDone, cradmit.ResultDone, cradmit.ResultDone,
					cradmit.ResultShed, cradmit.ResultTimeout, cradmit.ResultUnreachable, cradmit.ResultBroken,
				}
				h.finish(i, rapid.SampledFrom(results).Draw(t, "result"))
			},
			"pass": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "time")) * time.Millisecond)
				h.admission.Tick(h.now)
			},
			"": func(t *rapid.T) {
				h.check(t)
			},
		})
		h.drain()
		if n := h.waiting(true) + h.waiting(false); n > 0 {
			t.Fatalf("%d requests neither started nor refused", n)
		}
	})
}

// check looks at what must hold after each step.
func (h *harness) check(t *rapid.T) {
	if h.over > 0 {
		t.Fatalf("%d starts beyond the limit", h.over)
	}
	if h.doubled > 0 {
		t.Fatalf("%d requests started, ended or were cancelled twice", h.doubled)
	}
	if got, want := h.admission.Queued(), h.waiting(true)+h.waiting(false); got != want {
		t.Fatalf("%d wait at the admission, %d by our account", got, want)
	}
	// One routine request may be kept by the floor.
	if cancelled := len(h.running) - h.notCancelled(); h.waiting(false) > cancelled && h.preemptable() > 1 {
		t.Fatalf("%d priority requests wait for %d cancelled, and %d more could be", h.waiting(false), cancelled, h.preemptable())
	}
	if h.waiting(false) > 0 && h.notCancelled() < h.admission.Limit(h.now)-(len(h.running)-h.notCancelled()) {
		t.Fatalf("priority waits beside a free place")
	}
}

func (h *harness) notCancelled() int {
	n := 0
	for _, r := range h.running {
		if !h.cancelled[r] {
			n++
		}
	}
	return n
}

// drain answers everything until nothing is left or a long time has passed.
func (h *harness) drain() {
	for range 2000 {
		h.now = h.now.Add(10 * time.Millisecond)
		for len(h.running) > 0 {
			h.finish(0, cradmit.ResultDone)
		}
		h.admission.Tick(h.now)
	}
}

func TestRoutineClassesGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(document(crdoc.Limit{Start: 8, Max: 8}))
		slow := rapid.IntRange(1, 20).Draw(t, "slow")
		const steps = 4000
		slots := map[string]float64{}
		ends := map[*cradmit.Request]time.Time{}
		for range steps {
			for _, class := range []string{"statement", "balance"} {
				for n := h.count(class, "waiting"); n < 30; n++ {
					h.offer(class, time.Hour)
				}
			}
			for _, r := range h.running {
				slots[r.Class]++
				if _, known := ends[r]; !known {
					ends[r] = h.now.Add(time.Millisecond)
					if r.Class == "statement" {
						ends[r] = h.now.Add(time.Duration(slow) * time.Millisecond)
					}
				}
			}
			h.now = h.now.Add(time.Millisecond)
			for i := len(h.running) - 1; i >= 0; i-- {
				if !h.now.Before(ends[h.running[i]]) {
					h.finish(i, cradmit.ResultDone)
				}
			}
		}
		if got := slots["balance"] / slots["statement"]; math.Abs(got-3) > 0.3 {
			t.Fatalf("slot time of weight 3 to weight 1 is %.2f", got)
		}
	})
}

func TestPriorityLeavesAFloorToRoutine(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 2, Max: 2, Headroom: 0.5}))
	for range 1000 {
		for n := h.waiting(false); n < 4; n++ {
			h.offer("clocking", time.Hour)
		}
		for n := h.waiting(true); n < 4; n++ {
			h.offer("balance", time.Hour)
		}
		h.now = h.now.Add(time.Millisecond)
		h.finish(0, cradmit.ResultDone)
	}
	if h.started["balance"] < 20 || h.started["balance"] > 100 {
		t.Errorf("%d routine requests of 1000 ran, want a floor between 2 and 10 in 100", h.started["balance"])
	}
}

func TestRoutineUsesTheRestWithoutPriority(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 10, Max: 10, Headroom: 0.2}))
	for range 20 {
		h.offer("deposit", time.Hour)
	}
	got := []int{h.admission.Running(), h.admission.Queued()}
	h.offer("clocking", time.Hour)
	h.offer("clocking", time.Hour)
	got = append(got, h.admission.Running(), h.admission.Queued())
	if diff := cmp.Diff([]int{8, 12, 10, 12}, got); diff != "" {
		t.Errorf("running and waiting before and after priority (-want +got):\n%s", diff)
	}
}

func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 1, Max: 1}))
	h.offer("deposit", time.Hour)
	h.now = h.now.Add(100 * time.Millisecond)
	h.finish(0, cradmit.ResultDone)
	h.offer("deposit", time.Hour)
	got := map[string]string{
		"shorter than the service": h.state[h.offer("deposit", 50*time.Millisecond)],
		"no time to wait":          h.state[h.offer("deposit", 150*time.Millisecond)],
		"time to wait":             h.state[h.offer("deposit", time.Second)],
	}
	want := map[string]string{
		"shorter than the service": "refused", "no time to wait": "refused", "time to wait": "waiting",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b cradmit.RetryBudget
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { b.RecordRequest(); requests++ },
			"retry": func(t *rapid.T) {
				if b.TakeRetry(rapid.Bool().Draw(t, "priority")) {
					retries++
				}
			},
			"": func(t *rapid.T) {
				if retries*10 > requests {
					t.Fatalf("%d retries of %d requests", retries, requests)
				}
			},
		})
	})
}
