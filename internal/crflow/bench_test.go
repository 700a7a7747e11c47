package crflow_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"cardamomring.dev/internal/crflow"
)

// BenchmarkTableBytes reports the memory per flow of a full table.
func BenchmarkTableBytes(b *testing.B) {
	const flows = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := newTable(flows, flows/10)
		for i := range flows {
			table.Put(crflow.Key{Caller: callerAt(i)}, crflow.Flow{ReturnAddr: returnAddr}, epoch)
			table.Confirm(crflow.Key{Caller: callerAt(i)}, epoch)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		runtime.KeepAlive(table)
	}
}

// BenchmarkDecide measures the decision about a datagram of a confirmed flow in a
// table of 200,000 flows.
func BenchmarkDecide(b *testing.B) {
	const flows = 200_000
	g := newAgentGroup(1)
	g.flows[1].Table = newTable(flows, flows)
	e := envelope(0, 1)
	e.Owned = true
	for i := range flows {
		e.Caller = callerAt(i)
		g.flows[1].Decide(e, 0, false, epoch)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % flows
		e.Caller = callerAt(i)
		g.flows[1].Decide(e, 0, false, epoch)
	}
}

// BenchmarkImbalance reports the utilisation (load divided by limit) of agents with
// different speeds, for flows with different demand. It compares hashing alone with
// service hunting, where an agent accepts a flow while its load is below a share of
// its limit. The weights are either equal to the speeds or, as when they aren't
// maintained, all the same.
func BenchmarkImbalance(b *testing.B) {
	for _, weights := range []string{"right", "same"} {
		for _, share := range []float64{0, 1, 0.9, 0.8, 0.75} {
			name := fmt.Sprintf("weights=%s/hash", weights)
			if share > 0 {
				name = fmt.Sprintf("weights=%s/hunting,room=%v", weights, share)
			}
			b.Run(name, func(b *testing.B) {
				var maxToMean, stddevToMean, overLimit float64
				for b.Loop() {
					maxToMean, stddevToMean, overLimit = imbalance(weights == "right", share)
				}
				b.ReportMetric(maxToMean, "max/mean")
				b.ReportMetric(stddevToMean, "stddev/mean")
				b.ReportMetric(overLimit*100, "over-limit-%")
			})
		}
	}
}

const (
	// simAgents is the number of agents in a run. Their speeds are 1 to 4.
	simAgents = 14
	// simSlots is the limit of an agent of speed 1.
	simSlots = 25
	// simLoad is the total demand as a share of the sum of all limits.
	simLoad = 0.7
	// simRuns is the number of runs that are averaged.
	simRuns = 200
)

// imbalance adds flows to the agents until the demand is reached. It returns
// max/mean and stddev/mean of their utilisation and the share of agents above their
// limit, averaged over seeded runs.
func imbalance(weightsMatch bool, share float64) (maxToMean, stddevToMean, overLimit float64) {
	rng := rand.New(rand.NewPCG(5, 5))
	for range simRuns {
		limit, load, weight := make([]float64, simAgents), make([]float64, simAgents), make([]float64, simAgents)
		total := 0.0
		for i := range limit {
			speed := float64(1 + i%4)
			limit[i] = simSlots * speed
			weight[i] = 1
			if weightsMatch {
				weight[i] = speed
			}
			total += limit[i]
		}
		for demand := 0.0; demand < simLoad*total; {
			size := rng.ExpFloat64()
			demand += size
			load[place(share, rng, weight, limit, load)] += size
		}
		w, s, f := summary(limit, load)
		maxToMean, stddevToMean, overLimit = maxToMean+w/simRuns, stddevToMean+s/simRuns, overLimit+f/simRuns
	}
	return maxToMean, stddevToMean, overLimit
}

// place chooses the agent of a flow from a chain of three. A share of 0 selects
// the first agent.
func place(share float64, rng *rand.Rand, weight, limit, load []float64) int {
	const chain = 3
	tried := map[int]bool{}
	var last int
	for n := range chain {
		last = draw(rng, weight, tried)
		if share == 0 || n == chain-1 || load[last] < limit[last]*share {
			return last
		}
		tried[last] = true
	}
	return last
}

// draw picks a random agent by weight, with the probabilities of rendezvous
// hashing.
func draw(rng *rand.Rand, weight []float64, tried map[int]bool) int {
	best, highest := 0, -1.0
	for i, w := range weight {
		if score := w / rng.ExpFloat64(); !tried[i] && score > highest {
			best, highest = i, score
		}
	}
	return best
}

// summary returns max/mean and stddev/mean of the utilisation and the share of
// agents above their limit.
func summary(limit, load []float64) (maxToMean, stddevToMean, overLimit float64) {
	sum, squares, highest, countOver := 0.0, 0.0, 0.0, 0
	for i := range limit {
		u := load[i] / limit[i]
		sum, squares, highest = sum+u, squares+u*u, max(highest, u)
		if u > 1 {
			countOver++
		}
	}
	n := float64(len(limit))
	mean := sum / n
	return highest / mean, math.Sqrt(squares/n-mean*mean) / mean, float64(countOver) / n
}
