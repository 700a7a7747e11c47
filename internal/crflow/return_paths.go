package crflow

import (
	"net/netip"
	"time"
)

const (
	// returnFresh is how long the balancer that forwarded a flow's last
	// datagram is taken to be alive, after anything was heard from it.
	returnFresh = 300 * time.Millisecond
	// returnRecent and returnLately tell which other balancers are tried
	// first when that one is silent.
	returnRecent = time.Second
	returnLately = 10 * time.Second
	// returnKeep is how long a silent balancer is remembered.
	returnKeep = 10 * time.Minute
	// returnsMax bounds the balancers that are remembered.
	returnsMax = 64
)

// returns remembers which balancers have forwarded anything to this agent,
// and when. A caller that waits for an answer sends nothing: if the balancer
// of its last datagram is lost, its answer must find another way, or neither
// side would ever learn of it. The zero value is empty.
type returns struct {
	known []heard
	next  int
}

// heard is a balancer's return address and when it last forwarded.
type heard struct {
	addr netip.AddrPort
	at   time.Time
}

// note records that a balancer has forwarded something.
func (r *returns) note(addr netip.AddrPort, now time.Time) {
	oldest := 0
	for i := range r.known {
		if r.known[i].addr == addr {
			r.known[i].at = now
			return
		}
		if r.known[i].at.Before(r.known[oldest].at) {
			oldest = i
		}
	}
	if len(r.known) < returnsMax {
		r.known = append(r.known, heard{addr: addr, at: now})
		return
	}
	r.known[oldest] = heard{addr: addr, at: now}
}

// pick returns the way of an answer to a flow whose last datagram came by
// own. When own has been silent, it takes turns among those heard last.
func (r *returns) pick(own netip.AddrPort, now time.Time) netip.AddrPort {
	for _, h := range r.known {
		if h.addr == own && now.Sub(h.at) <= returnFresh {
			return own
		}
	}
	for _, within := range []time.Duration{returnRecent, returnLately, returnKeep} {
		if addr, ok := r.turn(within, now); ok {
			return addr
		}
	}
	return own
}

// turn returns the next balancer that was heard within a time.
func (r *returns) turn(within time.Duration, now time.Time) (netip.AddrPort, bool) {
	for i := range r.known {
		h := r.known[(r.next+i)%len(r.known)]
		if now.Sub(h.at) <= within {
			r.next = (r.next + i + 1) % len(r.known)
			return h.addr, true
		}
	}
	return netip.AddrPort{}, false
}
