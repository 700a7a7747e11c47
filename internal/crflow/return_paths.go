package crflow

import (
	"net/netip"
	"time"
)

const (
	// balancerTimeout is how long the balancer that forwarded a flow's last
	// datagram counts as alive after its last envelope.
	balancerTimeout = 300 * time.Millisecond
	// After balancerTimeout, another balancer is picked: among those seen within
	// firstChoiceAge, otherwise secondChoiceAge, otherwise maxReturnPathAge.
	firstChoiceAge   = time.Second
	secondChoiceAge  = 10 * time.Second
	maxReturnPathAge = 10 * time.Minute
	// maxReturnPaths bounds the number of recorded balancers.
	maxReturnPaths = 64
)

// returnPaths records which balancers have sent envelopes to this agent, and when.
// A caller that waits for an answer sends no datagrams. If the balancer that
// forwarded its last datagram fails, the answer must go through another balancer,
// because otherwise neither side would detect the failure. The zero value is
// empty and ready to use.
type returnPaths struct {
	paths []returnPath
	next  int
}

// returnPath is the return address of a balancer and the time of its last
// envelope.
type returnPath struct {
	addr     netip.AddrPort
	lastSeen time.Time
}

// record records an envelope of a balancer. It replaces the least recently seen
// balancer if the list is full.
func (r *returnPaths) record(addr netip.AddrPort, now time.Time) {
	oldest := 0
	for i := range r.paths {
		if r.paths[i].addr == addr {
			r.paths[i].lastSeen = now
			return
		}
		if r.paths[i].lastSeen.Before(r.paths[oldest].lastSeen) {
			oldest = i
		}
	}
	if len(r.paths) < maxReturnPaths {
		r.paths = append(r.paths, returnPath{addr: addr, lastSeen: now})
		return
	}
	r.paths[oldest] = returnPath{addr: addr, lastSeen: now}
}

// pick returns preferred if that balancer was seen within balancerTimeout.
// Otherwise it rotates among the most recently seen balancers. preferred is the
// balancer that forwarded the flow's last datagram.
func (r *returnPaths) pick(preferred netip.AddrPort, now time.Time) netip.AddrPort {
	for _, p := range r.paths {
		if p.addr == preferred && now.Sub(p.lastSeen) <= balancerTimeout {
			return preferred
		}
	}
	for _, maxAge := range []time.Duration{firstChoiceAge, secondChoiceAge, maxReturnPathAge} {
		if addr, ok := r.nextWithin(maxAge, now); ok {
			return addr
		}
	}
	return preferred
}

// nextWithin returns the next balancer in rotation that was seen within maxAge.
func (r *returnPaths) nextWithin(maxAge time.Duration, now time.Time) (netip.AddrPort, bool) {
	for i := range r.paths {
		p := r.paths[(r.next+i)%len(r.paths)]
		if now.Sub(p.lastSeen) <= maxAge {
			r.next = (r.next + i + 1) % len(r.paths)
			return p.addr, true
		}
	}
	return netip.AddrPort{}, false
}
