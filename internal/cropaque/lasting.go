package cropaque

import (
	"math"
	"net/netip"
	"time"
)

const (
	// lastingWindow is the time over which the load of an agent is averaged: as
	// long as the time between two reports to one balancer.
	lastingWindow = 1500 * time.Millisecond
	// keptIdleTime is how long a flow stays open after an answer until it
	// is taken for one that its caller keeps. A caller that sends one request
	// closes the flow within a round trip.
	keptIdleTime = 100 * time.Millisecond
	// evidenceDecay is the factor by which each sweep reduces what is known of
	// the use of a route: half is left after 3 s.
	evidenceDecay = 0.95
	// sweepsPerSecond is the number of sweeps in a second.
	sweepsPerSecond = int(time.Second / sweepInterval)
	// hundredths is the unit of averages in frames.
	hundredths = 100
)

// lastingLoad is what stays true of a backend server's load for longer than a report
// takes to reach all balancers. It is made for flows that callers keep open for many
// requests: they are placed once, and their load stays.
type lastingLoad struct {
	// busy is the average number of requests in progress or queued, keptBusy the
	// part on kept flows, and at when both were computed.
	busy, keptBusy float64
	at             time.Time
	// kept counts the kept flows that are open. keptOpened counts those that were
	// opened since the last sweep and between the sweeps before it.
	kept       int
	keptOpened [1 + sweepsPerSecond]int
	// keptRunning counts the requests in progress on kept flows.
	keptRunning int
	routes      map[netip.AddrPort]*routeUse
}

// routeUse is how callers use the flows of a route: recent numbers of flows that were
// kept after their first answer, and of those that ended with it.
type routeUse struct {
	kept, single float64
}

// observe adds the time since the last call, in which the load was as given.
func (l *lastingLoad) observe(now time.Time, busy int) {
	weight := 1 - math.Exp(-float64(now.Sub(l.at))/float64(lastingWindow))
	l.busy += weight * (float64(busy) - l.busy)
	l.keptBusy += weight * (float64(l.keptRunning) - l.keptBusy)
	l.at = now
}

// keeps reports whether callers keep most flows of a route open.
func (l *lastingLoad) keeps(route netip.AddrPort) bool {
	use := l.routes[route]
	return use != nil && use.kept > use.single
}

// markKept counts a flow as kept.
func (l *lastingLoad) markKept(f *agentFlow) {
	if !f.kept {
		f.kept = true
		l.kept++
		l.keptOpened[0]++
	}
}

// learn records how the caller of a flow uses it, once that shows.
func (l *lastingLoad) learn(now time.Time, f *agentFlow) {
	kept := f.requests > 1 || f.slot == slotNone && !f.ended && !f.answeredAt.IsZero() && now.Sub(f.answeredAt) >= keptIdleTime
	if f.useKnown || !kept && !f.ended || f.requests == 0 {
		return
	}
	if l.routes == nil {
		l.routes = map[netip.AddrPort]*routeUse{}
	}
	if l.routes[f.key.Service] == nil {
		l.routes[f.key.Service] = &routeUse{}
	}
	f.useKnown = true
	if use := l.routes[f.key.Service]; kept {
		use.kept++
	} else {
		use.single++
	}
}

// sweep counts the kept flows anew.
func (l *lastingLoad) sweep(now time.Time, flows map[Key]*agentFlow) {
	for _, use := range l.routes {
		use.kept, use.single = use.kept*evidenceDecay, use.single*evidenceDecay
	}
	for _, f := range flows {
		l.learn(now, f)
	}
	l.kept = 0
	for _, f := range flows {
		switch {
		case f.ended:
		case f.kept && l.keeps(f.key.Service):
			l.kept++
		case f.useKnown && l.keeps(f.key.Service):
			l.markKept(f)
		}
	}
	copy(l.keptOpened[1:], l.keptOpened[:])
	l.keptOpened[0] = 0
}

// report adds the lasting load to a report, if there are kept flows.
func (l *lastingLoad) report(load *Load) {
	if l.kept == 0 {
		return
	}
	load.Kept = l.kept
	for _, n := range l.keptOpened[:sweepsPerSecond] {
		load.KeptRate += n
	}
	load.LastingBusy, load.KeptBusy = int(l.busy*hundredths), int(l.keptBusy*hundredths)
}
