package crroute

import (
	"math"
	"math/bits"
)

const (
	// groupSeed sets the scores of groups apart from those of agents.
	groupSeed = 0x9e3779b97f4a7c15
	// mixA and mixB are odd multipliers that spread a key over 64 bits.
	mixA = 0xbf58476d1ce4e5b9
	mixB = 0x94d049bb133111eb
	// unitBits is the precision of a score's uniform number.
	unitBits = 53
)

// unit draws a number between 0 and 1, uniformly, from a flow's key and an
// agent's number.
func unit(key uint64, num uint32) float64 {
	x := key ^ uint64(num)*mixB
	hi, lo := bits.Mul64(x^groupSeed, mixA)
	x = hi ^ lo
	x = (x ^ x>>31) * mixB
	return (float64(x>>(64-unitBits)) + 0.5) / (1 << unitBits)
}

// score turns a uniform number into an agent's score; the higher the weight,
// the more flows it wins, in proportion.
func score(u, weight float64) float64 { return weight / -math.Log(u) }

// below reports that the score can't be above high, without the logarithm:
// -log(u) is at least 1-u.
func below(u, weight, high float64) bool { return weight <= high*(1-u) }

// scored is an agent with its score.
type scored struct {
	slot  slot
	score float64
}

// choice collects the best agents for one flow: the best of all, the best of
// each availability zone and some spare ones.
type choice struct {
	zones  [zonesMax]scored
	spares [spareMax]scored
	nspare int
}

// scan looks at some agents. The first scan holds the best of all; the
// agents of a second scan stand behind those of the first, in their own
// order.
func (c *choice) scan(key uint64, slots []slot) {
	second := c.nspare > 0
	for _, s := range slots {
		u := unit(key, s.num)
		if below(u, s.weight, c.needed(s, second)) {
			continue
		}
		e := scored{slot: s, score: score(u, s.weight)}
		if second {
			e.score = -1 / e.score
		}
		c.keep(e)
	}
}

// needed returns the score that an agent must be above to be kept.
func (c *choice) needed(s slot, second bool) float64 {
	z := &c.zones[s.zone%zonesMax]
	if z.slot.num == 0 || c.nspare < spareMax {
		return 0
	}
	low := min(z.score, c.spares[spareMax-1].score)
	switch {
	case !second:
		return low
	case low < 0:
		return -1 / low
	default:
		return math.Inf(1)
	}
}

// keep takes one agent in.
func (c *choice) keep(e scored) {
	if z := &c.zones[e.slot.zone%zonesMax]; z.slot.num == 0 || e.score > z.score {
		*z = e
	}
	if c.nspare == spareMax && e.score <= c.spares[spareMax-1].score {
		return
	}
	i := min(c.nspare, spareMax-1)
	for ; i > 0 && c.spares[i-1].score < e.score; i-- {
		c.spares[i] = c.spares[i-1]
	}
	c.spares[i] = e
	c.nspare = min(c.nspare+1, spareMax)
}

// append appends up to n agents, best first.
func (c *choice) append(dst []uint32, n int) []uint32 {
	start := len(dst)
	var taken [spareMax + zonesMax]slot
	for len(dst)-start < n {
		next, ok := c.next(taken[:len(dst)-start])
		if !ok {
			break
		}
		taken[len(dst)-start] = next
		dst = append(dst, next.num)
	}
	return dst
}

// next returns the best agent for the next place: one of a zone not taken,
// else one of a host not taken, else any.
func (c *choice) next(taken []slot) (slot, bool) {
	if len(taken) == 0 {
		return c.spares[0].slot, c.nspare > 0
	}
	var best scored
	rank := -1
	consider := func(e scored) {
		r := apart(e.slot, taken)
		if r > rank || r == rank && r >= 0 && e.score > best.score {
			best, rank = e, r
		}
	}
	for i := range c.zones {
		if c.zones[i].slot.num != 0 {
			consider(c.zones[i])
		}
	}
	for i := range c.nspare {
		consider(c.spares[i])
	}
	return best.slot, rank >= 0
}

// apart ranks an agent against those taken: 2 for another zone, 1 for
// another host, 0 for the same host, -1 for one that is taken.
func apart(s slot, taken []slot) int {
	rank := 2
	for _, t := range taken {
		switch {
		case t.num == s.num:
			return -1
		case t.host == s.host && t.zone == s.zone:
			rank = 0
		case t.zone == s.zone:
			rank = min(rank, 1)
		}
	}
	return rank
}
