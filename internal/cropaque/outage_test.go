package cropaque_test

import (
	"testing"
	"time"

	"cardamomring.dev/internal/cropaque"
)

// Times of a power loss, as recorded on glrrc-ledger (scale-2).
const (
	// outageDuration is how long nothing runs.
	outageDuration = 1500 * time.Millisecond
	// startupSpread is the period in which instances start after the outage.
	startupSpread = 500 * time.Millisecond
	// controlStartDelay is when the first control instance answers after the
	// outage, and viewSpread the period in which waiting daemons get their
	// views.
	controlStartDelay = 350 * time.Millisecond
	viewSpread        = 80 * time.Millisecond
	// coldDuration is how long backend servers are slow after their start.
	coldDuration = 2 * time.Second
)

// losePower stops all processes for the outage and returns the time at which
// power is restored.
func (sim *simulation) losePower() time.Time {
	restoredAt := sim.now.Add(outageDuration)
	sim.useDownBalancers = true
	for _, a := range sim.agents {
		a.down, a.server.down = true, true
		startOffset := sim.rnd.Float64()
		sim.after(outageDuration+time.Duration(sim.rnd.Float64()*float64(startupSpread)), func() {
			a.startWithoutView()
			sim.afterFirstView(restoredAt, func() { a.gate.SetView(sim.view) })
			sim.announceServer(a)
		})
		sim.after(outageDuration+time.Duration(startOffset*float64(startupSpread)), func() {
			a.server.start()
			a.server.coldUntil = sim.now.Add(coldDuration)
			sim.announceServer(a)
		})
	}
	for _, b := range sim.balancers {
		b.down = true
		sim.after(outageDuration+time.Duration(sim.rnd.Float64()*float64(startupSpread)), func() {
			b.startWithoutView()
			sim.afterFirstView(restoredAt, func() { b.steering.SetView(sim.now, sim.view) })
		})
	}
	sim.after(outageDuration+time.Second, func() { sim.useDownBalancers = false })
	return restoredAt
}

// afterFirstView runs a function when a daemon that starts now gets its first
// view.
func (sim *simulation) afterFirstView(restoredAt time.Time, run func()) {
	wait := max(0, restoredAt.Add(controlStartDelay).Sub(sim.now))
	sim.after(wait+time.Duration(sim.rnd.Float64()*float64(viewSpread)), run)
}

// announceServer sends a backend server's announcement to its agent if both
// run.
func (sim *simulation) announceServer(a *agent) {
	if !a.down && !a.server.down {
		a.server.seq++
		a.gate.HandleAnnouncement(sim.now, cropaque.Server{
			ID: "s", StartedMS: a.server.startedMS, Seq: a.server.seq, Service: "ledger", Slots: a.server.slots,
		})
	}
}

// TestPowerLossRecovery guards against late answers for everyone after a
// power loss, as at the end of most standard days. All processes stop for a
// moment and return within half a second, backend servers are slow at first,
// and waiting callers come back. Requests that arrive after all processes have
// started must be answered in time, although more wait than can be served.
// Those that arrived shortly before are answered late rather than never, as
// far as the slots allow. When the queue was ordered by age alone and the wait
// bounded by the target, 0.673 of the requests after the start were in time.
func TestPowerLossRecovery(t *testing.T) {
	const seeds = 20
	var inTime, answeredDuringStart, unanswered float64
	for seed := range uint64(seeds) {
		sim := newSimulation(seed)
		sim.addLoad(moderateLoad, 8*time.Second, true)
		sim.run(2 * time.Second)
		restoredAt := sim.losePower().Sub(sim.requests[0].arrivedAt)
		sim.run(8 * time.Second)
		startedAt := restoredAt + startupSpread
		inTime += sim.answeredShare(startedAt, startedAt+time.Second, targetLatency) / seeds
		answeredDuringStart += sim.answeredShare(restoredAt, startedAt, sim.callerTimeout) / seeds
		unanswered += (1 - sim.answeredShare(startedAt, startedAt+time.Second, sim.callerTimeout)) / seeds
	}
	t.Logf("in time in the first second after the start %.3f, never answered %.3f; answered of those before %.3f", inTime, unanswered, answeredDuringStart)
	if inTime < 0.9 || unanswered > 0.05 {
		t.Errorf("in time %.3f, want at least 0.9; never answered %.3f, want at most 0.05", inTime, unanswered)
	}
}

// TestOverload checks that at 1.1 times the capacity for seconds, most
// requests are answered in time, instead of all being late.
func TestOverload(t *testing.T) {
	const rate = 1.1 * serverCount * slotsPerServer / 0.024
	sim := newSimulation(7)
	sim.addLoad(rate, 5*time.Second, true)
	sim.run(7 * time.Second)
	atLeast(t, sim, "in time at 1.1 times the capacity", sim.answeredShare(time.Second, 5*time.Second, targetLatency), 0.7)
}

// TestFlowsWaitForFirstView checks that flows that arrive before a balancer's
// first view are placed when the view arrives, not at the callers' next copy of
// the opening packet. Flows whose caller has given up are not placed.
func TestFlowsWaitForFirstView(t *testing.T) {
	sim := newSimulation(8)
	for _, b := range sim.balancers {
		b.startWithoutView()
	}
	sim.callerTimeout = 500 * time.Millisecond
	sim.addLoad(30, 700*time.Millisecond, true)
	sim.run(700 * time.Millisecond)
	for _, b := range sim.balancers {
		b.steering.SetView(sim.now, sim.view)
	}
	// A caller that came less than 200 ms before the view hasn't sent a copy
	// yet when its answer is checked.
	sim.run(80 * time.Millisecond)
	waited, answered := 0, 0
	for _, r := range sim.requests {
		if since := sim.now.Sub(r.arrivedAt); since > 100*time.Millisecond && since < 200*time.Millisecond {
			waited++
			if !r.answeredAt.IsZero() {
				answered++
			}
		}
	}
	if waited == 0 || answered < waited {
		t.Errorf("%d of %d are answered 80 ms after the view", answered, waited)
	}
}
