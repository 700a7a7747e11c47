package crroute_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cardamomring.dev/internal/crroute"
)

// agents returns n agents, numbered from 1, in three zones and two per host.
func agents(n int) []crroute.Agent {
	out := make([]crroute.Agent, n)
	for i := range out {
		out[i] = crroute.Agent{
			Num: uint32(i + 1), Zone: fmt.Sprint("zone", i%3), Host: fmt.Sprint("host", i/2), Weight: 1 + i%4,
		}
	}
	return out
}

// keys returns n pseudo-random flow keys.
func keys(seed uint64, n int) []uint64 {
	random := rand.New(rand.NewPCG(seed, seed))
	out := make([]uint64, n)
	for i := range out {
		out[i] = random.Uint64()
	}
	return out
}

func TestTableFollowsWeights(t *testing.T) {
	const flows = 200_000
	for _, n := range []int{2, 7, 50, 600} {
		list := agents(n)
		table := crroute.NewTable(list)
		counts := make([]int, n+1)
		for _, key := range keys(1, flows) {
			counts[table.Lookup(key)]++
		}
		total := 0
		for _, a := range list {
			total += a.Weight
		}
		for _, a := range list {
			want := float64(flows) * float64(a.Weight) / float64(total)
			// Six standard deviations of a binomial count.
			if diff := float64(counts[a.Num]) - want; diff*diff > 36*want {
				t.Errorf("%d agents: agent %d of weight %d has %d flows, want about %.0f",
					n, a.Num, a.Weight, counts[a.Num], want)
			}
		}
	}
}

func TestTableMovesOnlyFlowsOfRemovedAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := agents(rapid.IntRange(2, 200).Draw(t, "agents"))
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "removed")
		num := list[removed].Num
		before := crroute.NewTable(list)
		after := crroute.NewTable(slices.Delete(slices.Clone(list), removed, removed+1))
		for _, key := range keys(rapid.Uint64().Draw(t, "seed"), 50) {
			if was := before.Lookup(key); was != num && was != after.Lookup(key) {
				t.Fatalf("a flow of agent %d moved when agent %d was removed", was, num)
			}
		}
	})
}

func TestAppendChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := agents(rapid.IntRange(1, 700).Draw(t, "agents"))
		table := crroute.NewTable(list)
		n := rapid.IntRange(1, 4).Draw(t, "length")
		for _, key := range keys(rapid.Uint64().Draw(t, "seed"), 10) {
			chain := table.AppendChain(nil, key, n)
			if len(chain) != min(n, len(list)) || chain[0] != table.Lookup(key) {
				t.Fatalf("chain %v of %d agents, first %d", chain, len(list), table.Lookup(key))
			}
			zones, nums := map[string]bool{}, map[uint32]bool{}
			for _, num := range chain {
				zones[list[num-1].Zone] = true
				nums[num] = true
			}
			if len(nums) != len(chain) || len(zones) != min(3, len(chain)) {
				t.Fatalf("chain %v: %d agents in %d zones", chain, len(nums), len(zones))
			}
		}
	})
}
