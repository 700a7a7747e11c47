package crroute_test

import (
	"math/bits"

	"cardamomring.dev/internal/crroute"
)

// slotsPerAgent is the number of slots of a Maglev table for each agent, as in
// the Maglev paper.
const slotsPerAgent = 100

// maglev is a weighted Maglev table, for comparison in benchmarks.
type maglev struct {
	slots []uint32
}

// newMaglev returns a table of the agents. The agents take turns: in each turn,
// an agent takes as many free slots as its weight, in the order of its own
// permutation.
func newMaglev(list []crroute.Agent) *maglev {
	// The size depends only on the magnitude of the number of agents.
	// Otherwise every flow would move when an agent is added or removed.
	size := uint64(nextPrime(slotsPerAgent << bits.Len(uint(len(list)-1))))
	m := &maglev{slots: make([]uint32, size)}
	offset, skip := make([]uint64, len(list)), make([]uint64, len(list))
	for i, a := range list {
		offset[i] = mix(uint64(a.Num)) % size
		skip[i] = mix(uint64(a.Num)+1<<40)%(size-1) + 1
	}
	for filled := uint64(0); ; {
		for i, a := range list {
			for range a.Weight {
				for m.slots[offset[i]] != 0 {
					offset[i] = (offset[i] + skip[i]) % size
				}
				m.slots[offset[i]] = a.Num
				filled++
				if filled == size {
					return m
				}
			}
		}
	}
}

// lookup returns the number of the agent for a flow.
func (m *maglev) lookup(key uint64) uint32 { return m.slots[mix(key)%uint64(len(m.slots))] }

// mix returns a hash of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nextPrime returns the smallest prime that is at least n.
func nextPrime(n int) int {
	for ; ; n++ {
		prime := n > 1
		for d := 2; d*d <= n && prime; d++ {
			prime = n%d != 0
		}
		if prime {
			return n
		}
	}
}
