package crroute_test

import (
	"math/bits"

	"cardamomring.dev/internal/crroute"
)

// slotsPerAgent is how many places of a Maglev table there are for each
// agent, as in its paper.
const slotsPerAgent = 100

// maglev is a weighted Maglev table, to compare with.
type maglev struct {
	slots []uint32
}

// newMaglev fills a table: agents take turns, each by its own permutation,
// and as many places a turn as its weight says.
func newMaglev(list []crroute.Agent) *maglev {
	// The size stays while agents come and go, or every flow would move.
	size := uint64(nextPrime(slotsPerAgent << bits.Len(uint(len(list)-1))))
	m := &maglev{slots: make([]uint32, size)}
	offset, skip := make([]uint64, len(list)), make([]uint64, len(list))
	for i, a := range list {
		offset[i] = spread(uint64(a.Num)) % size
		skip[i] = spread(uint64(a.Num)+1<<40)%(size-1) + 1
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

// first returns the agent of a flow.
func (m *maglev) first(key uint64) uint32 { return m.slots[spread(key)%uint64(len(m.slots))] }

// spread mixes a number's bits.
func spread(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nextPrime returns the first prime from n on.
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
