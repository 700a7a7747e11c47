package cropaque

import (
	"math"
	"net/netip"
	"time"
)

const (
	// failureWeight is the weight of one request in the failure share: four
	// failures in a row raise the share above one half.
	failureWeight = 0.2
	// failureDecay is the factor by which each sweep reduces the failure
	// share. A backend server that got no requests because all of them failed
	// is tried again after 2.3 s.
	failureDecay = 0.8
	// ignoredFailureShare is the failure share that a healthy backend server
	// may reach because of its smallest answers.
	ignoredFailureShare = 0.1
	// outlierDeviations is how many standard deviations of the logarithm the
	// size or duration of an answer must be below the average to count as a
	// failure. An error page is much smaller than an answer or arrives much
	// faster; one proper answer in a thousand is as small.
	outlierDeviations = 3.1
	// minSizeDeviation and minDurationDeviation are the least deviations
	// assumed, for answers that are all alike. A healthy backend server may
	// answer three times faster once it has warmed up or shares its machine
	// less; an error arrives in less than a fifth of the usual time.
	minSizeDeviation     = 0.15
	minDurationDeviation = 0.52
	// minSamples is how many answers an average needs before outliers are
	// detected.
	minSamples = 20
	// sampleWeight is the weight of a new answer in the averages, and
	// outlierWeight that of an outlier in duration, so that a lasting change
	// becomes the average.
	sampleWeight  = 0.05
	outlierWeight = 0.01
)

// health estimates from the outside whether a backend server works. It detects
// a server that fails requests quickly while its own health check passes: such
// a server looks idle and would attract most flows. The content of answers is
// not read, only their size, their duration and how they end.
type health struct {
	failureShare float64
	// baselines holds the usual answers by the address that was requested.
	baselines map[netip.AddrPort]*baseline
}

// baseline describes the usual answers of an address.
type baseline struct {
	size, duration logStats
}

// logStats is the moving average and variance of a quantity's logarithm.
type logStats struct {
	mean, variance float64
	n              int
}

// isLowOutlier reports whether a logarithm is far below the average.
func (s *logStats) isLowOutlier(x, minDeviation float64) bool {
	return s.n >= minSamples && x < s.mean-outlierDeviations*max(minDeviation, math.Sqrt(s.variance))
}

// add adds a logarithm to the average.
func (s *logStats) add(x, weight float64) {
	s.n++
	deviation := x - s.mean
	weight = max(weight, 1/float64(s.n))
	s.variance = (1 - weight) * (s.variance + weight*deviation*deviation)
	s.mean += weight * deviation
}

// recordFailure counts a request without a proper answer.
func (h *health) recordFailure() { h.failureShare += failureWeight * (1 - h.failureShare) }

// recordAnswer counts an answer, with its size in bytes and its duration, and
// reports whether it looks like a proper answer.
func (h *health) recordAnswer(service netip.AddrPort, size int, duration time.Duration) bool {
	if h.baselines == nil {
		h.baselines = map[netip.AddrPort]*baseline{}
	}
	b := h.baselines[service]
	if b == nil {
		b = &baseline{}
		h.baselines[service] = b
	}
	logSize, logDuration := math.Log(float64(size+1)), math.Log(float64(duration.Microseconds()+1))
	switch {
	case b.size.isLowOutlier(logSize, minSizeDeviation):
		h.recordFailure()
		return false
	case b.duration.isLowOutlier(logDuration, minDurationDeviation):
		b.duration.add(logDuration, outlierWeight)
		h.recordFailure()
		return false
	}
	b.size.add(logSize, sampleWeight)
	b.duration.add(logDuration, sampleWeight)
	h.failureShare -= failureWeight * h.failureShare
	return true
}

// decay reduces the failure share over time.
func (h *health) decay() { h.failureShare *= failureDecay }

// failurePermille returns the failure share in thousandths.
func (h *health) failurePermille() int { return int(h.failureShare * 1000) }
