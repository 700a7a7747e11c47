package crspread

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// momentLatencies is how many average latencies a reported moment lasts: the
	// requests in progress and those that wait behind them have then been answered.
	momentLatencies = 4
	// lastingTime is how long lasting load stays as reported. Flows that stay open
	// do so for tens of seconds; servers that turn slow do it within a few.
	lastingTime = 5 * time.Second
	// maxShare is the share of busy slots up to which the expected wait is
	// computed; beyond it the wait grows by steepWait latencies a share, so that
	// overloaded candidates still differ.
	maxShare, steepWait = 0.95, 10
	// priceSteps is the number of steps in which a price is turned into a load:
	// enough for a hundredth of a share.
	priceSteps = 10
	// defaultLatency and defaultSlots are assumed when no candidate has reported.
	defaultLatency, defaultSlots = 40 * time.Millisecond, 2
	// measuredShare is the weight of the measured load of kept flows. The rest is
	// that of their number, which a few seconds of requests don't blur.
	measuredShare = 0.5
	// minFlowLoad is the least load of a kept flow in slots, so that the first ones
	// are spread before any has sent much.
	minFlowLoad = 0.02
)

// known is what the candidates have in common: the prior for those of which little
// is known.
type known struct {
	latency time.Duration
	slots   float64
	// keptShare and otherShare are the average shares of slots that are busy with
	// requests of kept flows and with others.
	keptShare, otherShare float64
	// flowLoad is how many slots one kept flow keeps busy on average.
	flowLoad float64
}

// Weigh returns for each candidate how it was weighed; the odds add up to 1. It
// changes nothing.
//
// It is made for many choosers that each hear of a server about once a second, and
// for flows that stay on their server for many requests: a report of the moment is
// then nearly always wrong, and choosing the best of old reports makes all choose the
// same server. The older a report, the less its moment counts and the more what
// lasts: the kept flows of the server. What all choosers place meanwhile is poured
// over this base until it is level, and the odds are in proportion to what each
// candidate gets of it, as in M. Dahlin, "Interpreting Stale Load Information". A
// price, such as that of another zone, is paid once the nearer candidates are
// expected to delay a request by more.
func Weigh(candidates []Candidate, flow Flow) []Part {
	parts := make([]Part, len(candidates))
	slots := make([]float64, len(candidates))
	k := commonKnowledge(candidates)
	// poured is the load in slots that is placed while the reports age.
	poured := 1.0
	if flow.Kept {
		poured = k.flowLoad
	}
	for i, c := range candidates {
		var others float64
		parts[i], slots[i], others = k.weigh(c, flow)
		poured += others
	}
	setOdds(parts, slots, poured)
	return parts
}

// Pick returns the index of the part that a number from 0 to 1 selects by the odds,
// or -1 if there are no parts.
func Pick(parts []Part, random float64) int {
	last := -1
	for i, p := range parts {
		if p.Odds <= 0 {
			continue
		}
		last = i
		if random -= p.Odds; random < 0 {
			return i
		}
	}
	return last
}

// commonKnowledge returns the averages of the candidates that have reported.
func commonKnowledge(candidates []Candidate) known {
	var slots, latency, busy, keptBusy, kept, n float64
	for _, c := range candidates {
		if c.Slots > 0 && c.Latency > 0 {
			n++
			slots += float64(c.Slots)
			latency += c.Latency.Seconds()
			busy += c.LastingBusy
			keptBusy += c.KeptBusy
			kept += float64(c.Kept)
		}
	}
	if n == 0 {
		return known{latency: defaultLatency, slots: defaultSlots, flowLoad: minFlowLoad}
	}
	return known{
		latency: time.Duration(latency / n * float64(time.Second)), slots: slots / n,
		keptShare: keptBusy / slots, otherShare: max(0, busy-keptBusy) / slots,
		flowLoad: max(minFlowLoad, keptBusy/max(1, kept)),
	}
}

// weigh returns how a candidate is weighed, without its odds, its slots, and the load
// in slots that others are expected to have placed there since its report.
func (k known) weigh(c Candidate, flow Flow) (p Part, slots, others float64) {
	slots, latency := float64(c.Slots), c.Latency
	if c.Slots <= 0 || latency <= 0 {
		slots, latency = k.slots, k.latency
		c.Report = Report{LastingBusy: (k.keptShare + k.otherShare) * slots, KeptBusy: k.keptShare * slots}
		c.Kept = int(math.Round(c.KeptBusy / k.flowLoad))
	}
	// A slow server keeps more slots busy for the same flow.
	flowLoad := k.flowLoad * float64(latency) / float64(k.latency)
	trust := math.Exp(-float64(c.Age) / float64(momentLatencies*latency))
	fade := math.Exp(-float64(c.Age) / float64(lastingTime))
	kept := measuredShare*c.KeptBusy + (1-measuredShare)*flowLoad*float64(c.Kept)
	lasting := fade*kept + (1-fade)*k.keptShare*slots
	if flow.Kept {
		p.Base = (lasting + flowLoad*float64(c.Placed)) / slots
		// A server whose slots are all taken refuses the flow or lets it wait.
		p.Trust = trust
		p.Base += trust * max(0, float64(c.Busy+c.Placed+1)-slots) / slots
		others = flowLoad * float64(c.KeptRate) * min(c.Age, lastingTime).Seconds()
	} else {
		p.Trust = trust
		p.Base = (p.Trust*float64(c.Busy+c.Placed) + (1-p.Trust)*lasting) / slots
		others = (1 - p.Trust) * max(0, c.LastingBusy-c.KeptBusy)
	}
	if c.Price > 0 {
		// Those for whom it has no price place them there again.
		p.Base += others / slots
		others = 0
	}
	// The whole load decides how long a request waits.
	whole := p.Base
	switch {
	case flow.Kept:
		whole += k.otherShare
	case c.Price <= 0:
		whole += (1 - p.Trust) * k.otherShare
	}
	wait := expectedWait(whole, slots)
	p.Wait = time.Duration(wait * float64(latency))
	p.PriceLoad = loadOfWait(wait+float64(c.Price)/float64(latency), whole, slots) - whole
	return p, slots, others
}

// expectedWait returns the expected wait at a server whose slots are busy for a share
// of the time, in latencies (Sakasegawa's approximation of M/M/c).
func expectedWait(share, slots float64) float64 {
	bounded := min(share, maxShare)
	wait := math.Pow(bounded, math.Sqrt(2*(slots+1))-1) / (slots * (1 - bounded))
	return wait + steepWait*max(0, share-maxShare)
}

// loadOfWait returns the share of busy slots, at least low, at which a wait is
// expected.
func loadOfWait(wait, low, slots float64) float64 {
	if expectedWait(low, slots) >= wait {
		return low
	}
	if atMax := expectedWait(maxShare, slots); low >= maxShare || wait >= atMax {
		return maxShare + (wait-atMax)/steepWait
	}
	high := maxShare
	for range priceSteps {
		if mid := (low + high) / 2; expectedWait(mid, slots) < wait {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// setOdds pours a load in slots over the candidates until they are level, and gives
// each the odds of its part.
func setOdds(parts []Part, slots []float64, poured float64) {
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	height := func(i int) float64 { return parts[i].Base + parts[i].PriceLoad }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(height(a), height(b)) })
	var level, width, below float64
	for n, i := range order {
		if n > 0 && height(i) >= level {
			break
		}
		width += slots[i]
		below += slots[i] * height(i)
		level = (poured + below) / width
	}
	for i := range parts {
		parts[i].Odds = max(0, level-height(i)) * slots[i] / poured
	}
}
