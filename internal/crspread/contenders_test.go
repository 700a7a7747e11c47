package crspread_test

import (
	"time"

	"cardamomring.dev/internal/crspread"
)

// question is a flow to be placed.
type question struct {
	chooser    int
	servers    []int
	candidates []crspread.Candidate
	kept       bool
}

// contender returns the index of the candidate that a rule chooses.
type contender func(r *replay, q question) int

const (
	// momentTTL is how long the former rule used a report.
	momentTTL = 300 * time.Millisecond
	// offerTTL is how long an idle slot is offered to one chooser, in seconds.
	offerTTL = 0.1
	// poolTTL is how long an answer stays in a chooser's pool, in seconds.
	poolTTL = 0.25
)

// contenders are the rules that were weighed.
var contenders = []struct {
	name   string
	choose contender
}{
	{"all-knowing", chooseKnowing},
	{"random", func(r *replay, q question) int { return r.rnd.IntN(len(q.candidates)) }},
	{"former rule", chooseFormer},
	{"least report", chooseLeast},
	{"two sampled", chooseTwo},
	{"idle offered", chooseOffered},
	{"small pool", choosePool},
	{"spread", chooseSpread},
}

func chooseSpread(r *replay, q question) int {
	return crspread.Pick(crspread.Weigh(q.candidates, crspread.Flow{Kept: q.kept}), r.rnd.Float64())
}

// least returns the candidate with the least cost.
func least(q question, cost func(i int, c crspread.Candidate) float64) int {
	best, lowest := 0, 0.0
	for i, c := range q.candidates {
		if v := cost(i, c); i == 0 || v < lowest {
			best, lowest = i, v
		}
	}
	return best
}

// chooseKnowing places by the true state: flows of a request where they wait least,
// kept flows by the capacity of the servers.
func chooseKnowing(r *replay, q question) int {
	return least(q, func(i int, c crspread.Candidate) float64 {
		s := r.all[q.servers[i]]
		busy, slots := float64(s.running+len(s.queue)), float64(s.slots)
		if q.kept {
			return float64(s.kept+1)/slots/s.speed + c.Price.Seconds()/s.latency
		}
		return s.latency*(max(0, busy+1-slots)/slots+busy/slots/2) + c.Price.Seconds()
	})
}

func chooseFormer(r *replay, q question) int {
	return least(q, func(_ int, c crspread.Candidate) float64 {
		slots, latency := float64(max(1, c.Slots)), c.Latency.Seconds()
		if latency <= 0 {
			latency = meanWork
		}
		busy := float64(c.Placed)
		if c.Age < momentTTL {
			busy += float64(c.Busy)
		}
		excess := max(0, busy+1-slots) / slots
		return latency*(1+excess+r.rnd.Float64()/2+busy/slots/2) + c.Price.Seconds()
	})
}

// reported returns the load that was reported, whatever its age.
func reported(c crspread.Candidate) float64 {
	return float64(c.Busy+c.Placed)/float64(max(1, c.Slots)) + c.Price.Seconds()/meanWork
}

func chooseLeast(_ *replay, q question) int {
	return least(q, func(_ int, c crspread.Candidate) float64 { return reported(c) })
}

func chooseTwo(r *replay, q question) int {
	a, b := r.rnd.IntN(len(q.candidates)), r.rnd.IntN(len(q.candidates))
	if reported(q.candidates[b]) < reported(q.candidates[a]) {
		return b
	}
	return a
}

// offerIdle offers a server's idle slot to one chooser.
func (r *replay) offerIdle(s *server) {
	for i, other := range r.all {
		if other == s {
			r.pools[[2]int{r.rnd.IntN(r.choosers), i}] = r.now + offerTTL
			return
		}
	}
}

// chooseOffered takes an idle slot that was offered to the chooser, else any server.
func chooseOffered(r *replay, q question) int {
	for i, n := range q.servers {
		key := [2]int{q.chooser, n}
		if r.pools[key] > r.now {
			delete(r.pools, key)
			return i
		}
	}
	return r.rnd.IntN(len(q.candidates))
}

// choosePool takes the least loaded of the answers that are recent, twice each.
func choosePool(r *replay, q question) int {
	best := -1
	for i, c := range q.candidates {
		if c.Age.Seconds() < poolTTL && c.Placed < 2 && (best < 0 || reported(c) < reported(q.candidates[best])) {
			best = i
		}
	}
	if best < 0 {
		return r.rnd.IntN(len(q.candidates))
	}
	return best
}
