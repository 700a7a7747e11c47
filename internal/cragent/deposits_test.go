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
	// depositCount is how many deposits are posted.
	depositCount = 10_000
	// depositSeed makes the kills and resends repeatable.
	depositSeed = 7
	// killEvery is how many deposits come between two kills.
	killEvery = 500
	// depositTries is how often a teacher sends the same deposit.
	depositTries = 6
	// teachers send at once.
	teachers = 24
)

// ledger is three agents that crash, their backend servers, and teachers.
type ledger struct {
	controls []string
	backends []*crfake.Backend
	caller   *crrun.Client

	mu     sync.Mutex
	agents []*child
	kills  int
	// lies are answers that the backend servers' counts refute.
	lies []string
	// ends counts the last answers of deposits by outcome.
	ends map[crwire.Outcome]int
}

// agent returns an agent that may just have crashed.
func (l *ledger) agent(i int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.agents[i%len(l.agents)].addr
}

// runs returns how often a deposit ran at all backend servers.
func (l *ledger) runs(body string) int {
	n := 0
	for _, b := range l.backends {
		n += b.RunCount(body)
	}
	return n
}

// crash kills an agent and starts another in its place.
func (l *ledger) crash(t *testing.T, i, n int) {
	t.Helper()
	l.mu.Lock()
	old := l.agents[i]
	l.mu.Unlock()
	old.kill()
	next := startAgent(t, fmt.Sprintf("a%d-%d", i, n), l.backends[i].Bound(), l.controls...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.agents[i] = next
	l.kills++
}

// lie records an answer that is not true.
func (l *ledger) lie(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lies = append(l.lies, fmt.Sprintf(format, args...))
}

// post sends one deposit until its outcome is known or the tries are over.
func (l *ledger) post(ctx context.Context, rng *rand.Rand, n int) {
	body := fmt.Sprintf("deposit-%d", n)
	last := crwire.OutcomeNotrun
	doubtful := false
	for range depositTries {
		answer := l.send(ctx, rng, body)
		switch answer.Outcome {
		case crwire.OutcomeDone:
			last = crwire.OutcomeDone
			if got := l.runs(body); got != 1 {
				l.lie("%s is done and ran %d times", body, got)
			}
		case crwire.OutcomeNotrun:
			if got := l.runs(body); got != 0 && !doubtful {
				l.lie("%s is not run and ran %d times", body, got)
			}
		case crwire.OutcomeUnknown:
			doubtful = true
			last = crwire.OutcomeUnknown
		}
		if answer.Outcome == crwire.OutcomeDone {
			break
		}
	}
	if last == crwire.OutcomeNotrun && l.runs(body) != 0 {
		l.lie("%s ended as not run and ran", body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[last]++
}

// send sends a deposit once; now and then to two agents at the same time, or
// with a caller who goes away early.
func (l *ledger) send(ctx context.Context, rng *rand.Rand, body string) crrun.Answer {
	wait := 5 * time.Second
	if rng.IntN(10) == 0 {
		wait = time.Duration(rng.IntN(3000)) * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	first, second := rng.IntN(3), rng.IntN(3)
	if rng.IntN(10) != 0 {
		return l.caller.SendToAgent(ctx, l.agent(first), request("POST", "/deposits", body, body))
	}
	answers := make([]crrun.Answer, 2)
	var both sync.WaitGroup
	both.Go(func() {
		answers[0] = l.caller.SendToAgent(ctx, l.agent(first), request("POST", "/deposits", body, body))
	})
	both.Go(func() {
		answers[1] = l.caller.SendToAgent(ctx, l.agent(second), request("POST", "/deposits", body, body))
	})
	both.Wait()
	// The pair is not run only if both are.
	for _, outcome := range []crwire.Outcome{crwire.OutcomeDone, crwire.OutcomeUnknown} {
		for _, a := range answers {
			if a.Outcome == outcome {
				return a
			}
		}
	}
	return answers[0]
}

// newLedger starts the agents beside their backend servers.
func newLedger(t *testing.T, controls ...string) *ledger {
	t.Helper()
	l := &ledger{controls: controls, caller: newCaller(t), ends: map[crwire.Outcome]int{}}
	for i := range 3 {
		l.backends = append(l.backends, startBackend(t, crfake.Switches{ServiceTime: crdoc.Duration(time.Millisecond)}))
		l.agents = append(l.agents, startAgent(t, fmt.Sprintf("a%d", i), l.backends[i].Bound(), controls...))
	}
	return l
}

// run posts deposits; crash is called between each killEvery of them.
func (l *ledger) run(t *testing.T, count int, crash func(n int)) {
	t.Helper()
	deposits := make(chan int)
	var all sync.WaitGroup
	for i := range teachers {
		rng := rand.New(rand.NewPCG(depositSeed, uint64(i)))
		all.Go(func() {
			for n := range deposits {
				l.post(t.Context(), rng, n)
			}
		})
	}
	for n := range count {
		if n%killEvery == killEvery-1 {
			crash(n)
		}
		deposits <- n
	}
	close(deposits)
	all.Wait()
	l.report(t, count)
}

func TestDepositsRunAtMostOnceOverCrashes(t *testing.T) {
	control := startControl(t, document(300*time.Millisecond))
	l := newLedger(t, control.addr())
	settleView(t, control, 3, l.agents[0].addr, l.agents[1].addr, l.agents[2].addr)
	rng := rand.New(rand.NewPCG(depositSeed, teachers))
	l.run(t, depositCount, func(n int) { l.crash(t, rng.IntN(3), n) })
}

// report compares the teachers' account with the backend servers'.
func (l *ledger) report(t *testing.T, count int) {
	t.Helper()
	total, ran, most := 0, 0, 0
	for _, n := range l.ends {
		total += n
	}
	for n := range count {
		runs := l.runs(fmt.Sprintf("deposit-%d", n))
		most = max(most, runs)
		ran += min(runs, 1)
	}
	t.Logf("seed %d: %d kills, last answers %v, %d deposits ran", depositSeed, l.kills, l.ends, ran)
	if diff := cmp.Diff([]string(nil), l.lies); diff != "" {
		t.Errorf("untrue answers (-want +got):\n%s", diff)
	}
	if total != count || most > 1 || ran < l.ends[crwire.OutcomeDone] {
		t.Errorf("%d of %d deposits have an answer, one ran %d times", total, count, most)
	}
}
