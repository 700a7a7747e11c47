package cropaque

import (
	"math"
	"net/netip"
	"time"
)

const (
	// failShare is the weight of one request in the share that fails: four
	// failures in a row bring it over a half.
	failShare = 0.2
	// fadeShare is what remains of the share after each sweep: a backend server
	// that got no requests because all failed is tried again after 2.3 s.
	fadeShare = 0.8
	// failMin is the share that a healthy one may show for its smallest answers.
	failMin = 0.1
	// oddSpread is how many standard deviations of the logarithm an answer's
	// size or time must be below the usual one to count as a failure: an error
	// page is much smaller than an answer or comes much faster, and one answer in
	// a thousand is as small.
	oddSpread = 3.1
	// sizeSpread and timeSpread are the least deviations, for answers that are
	// all alike. A backend server that warms up, or that is given to others less,
	// may answer three times faster and is well; an error comes in less than a
	// fifth of the usual time.
	sizeSpread = 0.15
	timeSpread = 0.52
	// usualMin is how many answers make a usual one.
	usualMin = 20
	// usualWeight is the weight of a new answer in what is usual, and oddWeight
	// that of an odd time: a change that lasts becomes usual.
	usualWeight = 0.05
	oddWeight   = 0.01
)

// health tells from the outside how a backend server does: it answers the load
// pattern of one that fails quickly while its own health check is good, which
// looks idle and would attract most flows. What answers say is not read; only
// their size, their time and their end count.
type health struct {
	share float64
	// usual holds what answers are like by the address that was asked.
	usual map[netip.AddrPort]*usual
}

// usual is what answers of an address are like.
type usual struct {
	size, took spread
}

// spread is the average of the logarithm of a figure, and its variance.
type spread struct {
	mean, variance float64
	n              int
}

// odd says whether a logarithm is far below the usual one.
func (s *spread) odd(x, least float64) bool {
	return s.n >= usualMin && x < s.mean-oddSpread*max(least, math.Sqrt(s.variance))
}

// add takes a logarithm into the average.
func (s *spread) add(x, weight float64) {
	s.n++
	off := x - s.mean
	weight = max(weight, 1/float64(s.n))
	s.variance = (1 - weight) * (s.variance + weight*off*off)
	s.mean += weight * off
}

// failed counts a request without an answer.
func (h *health) failed() { h.share += failShare * (1 - h.share) }

// answered counts an answer of a size in bytes that took a time, and says
// whether it looks like a proper one.
func (h *health) answered(service netip.AddrPort, size int, took time.Duration) bool {
	if h.usual == nil {
		h.usual = map[netip.AddrPort]*usual{}
	}
	u := h.usual[service]
	if u == nil {
		u = &usual{}
		h.usual[service] = u
	}
	logSize, logTook := math.Log(float64(size+1)), math.Log(float64(took.Microseconds()+1))
	switch {
	case u.size.odd(logSize, sizeSpread):
		h.failed()
		return false
	case u.took.odd(logTook, timeSpread):
		u.took.add(logTook, oddWeight)
		h.failed()
		return false
	}
	u.size.add(logSize, usualWeight)
	u.took.add(logTook, usualWeight)
	h.share -= failShare * h.share
	return true
}

// fade forgets a part of what failed.
func (h *health) fade() { h.share *= fadeShare }

// failing returns the share in thousandths.
func (h *health) failing() int { return int(h.share * 1000) }
