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

// epoch is the start of the virtual time.
var epoch = time.Unix(0, 0)

// document returns a service document with two priority and three routine
// classes.
func document(limit crdoc.Limit) *crdoc.Service {
	return &crdoc.Service{Limit: limit, Classes: []crdoc.Class{
		{Name: "clocking", Priority: true},
		{Name: "result", Priority: true, Repeatable: true},
		{Name: "balance", Repeatable: true, Weight: 3},
		{Name: "statement", Repeatable: true, Weight: 1},
		{Name: "deposit", Weight: 1},
	}}
}

var routineClasses = map[string]bool{"balance": true, "statement": true, "deposit": true}

// harness drives an Admission and tracks the state of every request itself.
type harness struct {
	admission *cradmit.Admission
	now       time.Time
	running   []*cradmit.Request
	cancelled map[*cradmit.Request]bool
	state     map[*cradmit.Request]string
	started   map[string]int
	// startsOverLimit counts the starts above the current limit.
	startsOverLimit int
	// invalidTransitions counts the requests that started, ended or were
	// cancelled out of order or twice.
	invalidTransitions int
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
	h.transition(r, "waiting", "running")
	h.running = append(h.running, r)
	h.started[r.Class]++
	if len(h.running) > h.admission.Limit(h.now) {
		h.startsOverLimit++
	}
}

func (h *harness) refuse(r *cradmit.Request, _ cradmit.Reason) { h.transition(r, "waiting", "refused") }

func (h *harness) preempt(r *cradmit.Request) {
	if h.state[r] != "running" || h.cancelled[r] {
		h.invalidTransitions++
	}
	h.cancelled[r] = true
}

func (h *harness) transition(r *cradmit.Request, from, to string) {
	if h.state[r] != from {
		h.invalidTransitions++
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
	h.transition(r, "running", "ended")
	delete(h.state, r)
	if h.cancelled[r] {
		result = cradmit.ResultCancelled
	}
	h.admission.Finish(r, result, h.now)
}

// countWaiting returns the number of waiting routine or priority requests.
func (h *harness) countWaiting(isRoutine bool) int {
	n := 0
	for r, state := range h.state {
		if state == "waiting" && routineClasses[r.Class] == isRoutine {
			n++
		}
	}
	return n
}

// count returns the number of requests of a class in a state.
func (h *harness) count(class, state string) int {
	n := 0
	for r, s := range h.state {
		if s == state && r.Class == class {
			n++
		}
	}
	return n
}

// preemptable returns the number of running routine requests that may be
// cancelled.
func (h *harness) preemptable() int {
	n := 0
	for _, r := range h.running {
		if routineClasses[r.Class] && r.Class != "deposit" && !h.cancelled[r] {
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
			"advance": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "time")) * time.Millisecond)
				h.admission.Tick(h.now)
			},
			"": func(t *rapid.T) {
				h.check(t)
			},
		})
		h.answerAll()
		if n := h.countWaiting(true) + h.countWaiting(false); n > 0 {
			t.Fatalf("%d requests neither started nor refused", n)
		}
	})
}

// check verifies the invariants that must hold after each step.
func (h *harness) check(t *rapid.T) {
	if h.startsOverLimit > 0 {
		t.Fatalf("%d starts above the limit", h.startsOverLimit)
	}
	if h.invalidTransitions > 0 {
		t.Fatalf("%d requests started, ended or were cancelled out of order or twice", h.invalidTransitions)
	}
	if got, want := h.admission.Queued(), h.countWaiting(true)+h.countWaiting(false); got != want {
		t.Fatalf("admission reports %d waiting requests, want %d", got, want)
	}
	// The starvation guard may keep one routine request from being preempted.
	if cancelled := len(h.running) - h.notCancelled(); h.countWaiting(false) > cancelled && h.preemptable() > 1 {
		t.Fatalf("%d priority requests are waiting, %d requests are cancelled, and %d more are preemptable", h.countWaiting(false), cancelled, h.preemptable())
	}
	if h.countWaiting(false) > 0 && h.notCancelled() < h.admission.Limit(h.now)-(len(h.running)-h.notCancelled()) {
		t.Fatalf("a priority request is waiting although a slot is free")
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

// answerAll answers all running requests over 20 s, so that every queued request
// starts or is refused.
func (h *harness) answerAll() {
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
			t.Fatalf("ratio of slot time of weight 3 to weight 1 is %.2f, want 3", got)
		}
	})
}

func TestPriorityDoesNotStarveRoutine(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 2, Max: 2, Headroom: 0.5}))
	for range 1000 {
		for n := h.countWaiting(false); n < 4; n++ {
			h.offer("clocking", time.Hour)
		}
		for n := h.countWaiting(true); n < 4; n++ {
			h.offer("balance", time.Hour)
		}
		h.now = h.now.Add(time.Millisecond)
		h.finish(0, cradmit.ResultDone)
	}
	if h.started["balance"] < 20 || h.started["balance"] > 100 {
		t.Errorf("%d of 1000 started requests are routine, want 20 to 100", h.started["balance"])
	}
}

func TestRoutineStaysOutOfHeadroom(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 10, Max: 10, Headroom: 0.2}))
	for range 20 {
		h.offer("deposit", time.Hour)
	}
	got := []int{h.admission.Running(), h.admission.Queued()}
	h.offer("clocking", time.Hour)
	h.offer("clocking", time.Hour)
	got = append(got, h.admission.Running(), h.admission.Queued())
	if diff := cmp.Diff([]int{8, 12, 10, 12}, got); diff != "" {
		t.Errorf("running and queued, before and after priority requests (-want +got):\n%s", diff)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedImmediately(t *testing.T) {
	h := newHarness(document(crdoc.Limit{Start: 1, Max: 1}))
	h.offer("deposit", time.Hour)
	h.now = h.now.Add(100 * time.Millisecond)
	h.finish(0, cradmit.ResultDone)
	h.offer("deposit", time.Hour)
	got := map[string]string{
		"deadline shorter than service time": h.state[h.offer("deposit", 50*time.Millisecond)],
		"deadline too short to queue":        h.state[h.offer("deposit", 150*time.Millisecond)],
		"enough time to queue":               h.state[h.offer("deposit", time.Second)],
	}
	want := map[string]string{
		"deadline shorter than service time": "refused", "deadline too short to queue": "refused", "enough time to queue": "waiting",
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
