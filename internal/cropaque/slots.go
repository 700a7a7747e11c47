package cropaque

import "time"

const (
	// A caller has openTimeoutFactor times the average handshake, and at least
	// minOpenTimeout, to open its flow before the slot reserved for it is
	// released. defaultHandshake is the average before the first measurement.
	openTimeoutFactor = 3
	minOpenTimeout    = 15 * time.Millisecond
	defaultHandshake  = 10 * time.Millisecond
	// overcommitShare is how many flows may be opening beyond the slots, as a
	// share of the slots, so that slots aren't idle during the handshakes of
	// the next requests.
	overcommitShare = 0.5
)

// slotUse is a flow's claim on the slots of the backend server.
type slotUse int

const (
	// slotNone means that no request is in progress.
	slotNone slotUse = iota
	// slotReserved means that a slot is reserved for a request that hasn't
	// arrived.
	slotReserved
	// slotRunning means that a request in progress takes a slot.
	slotRunning
)

// hasFreeSlot reports whether the backend server can get another flow. A few
// flows beyond the slots may be opening, because a flow causes no work until
// its request arrives.
func (g *Gate) hasFreeSlot() bool {
	slots := g.server.Slots
	spare := max(1, int(overcommitShare*float64(slots)))
	return g.running < slots && g.running+g.reserved < slots+spare
}

// setSlot changes a flow's claim on the slots and updates the counters.
func (g *Gate) setSlot(f *agentFlow, use slotUse) {
	switch f.slot {
	case slotReserved:
		g.reserved--
	case slotRunning:
		g.running--
		if f.runningAsKept {
			f.runningAsKept = false
			g.lasting.keptRunning--
		}
	}
	f.slot = use
	switch use {
	case slotReserved:
		g.reserved++
	case slotRunning:
		g.running++
		if f.kept {
			f.runningAsKept = true
			g.lasting.keptRunning++
		}
	}
}

// releaseReservations releases the slots reserved for callers that did not
// open their flows in time. Most of these callers have gone.
func (g *Gate) releaseReservations(now time.Time) {
	timeout := max(minOpenTimeout, openTimeoutFactor*g.meanHandshake)
	for len(g.reservations) > 0 {
		f := g.reservations[0]
		if f.slot == slotReserved && now.Sub(f.sentToServerAt) < timeout {
			return
		}
		g.reservations = g.reservations[1:]
		if f.slot == slotReserved {
			g.setSlot(f, slotNone)
		}
	}
}
