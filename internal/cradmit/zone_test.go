package cradmit_test

import (
	"testing"
	"time"
)

const (
	// minGoodput is the smallest share of the capacity that must be served under
	// overload.
	minGoodput = 0.95
	// maxRetryShare is the largest share of requests that may be retried.
	maxRetryShare = 0.10
)

// zoneLossResult holds measurements before, during and after the loss of a third
// of a group.
type zoneLossResult struct {
	// goodput is the number of served requests divided by the number that the
	// available servers could serve.
	goodput [3]float64
	retries [3]float64
}

// runZoneLoss removes a third of the servers at the same time, moves their share
// of the requests to the others, and then brings the servers back. Each of the
// three phases is measured after its first 10 s.
func runZoneLoss(load float64) zoneLossResult {
	const phase, settleTime = 24 * time.Second, 10 * time.Second
	s := newSim()
	g := newGroup("cardamomring", s, 1, 2, 4, 1, 2, 4, 1, 2, 4)
	g.forwarding, g.retrying, g.budgeted = true, true, true
	all := g.agents
	rate := load * g.capacity()
	s.arrivals(0, 3*phase, rate, g.offer)
	var result zoneLossResult
	for i := range result.goodput {
		start := time.Duration(i) * phase
		s.runUntil(start)
		g.agents = all
		if i == 1 {
			g.agents = all[:len(all)*2/3]
		}
		s.runUntil(start + settleTime)
		g.requests, g.retries, g.done = 0, 0, 0
		s.runUntil(start + phase)
		maxDone := min(rate, g.capacity()) * (phase - settleTime).Seconds()
		result.goodput[i] = float64(g.done) / maxDone
		result.retries[i] = float64(g.retries) / float64(g.requests)
	}
	return result
}

// TestZoneLossCausesNoRetryStorm removes a zone at a load that exceeds the capacity
// of the others. These must keep serving at their capacity, and retries must not
// multiply the overload.
func TestZoneLossCausesNoRetryStorm(t *testing.T) {
	result := runZoneLoss(0.9)
	t.Logf("goodput before, during and after the loss %.3f; retries %.3f", result.goodput, result.retries)
	for i, goodput := range result.goodput {
		if goodput < minGoodput {
			t.Errorf("goodput %.3f in phase %d, want at least %.2f", goodput, i, minGoodput)
		}
		if result.retries[i] > maxRetryShare {
			t.Errorf("retries %.3f in phase %d, want at most %.2f", result.retries[i], i, maxRetryShare)
		}
	}
}
