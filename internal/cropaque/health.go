package cropaque

import (
	"math"
	"net/netip"
)

const (
	// failShare is the weight of one request in the share that fails: four
	// failures in a row bring it over a half.
	failShare = 0.2
	// fadeShare is what remains of the share after each sweep: a backend server
	// that got no requests because all failed is tried again after 1.6 s.
	fadeShare = 0.7
	// failMin is the share that a healthy one may show for its smallest answers.
	failMin = 0.1
	// oddSpread is how many standard deviations of the logarithm of its size an
	// answer must be below the usual one to count as a failure: an error page is
	// much smaller than an answer, and one answer in a thousand is as small.
	oddSpread = 3.1
	// spreadMin is the least deviation, for answers that are all alike.
	spreadMin = 0.15
	// usualMin is how many answers make a usual size.
	usualMin = 20
	// usualWeight is the weight of a new answer in the usual size.
	usualWeight = 0.05
)

// health tells from the outside how a backend server does: it answers the load
// pattern of one that fails quickly while its own health check is good, which
// looks idle and would attract most flows. What answers say is not read; only
// their size and their end count.
type health struct {
	share float64
	// sizes holds the usual size of an answer by the address that was asked.
	sizes map[netip.AddrPort]*usual
}

// usual is the average of the logarithm of the size of answers, and its
// variance.
type usual struct {
	mean, variance float64
	n              int
}

// failed counts a request without an answer.
func (h *health) failed() { h.share += failShare * (1 - h.share) }

// answered counts an answer of a size in bytes.
func (h *health) answered(service netip.AddrPort, size int) {
	if h.sizes == nil {
		h.sizes = map[netip.AddrPort]*usual{}
	}
	u := h.sizes[service]
	if u == nil {
		u = &usual{}
		h.sizes[service] = u
	}
	off := math.Log(float64(size+1)) - u.mean
	if u.n >= usualMin && off < -oddSpread*max(spreadMin, math.Sqrt(u.variance)) {
		h.failed()
		return
	}
	u.n++
	weight := max(usualWeight, 1/float64(u.n))
	u.variance = (1 - weight) * (u.variance + weight*off*off)
	u.mean += weight * off
	h.share -= failShare * h.share
}

// fade forgets a part of what failed.
func (h *health) fade() { h.share *= fadeShare }

// failing returns the share in thousandths.
func (h *health) failing() int { return int(h.share * 1000) }
