package cropaque_test

import (
	"testing"
	"time"

	"cardamomring.dev/internal/cropaque"
)

// Times of a loss of power, as recorded on glrrc-ledger (scale-2).
const (
	// darkFor is how long nothing runs.
	darkFor = 1500 * time.Millisecond
	// startSpan is the time over which instances start again after it.
	startSpan = 500 * time.Millisecond
	// controlStart is when the first control instance answers, viewSpan the
	// time over which daemons that wait for it get their views.
	controlStart = 350 * time.Millisecond
	viewSpan     = 80 * time.Millisecond
	// coldFor is how long backend servers are slow after their start.
	coldFor = 2 * time.Second
)

// outage takes the power from everything and returns the time when it is back.
func (w *world) outage() time.Time {
	back := w.now.Add(darkFor)
	w.blind = true
	for _, a := range w.agents {
		a.down, a.server.down = true, true
		ready := w.rnd.Float64()
		w.after(darkFor+time.Duration(w.rnd.Float64()*float64(startSpan)), func() {
			a.open()
			w.afterControl(back, func() { a.gate.SetView(w.view) })
			w.greet(a)
		})
		w.after(darkFor+time.Duration(ready*float64(startSpan)), func() {
			a.server.start()
			a.server.coldTill = w.now.Add(coldFor)
			w.greet(a)
		})
	}
	for _, b := range w.balancers {
		b.down = true
		w.after(darkFor+time.Duration(w.rnd.Float64()*float64(startSpan)), func() {
			b.open()
			w.afterControl(back, func() { b.steering.SetView(w.now, w.view) })
		})
	}
	w.after(darkFor+time.Second, func() { w.blind = false })
	return back
}

// afterControl does something when a daemon that starts now has got its view.
func (w *world) afterControl(back time.Time, do func()) {
	wait := max(0, back.Add(controlStart).Sub(w.now))
	w.after(wait+time.Duration(w.rnd.Float64()*float64(viewSpan)), do)
}

// greet lets a backend server announce itself to its agent, if both run.
func (w *world) greet(a *agent) {
	if !a.down && !a.server.down {
		a.server.seq++
		a.gate.HandleAnnouncement(w.now, cropaque.Server{
			ID: "s", StartedMS: a.server.born, Seq: a.server.seq, Service: "ledger", Slots: a.server.slots,
		})
	}
}

// TestReturnOfEverything replays the end of most standard days: everything
// loses power for a moment and returns within half a second, backend servers are
// slow at first, and callers who waited come back. Who comes once all have
// started is answered in time, though more wait than can be served; those who
// came shortly before are answered late rather than never, as far as the slots
// allow. In the order of age alone, and with a wait bound by the target, 0.673 of
// the former were in time.
func TestReturnOfEverything(t *testing.T) {
	const seeds = 20
	var after, before, lost float64
	for seed := range uint64(seeds) {
		w := newWorld(seed)
		w.load(calmLoad, 8*time.Second, true)
		w.run(2 * time.Second)
		back := w.outage().Sub(w.requests[0].came)
		w.run(8 * time.Second)
		started := back + startSpan
		after += w.share(started, started+time.Second, aim) / seeds
		before += w.share(back, started, w.deadline) / seeds
		lost += (1 - w.share(started, started+time.Second, w.deadline)) / seeds
	}
	t.Logf("in time in the first second after the start %.3f, never answered %.3f; answered of those before %.3f", after, lost, before)
	if after < 0.9 || lost > 0.05 {
		t.Errorf("in time %.3f, want at least 0.9; never answered %.3f, want at most 0.05", after, lost)
	}
}

// TestOverload: at 1.1 times the capacity for seconds, those who can be
// answered in time are, instead of everyone being late.
func TestOverload(t *testing.T) {
	const rate = 1.1 * servers * slots / 0.024
	w := newWorld(7)
	w.load(rate, 5*time.Second, true)
	w.run(7 * time.Second)
	atLeast(t, w, "in time at 1.1 times the capacity", w.share(time.Second, 5*time.Second, aim), 0.7)
}

// TestFirstView: flows that come before a balancer's first view are placed when
// it comes, not at the callers' next copy; a caller who has given up meanwhile
// gets nothing.
func TestFirstView(t *testing.T) {
	w := newWorld(8)
	for _, b := range w.balancers {
		b.open()
	}
	w.deadline = 500 * time.Millisecond
	w.load(30, 700*time.Millisecond, true)
	w.run(700 * time.Millisecond)
	for _, b := range w.balancers {
		b.steering.SetView(w.now, w.view)
	}
	// One who came less than 200 ms before the view hasn't sent a copy yet when
	// its answer is looked for.
	w.run(80 * time.Millisecond)
	waited, answered := 0, 0
	for _, r := range w.requests {
		if since := w.now.Sub(r.came); since > 100*time.Millisecond && since < 200*time.Millisecond {
			waited++
			if !r.done.IsZero() {
				answered++
			}
		}
	}
	if waited == 0 || answered < waited {
		t.Errorf("%d of %d are answered 80 ms after the view", answered, waited)
	}
}
