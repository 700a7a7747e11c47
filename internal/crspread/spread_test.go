package crspread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crspread"
)

// average returns the mean result of a scenario over a few seeds.
func average(sc scenario, choose contender) result {
	seeds := 3.0
	if sc.servers > 100 {
		seeds = 1
	}
	var sum result
	for seed := range uint64(seeds) {
		sc.seed = seed
		r := run(sc, choose)
		sum.spread += r.spread / seeds
		sum.passed += r.passed / seeds
		sum.overrun += r.overrun / seeds
		sum.inTime += r.inTime / seeds
		sum.crossing += r.crossing / seeds
	}
	return sum
}

// scenarios are sizes and ages of reports, each with and without a return of all
// callers, changes of servers, and uneven demand.
func scenarios() []scenario {
	var list []scenario
	for _, size := range [][2]int{{8, 46}, {27, 46}, {1000, 200}} {
		for _, age := range []float64{0.001, 0.1, 0.3, 1} {
			list = append(list, scenario{choosers: size[0], servers: size[1], maxAge: age})
		}
	}
	base := scenario{choosers: 27, servers: 46, maxAge: 1}
	returns, changes, priced, uneven := base, base, base, base
	returns.returns, changes.changes, priced.priced = true, true, true
	uneven.priced, uneven.uneven = true, true
	return append(list, returns, changes, priced, uneven, scenario{choosers: 250, servers: 1000, maxAge: 1})
}

func (sc scenario) String() string {
	name := fmt.Sprintf("%d choosers, %d servers, reports to %.0f ms", sc.choosers, sc.servers, sc.maxAge*1000)
	switch {
	case sc.returns:
		name += "; all return"
	case sc.changes:
		name += "; servers change"
	case sc.uneven:
		name += "; zones priced, demand 1 to 2"
	case sc.priced:
		name += "; zones priced"
	}
	return name
}

// TestTable prints how all rules that were weighed serve the replay.
func TestTable(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table; run with -v")
	}
	for _, sc := range scenarios() {
		t.Log(sc)
		for _, c := range contenders {
			r := average(sc, c.choose)
			t.Logf("  %-12s spread %.3f  passed an idle one %.3f  overrun %4.1f s  in time %.4f  crossing %.2f", c.name, r.spread, r.passed, r.overrun, r.inTime, r.crossing)
		}
	}
}

// TestEvenLoad checks that load is at no size and age less even than by the former
// rule, and at least halfway from it to an all-knowing placement when reports are old.
func TestEvenLoad(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.String(), func(t *testing.T) {
			t.Parallel()
			former, spread, knowing := average(sc, chooseFormer), average(sc, chooseSpread), average(sc, chooseKnowing)
			if spread.spread > former.spread || spread.passed > former.passed || spread.overrun > former.overrun {
				t.Errorf("spread %+v, by the former rule %+v", spread, former)
			}
			if sc.maxAge >= 1 && spread.spread-knowing.spread > (former.spread-knowing.spread)/2 {
				t.Errorf("spread %.3f, want at most halfway from %.3f to %.3f", spread.spread, former.spread, knowing.spread)
			}
		})
	}
}

// TestInTimeAtEveryAge checks that at no size and age fewer requests are in time than
// by the former rule.
func TestInTimeAtEveryAge(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.String(), func(t *testing.T) {
			t.Parallel()
			if former, spread := average(sc, chooseFormer), average(sc, chooseSpread); spread.inTime < former.inTime {
				t.Errorf("in time %.4f, by the former rule %.4f", spread.inTime, former.inTime)
			}
		})
	}
}

// TestWeighChangesNothing checks that a choice can be explained without being made,
// and that its odds add up to 1.
func TestWeighChangesNothing(t *testing.T) {
	candidates := []crspread.Candidate{
		{Report: crspread.Report{Slots: 2, Latency: 30 * time.Millisecond, Busy: 1, LastingBusy: 1.2, Kept: 20}, Age: time.Second},
		{Report: crspread.Report{Slots: 2, Latency: 60 * time.Millisecond, LastingBusy: 0.4, Kept: 5, KeptRate: 3}, Age: 100 * time.Millisecond},
		{Price: 75 * time.Millisecond},
	}
	before := append([]crspread.Candidate(nil), candidates...)
	for _, kept := range []bool{false, true} {
		parts := crspread.Weigh(candidates, crspread.Flow{Kept: kept})
		if diff := cmp.Diff(parts, crspread.Weigh(candidates, crspread.Flow{Kept: kept})); diff != "" {
			t.Errorf("weighed again (-first +second):\n%s", diff)
		}
		sum := 0.0
		for _, p := range parts {
			sum += p.Odds
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("the odds add up to %.3f: %+v", sum, parts)
		}
	}
	if diff := cmp.Diff(before, candidates); diff != "" {
		t.Errorf("candidates (-before +after):\n%s", diff)
	}
}
