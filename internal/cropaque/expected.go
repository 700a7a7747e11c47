package cropaque

import (
	"time"

	"cardamomring.dev/pkg/crdoc"
)

// expected is how long an agent is expected to take for another request, in parts.
type expected struct {
	// mean is the average time of a request there, in nanoseconds.
	mean float64
	// excess is the load beyond the slots, as a share of them.
	excess float64
	// contention is for the last free slots, in nanoseconds: when nearly all are
	// taken, they may be gone when the offer arrives.
	contention float64
	// failures and zone are the prices of failures and of crossing zones.
	failures, zone time.Duration
}

// expect estimates how long an agent takes for another request.
func (s *Steering) expect(now time.Time, p *peer, route *crdoc.Route) expected {
	slots, meanLatency := max(1, p.load.Slots), p.load.MeanLatency
	if meanLatency <= 0 {
		meanLatency = defaultLatency
	}
	inFlight := float64(p.offersSinceReport)
	if now.Sub(p.loadReportedAt) < loadReportTTL {
		inFlight += float64(p.load.Busy + p.load.Queued)
	}
	return expected{
		mean: float64(meanLatency), excess: max(0, inFlight+1-float64(slots)) / float64(slots),
		contention: float64(meanLatency) * inFlight / float64(slots) / 2,
		failures:   s.failurePrice(now, p, route), zone: s.zonePrice(p, route),
	}
}

// total returns the expected latency with a random part, so that balancers with the
// same reports choose different agents: random is from 0 to 1.
func (e expected) total(random float64) time.Duration {
	d := e.mean * (1 + e.excess + random/2)
	d += e.contention
	return time.Duration(d) + e.failures + e.zone
}
