package cragent_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// depositCount is the number of deposits sent.
	depositCount = 10_000
	// depositSeed makes the kills and retries repeatable.
	depositSeed = 7
	// depositsPerKill is the number of deposits between two kills.
	depositsPerKill = 500
	// maxDepositTries bounds how often a caller sends the same deposit.
	maxDepositTries = 6
	// depositCallers is the number of concurrent callers.
	depositCallers = 24
)

// depositTest sends deposits to three agents that crash, and compares the
// answers with how often the backend servers ran each deposit.
type depositTest struct {
	controls []string
	backends []*crfake.Backend
	caller   *crrun.Client

	mu     sync.Mutex
	agents []*agentProcess
	kills  int
	// wrongAnswers lists answers that contradict the backend servers' counts.
	wrongAnswers []string
	// finalOutcomes counts deposits by the outcome of their final answer.
	finalOutcomes map[crwire.Outcome]int
}

// agent returns the address of an agent, which may just have crashed.
func (d *depositTest) agent(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agents[i%len(d.agents)].addr
}

// runs returns how often a deposit ran, over all backend servers.
func (d *depositTest) runs(body string) int {
	n := 0
	for _, b := range d.backends {
		n += b.RunCount(body)
	}
	return n
}

// crash kills an agent and starts a new one at the same backend server.
func (d *depositTest) crash(t *testing.T, i, n int) {
	t.Helper()
	d.mu.Lock()
	old := d.agents[i]
	d.mu.Unlock()
	old.kill()
	next := startAgent(t, fmt.Sprintf("a%d-%d", i, n), d.backends[i].Bound(), d.controls...)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[i] = next
	d.kills++
}

// recordWrongAnswer records an answer that contradicts the backend servers'
// counts.
func (d *depositTest) recordWrongAnswer(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wrongAnswers = append(d.wrongAnswers, fmt.Sprintf(format, args...))
}

// post sends one deposit until it is done, at most maxDepositTries times.
func (d *depositTest) post(ctx context.Context, rng *rand.Rand, n int) {
	body := fmt.Sprintf("deposit-%d", n)
	last := crwire.OutcomeNotrun
	mayHaveRun := false
	for range maxDepositTries {
		answer := d.send(ctx, rng, body)
		switch answer.Outcome {
		case crwire.OutcomeDone:
			last = crwire.OutcomeDone
			if got := d.runs(body); got != 1 {
				d.recordWrongAnswer("%s: outcome is done, but it ran %d times", body, got)
			}
		case crwire.OutcomeNotrun:
			if got := d.runs(body); got != 0 && !mayHaveRun {
				d.recordWrongAnswer("%s: outcome is notrun, but it ran %d times", body, got)
			}
		case crwire.OutcomeUnknown:
			mayHaveRun = true
			last = crwire.OutcomeUnknown
		}
		if answer.Outcome == crwire.OutcomeDone {
			break
		}
	}
	if last == crwire.OutcomeNotrun && d.runs(body) != 0 {
		d.recordWrongAnswer("%s: final outcome is notrun, but it ran", body)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finalOutcomes[last]++
}

// send sends a deposit once. At random it sends the deposit to two agents at
// the same time, or with a caller that disconnects before the answer.
func (d *depositTest) send(ctx context.Context, rng *rand.Rand, body string) crrun.Answer {
	wait := 5 * time.Second
	if rng.IntN(10) == 0 {
		wait = time.Duration(rng.IntN(3000)) * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	first, second := rng.IntN(3), rng.IntN(3)
	if rng.IntN(10) != 0 {
		return d.caller.SendToAgent(ctx, d.agent(first), request("POST", "/deposits", body, body))
	}
	answers := make([]crrun.Answer, 2)
	var wg sync.WaitGroup
	wg.Go(func() {
		answers[0] = d.caller.SendToAgent(ctx, d.agent(first), request("POST", "/deposits", body, body))
	})
	wg.Go(func() {
		answers[1] = d.caller.SendToAgent(ctx, d.agent(second), request("POST", "/deposits", body, body))
	})
	wg.Wait()
	// The deposit has not run only if both answers say so.
	for _, outcome := range []crwire.Outcome{crwire.OutcomeDone, crwire.OutcomeUnknown} {
		for _, a := range answers {
			if a.Outcome == outcome {
				return a
			}
		}
	}
	return answers[0]
}

// newDepositTest starts three backend servers, each with an agent.
func newDepositTest(t *testing.T, controls ...string) *depositTest {
	t.Helper()
	d := &depositTest{controls: controls, caller: newCaller(t), finalOutcomes: map[crwire.Outcome]int{}}
	for i := range 3 {
		d.backends = append(d.backends, startBackend(t, crfake.Switches{ServiceTime: crdoc.Duration(time.Millisecond)}))
		d.agents = append(d.agents, startAgent(t, fmt.Sprintf("a%d", i), d.backends[i].Bound(), controls...))
	}
	return d
}

// run sends count deposits and calls crash once in every depositsPerKill of
// them.
func (d *depositTest) run(t *testing.T, count int, crash func(n int)) {
	t.Helper()
	deposits := make(chan int)
	var wg sync.WaitGroup
	for i := range depositCallers {
		rng := rand.New(rand.NewPCG(depositSeed, uint64(i)))
		wg.Go(func() {
			for n := range deposits {
				d.post(t.Context(), rng, n)
			}
		})
	}
	for n := range count {
		if n%depositsPerKill == depositsPerKill-1 {
			crash(n)
		}
		deposits <- n
	}
	close(deposits)
	wg.Wait()
	d.check(t, count)
}

// TestDepositsRunAtMostOnceOverCrashes guards against a second run of a keyed
// request. Without claims, a deposit runs again when its caller sends it again
// after a crash, or to two agents at the same time.
func TestDepositsRunAtMostOnceOverCrashes(t *testing.T) {
	control := startControl(t, document(300*time.Millisecond))
	d := newDepositTest(t, control.addr())
	waitForView(t, control, 3, d.agents[0].addr, d.agents[1].addr, d.agents[2].addr)
	rng := rand.New(rand.NewPCG(depositSeed, depositCallers))
	d.run(t, depositCount, func(n int) { d.crash(t, rng.IntN(3), n) })
}

// check compares the callers' answers with the backend servers' counts.
func (d *depositTest) check(t *testing.T, count int) {
	t.Helper()
	total, ran, maxRuns := 0, 0, 0
	for _, n := range d.finalOutcomes {
		total += n
	}
	for n := range count {
		runs := d.runs(fmt.Sprintf("deposit-%d", n))
		maxRuns = max(maxRuns, runs)
		ran += min(runs, 1)
	}
	t.Logf("seed %d: %d kills, final outcomes %v, %d deposits ran", depositSeed, d.kills, d.finalOutcomes, ran)
	if diff := cmp.Diff([]string(nil), d.wrongAnswers); diff != "" {
		t.Errorf("wrong answers (-want +got):\n%s", diff)
	}
	if total != count || maxRuns > 1 || ran < d.finalOutcomes[crwire.OutcomeDone] {
		t.Errorf("%d of %d deposits have an answer, a deposit ran up to %d times", total, count, maxRuns)
	}
}
