package crroute

import (
	"math"
	"math/bits"
)

const (
	// groupSeed makes the scores of groups independent of the scores of agents.
	groupSeed = 0x9e3779b97f4a7c15
	// mixA and mixB are odd multipliers that distribute a key over 64 bits.
	mixA = 0xbf58476d1ce4e5b9
	mixB = 0x94d049bb133111eb
	// unitBits is the number of random bits in the result of Uniform.
	unitBits = 53
)

// Uniform returns a pseudo-random number between 0 and 1 that depends only on
// the flow key and the number of the agent or group. The agent with the highest
// number is the same on every balancer.
func Uniform(key uint64, num uint32) float64 {
	x := key ^ uint64(num)*mixB
	hi, lo := bits.Mul64(x^groupSeed, mixA)
	x = hi ^ lo
	x = (x ^ x>>31) * mixB
	return (float64(x>>(64-unitBits)) + 0.5) / (1 << unitBits)
}

// score returns an agent's rendezvous score for the uniform number u. An agent
// has the highest score for a share of the flows that is proportional to its
// weight.
func score(u, weight float64) float64 { return weight / -math.Log(u) }

// scoreAtMost reports whether the score is known not to exceed high. It avoids
// computing the logarithm: -log(u) is at least 1-u.
func scoreAtMost(u, weight, high float64) bool { return weight <= high*(1-u) }

// scoredAgent is an agent with its score for one flow.
type scoredAgent struct {
	agent agentEntry
	score float64
}

// selection collects the best agents for one flow: the best agent of each
// availability zone, and the best ntop agents overall by descending score.
type selection struct {
	zoneBest [zonesMax]scoredAgent
	top      [topMax]scoredAgent
	ntop     int
}

// scan adds the agents of a group. All agents of a second group rank behind
// those of the first: their scores are mapped to negative numbers in the same
// order.
func (sel *selection) scan(key uint64, agents []agentEntry) {
	second := sel.ntop > 0
	for _, a := range agents {
		u := Uniform(key, a.num)
		if scoreAtMost(u, a.weight, sel.threshold(a, second)) {
			continue
		}
		e := scoredAgent{agent: a, score: score(u, a.weight)}
		if second {
			e.score = -1 / e.score
		}
		sel.insert(e)
	}
}

// threshold returns a score; an agent that does not exceed it cannot be
// selected.
func (sel *selection) threshold(a agentEntry, second bool) float64 {
	z := &sel.zoneBest[a.zone%zonesMax]
	if z.agent.num == 0 || sel.ntop < topMax {
		return 0
	}
	low := min(z.score, sel.top[topMax-1].score)
	switch {
	case !second:
		return low
	case low < 0:
		return -1 / low
	default:
		return math.Inf(1)
	}
}

// insert adds an agent if its score is among the best.
func (sel *selection) insert(e scoredAgent) {
	if z := &sel.zoneBest[e.agent.zone%zonesMax]; z.agent.num == 0 || e.score > z.score {
		*z = e
	}
	if sel.ntop == topMax && e.score <= sel.top[topMax-1].score {
		return
	}
	i := min(sel.ntop, topMax-1)
	for ; i > 0 && sel.top[i-1].score < e.score; i-- {
		sel.top[i] = sel.top[i-1]
	}
	sel.top[i] = e
	sel.ntop = min(sel.ntop+1, topMax)
}

// appendBest appends up to n agents, best first.
func (sel *selection) appendBest(dst []uint32, n int) []uint32 {
	start := len(dst)
	var taken [topMax + zonesMax]agentEntry
	for len(dst)-start < n {
		next, ok := sel.next(taken[:len(dst)-start])
		if !ok {
			break
		}
		taken[len(dst)-start] = next
		dst = append(dst, next.num)
	}
	return dst
}

// next returns the next agent of a chain: preferably one in an availability
// zone that has no agent in the chain yet, else one on a host that has none,
// else any.
func (sel *selection) next(taken []agentEntry) (agentEntry, bool) {
	if len(taken) == 0 {
		return sel.top[0].agent, sel.ntop > 0
	}
	var best scoredAgent
	rank := -1
	consider := func(e scoredAgent) {
		r := diversity(e.agent, taken)
		if r > rank || r == rank && r >= 0 && e.score > best.score {
			best, rank = e, r
		}
	}
	for i := range sel.zoneBest {
		if sel.zoneBest[i].agent.num != 0 {
			consider(sel.zoneBest[i])
		}
	}
	for i := range sel.ntop {
		consider(sel.top[i])
	}
	return best.agent, rank >= 0
}

// diversity ranks an agent against the agents already taken: 2 if it is in
// another availability zone than all of them, 1 if it is on another host, 0 if
// it is on the same host as one of them, -1 if it is already taken.
func diversity(a agentEntry, taken []agentEntry) int {
	rank := 2
	for _, t := range taken {
		switch {
		case t.num == a.num:
			return -1
		case t.host == a.host && t.zone == a.zone:
			rank = 0
		case t.zone == a.zone:
			rank = min(rank, 1)
		}
	}
	return rank
}
