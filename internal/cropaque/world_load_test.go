package cropaque_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// calmLoad is 45% of what seven backend servers of three slots and 24 ms
	// answer in a second.
	calmLoad = 390
	aim      = 120 * time.Millisecond
)

// atLeast fails the test when a share is too low.
func atLeast(t *testing.T, w *world, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: %.3f, want at least %.3f", what, got, want)
		for _, line := range w.log[max(0, len(w.log)-20):] {
			t.Log(line)
		}
	}
}

// TestCalm: with load under half of the capacity everybody is answered in time,
// and nobody twice.
func TestCalm(t *testing.T) {
	w := newWorld(1)
	w.load(calmLoad, 5*time.Second, false)
	w.run(7 * time.Second)
	atLeast(t, w, "answered in time", w.share(0, 5*time.Second, aim), 0.99)
	for _, r := range w.requests {
		if r.runs > 1 {
			t.Fatalf("a request that may not be repeated ran %d times", r.runs)
		}
	}
}

// TestRecoversFromSlowAgents replays what kept spaarvarken-edu down from second
// 8 of scale-2 to its end: agents are short of processor time for a moment and
// answer late, so that balancers offer each flow to several of them. Callers
// open one of these flows; the places of the others must not be held.
func TestRecoversFromSlowAgents(t *testing.T) {
	w := newWorld(2)
	w.load(calmLoad, 8*time.Second, true)
	w.run(2 * time.Second)
	w.lag = 70 * time.Millisecond
	w.run(1500 * time.Millisecond)
	w.lag = 0
	w.run(6500 * time.Millisecond)
	atLeast(t, w, "answered in time, half a second later", w.share(4*time.Second, 8*time.Second, aim), 0.97)
}

// TestRecoversFromStall: all backend servers stall for a moment, and callers
// come back up to twice.
func TestRecoversFromStall(t *testing.T) {
	w := newWorld(2)
	w.load(calmLoad, 8*time.Second, true)
	w.run(2 * time.Second)
	for _, a := range w.agents {
		a.server.stalled = w.now.Add(1200 * time.Millisecond)
	}
	w.run(8 * time.Second)
	atLeast(t, w, "answered in time, half a second after the stall", w.share(3700*time.Millisecond, 8*time.Second, aim), 0.97)
}

// TestLostAgent: an agent and its backend server fall silent. New flows go
// elsewhere within a few round trips, not at the callers' next copy.
func TestLostAgent(t *testing.T) {
	w := newWorld(3)
	w.load(calmLoad, 4*time.Second, true)
	w.run(2 * time.Second)
	for _, a := range w.agents {
		a.down, a.server.down = true, true
		break
	}
	w.run(5 * time.Second)
	atLeast(t, w, "answered in time from 100 ms after the loss", w.share(2100*time.Millisecond, 4*time.Second, aim), 0.99)
}

// TestLostBalancer: flows go on through other balancers, which ask for their
// owner; none is reset and no request runs twice.
func TestLostBalancer(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.load(calmLoad, 4*time.Second, false)
		w.run(2 * time.Second)
		w.balancers[seed%6].down = true
		w.run(time.Second)
		w.balancers[seed%6].start()
		w.run(4 * time.Second)
		if diff := cmp.Diff(0, w.brokenFlows); diff != "" {
			t.Errorf("seed %d: resets of living flows (-want +got):\n%s", seed, diff)
		}
		atLeast(t, w, "answered at all", w.share(0, 4*time.Second, w.deadline), 0.995)
		for _, r := range w.requests {
			if r.runs > 1 {
				t.Fatalf("seed %d: a request that may not be repeated ran %d times", seed, r.runs)
			}
		}
	}
}

// TestLossyWays: datagrams between balancers and agents are lost now and then;
// no living flow is reset for that.
func TestLossyWays(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.loss = 0.03
		w.load(calmLoad, 4*time.Second, false)
		w.run(2 * time.Second)
		w.balancers[seed%6].down = true
		w.run(4 * time.Second)
		if diff := cmp.Diff(0, w.brokenFlows); diff != "" {
			t.Errorf("seed %d: resets of living flows (-want +got):\n%s", seed, diff)
		}
		atLeast(t, w, "answered at all", w.share(0, 4*time.Second, w.deadline), 0.97)
	}
}

// TestRestartedAgent: an agent that restarts beside a living backend server
// learns its flows from their packets; none is reset.
func TestRestartedAgent(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.load(calmLoad, 4*time.Second, false)
		w.run(2 * time.Second)
		for _, a := range w.agents {
			a.down = true
			w.after(300*time.Millisecond, a.start)
			break
		}
		w.run(4 * time.Second)
		if diff := cmp.Diff(0, w.brokenFlows); diff != "" {
			t.Errorf("seed %d: resets of living flows (-want +got):\n%s", seed, diff)
		}
	}
}

// TestCrashedServer: callers of a backend server that crashed are told at once
// and served by others.
func TestCrashedServer(t *testing.T) {
	w := newWorld(4)
	w.load(calmLoad, 4*time.Second, true)
	w.run(2 * time.Second)
	for _, a := range w.agents {
		a.server.down = true
		break
	}
	w.run(4 * time.Second)
	atLeast(t, w, "answered at all", w.share(0, 4*time.Second, w.deadline), 0.995)
}

// TestBurst: at 1.7 times the load, and once at more than the capacity, what
// the backend servers can do is done, and most of it in time.
func TestBurst(t *testing.T) {
	w := newWorld(5)
	w.load(calmLoad, 6*time.Second, true)
	w.after(time.Second, func() { w.load(0.7*calmLoad, 2*time.Second, true) })
	w.after(4*time.Second, func() { w.load(2.2*calmLoad, time.Second, true) })
	w.run(8 * time.Second)
	atLeast(t, w, "in time at 1.7 times the load", w.share(time.Second, 3*time.Second, aim), 0.97)
	atLeast(t, w, "in time at 1.4 times the capacity", w.share(4*time.Second, 5*time.Second, 2*aim), 0.55)
	atLeast(t, w, "in time after it", w.share(5300*time.Millisecond, 6*time.Second, aim), 0.95)
}

// TestFailingServer: a backend server that ends requests at once without an
// answer, though it looks idle and healthy, soon gets few of them; when it is
// well again it gets its share.
func TestFailingServer(t *testing.T) {
	w := newWorld(8)
	w.load(calmLoad, 8*time.Second, false)
	w.run(2 * time.Second)
	var bad *server
	for _, a := range w.agents {
		bad = a.server
		break
	}
	bad.failing = 0.8
	w.run(3 * time.Second)
	atLeast(t, w, "answered while it fails", w.share(2500*time.Millisecond, 4500*time.Millisecond, w.deadline), 0.97)
	bad.failing = 0
	before := len(bad.flows)
	w.run(5 * time.Second)
	if got := len(bad.flows) - before; got < 100 {
		t.Errorf("%d flows in 3 s after it is well again, want at least 100", got)
	}
}
