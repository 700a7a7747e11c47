package crflow_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"cardamomring.dev/internal/crflow"
)

// BenchmarkTableBytes reports the memory of a full table for each flow.
func BenchmarkTableBytes(b *testing.B) {
	const flows = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := newTable(flows, flows/10)
		for i := range flows {
			table.Put(crflow.Key{Caller: callerAt(i)}, crflow.Flow{ReturnAddr: back}, epoch)
			table.Confirm(crflow.Key{Caller: callerAt(i)}, epoch)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		runtime.KeepAlive(table)
	}
}

// BenchmarkDecide is what a datagram of a live flow costs among 200,000.
func BenchmarkDecide(b *testing.B) {
	const flows = 200_000
	m := newMesh(1)
	m.flows[1].Table = newTable(flows, flows)
	e := envelope(0, 1)
	e.Owned = true
	for i := range flows {
		e.Caller = callerAt(i)
		m.flows[1].Decide(e, 0, false, epoch)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % flows
		e.Caller = callerAt(i)
		m.flows[1].Decide(e, 0, false, epoch)
	}
}

// BenchmarkImbalance reports max/mean of load against capacity over agents
// of unequal speed, for flows of unequal demand: by the hash alone, and with
// hunting, where an agent has room below a share of its limit. The weights are either the speeds or, as
// when nobody has kept them up, all the same.
func BenchmarkImbalance(b *testing.B) {
	for _, weights := range []string{"right", "same"} {
		for _, share := range []float64{0, 1, 0.9, 0.8, 0.75} {
			name := fmt.Sprintf("weights=%s/hash", weights)
			if share > 0 {
				name = fmt.Sprintf("weights=%s/hunting,room=%v", weights, share)
			}
			b.Run(name, func(b *testing.B) {
				var worst, spread, full float64
				for b.Loop() {
					worst, spread, full = imbalance(weights == "right", share)
				}
				b.ReportMetric(worst, "max/mean")
				b.ReportMetric(spread, "stddev/mean")
				b.ReportMetric(full*100, "over-limit-%")
			})
		}
	}
}

const (
	// simAgents is how many agents a run has; their speeds go from 1 to 4.
	simAgents = 14
	// simSlots is the limit of an agent of speed 1.
	simSlots = 25
	// simLoad is the demand as a share of all limits.
	simLoad = 0.7
	// simRuns is how many runs are averaged.
	simRuns = 200
)

// imbalance fills agents with flows until the demand is reached, and returns
// max/mean and stddev/mean of their utilisation, and the share of the agents
// above their limit, averaged over seeded runs.
func imbalance(right bool, share float64) (worst, spread, full float64) {
	random := rand.New(rand.NewPCG(5, 5))
	for range simRuns {
		limit, load, weight := make([]float64, simAgents), make([]float64, simAgents), make([]float64, simAgents)
		total := 0.0
		for i := range limit {
			speed := float64(1 + i%4)
			limit[i] = simSlots * speed
			weight[i] = 1
			if right {
				weight[i] = speed
			}
			total += limit[i]
		}
		for demand := 0.0; demand < simLoad*total; {
			size := random.ExpFloat64()
			demand += size
			load[place(share, random, weight, limit, load)] += size
		}
		w, s, f := summary(limit, load)
		worst, spread, full = worst+w/simRuns, spread+s/simRuns, full+f/simRuns
	}
	return worst, spread, full
}

// place chooses the agent of a flow along a chain of three; share 0 takes
// the first.
func place(share float64, random *rand.Rand, weight, limit, load []float64) int {
	const chain = 3
	taken := map[int]bool{}
	var last int
	for n := range chain {
		last = draw(random, weight, taken)
		if share == 0 || n == chain-1 || load[last] < limit[last]*share {
			return last
		}
		taken[last] = true
	}
	return last
}

// draw chooses an agent by weight, as rendezvous hashing does.
func draw(random *rand.Rand, weight []float64, taken map[int]bool) int {
	best, high := 0, -1.0
	for i, w := range weight {
		if score := w / random.ExpFloat64(); !taken[i] && score > high {
			best, high = i, score
		}
	}
	return best
}

// summary returns max/mean and stddev/mean of utilisation and the share of
// agents above their limit.
func summary(limit, load []float64) (worst, spread, full float64) {
	sum, squares, high, over := 0.0, 0.0, 0.0, 0
	for i := range limit {
		u := load[i] / limit[i]
		sum, squares, high = sum+u, squares+u*u, max(high, u)
		if u > 1 {
			over++
		}
	}
	n := float64(len(limit))
	mean := sum / n
	return high / mean, math.Sqrt(squares/n-mean*mean) / mean, float64(over) / n
}
