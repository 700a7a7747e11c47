package cropaque

import "time"

// phase is the stage of a flow on a balancer.
type phase int

const (
	// phaseOpening means that no agent has taken the flow yet.
	phaseOpening phase = iota
	// phaseOwned means that the flow has an owner.
	phaseOwned
	// phaseLookup means that agents are being asked for the owner.
	phaseLookup
	// phaseUnowned means that no owner was found.
	phaseUnowned
)

// balancerFlow is the state of a flow on a balancer.
type balancerFlow struct {
	key   Key
	phase phase
	owner *peer
	// callerISN is the caller's initial sequence number, if openSeen is set:
	// this balancer got the opening packet.
	callerISN uint32
	openSeen  bool
	// copies counts the opening packets of the flow that this balancer got.
	copies int
	// openPacket holds the opening packet until an agent has taken the flow.
	openPacket []byte
	// pending holds later packets during a lookup of the owner.
	pending [][]byte
	// offered are the agents that got an offer since the flow began.
	offered []*peer
	// asked are the agents that got an offer in this round or a lookup,
	// answered those that have answered a lookup, and candidates those that
	// may own the flow.
	asked, answered, candidates []*peer
	// scope is which agents the lookup has asked so far.
	scope lookupScope
	// tentative is set while the owner is an agent that may own the flow, as found
	// by the lookup that began at lookedUpAt.
	tentative  bool
	lookedUpAt time.Time
	// otherTakers are agents that took the flow after its owner had.
	otherTakers []*peer
	// turnWait is how long the flow waited for its turn on the link.
	turnWait time.Duration
	// mayQueue marks the round whose offers may be queued by an agent.
	mayQueue bool
	// agentFull is set when an agent had no free slot in this round.
	agentFull bool
	// arrivedAt is the time of the first packet, lastPacketAt that of the
	// latest, and unownedSince when all agents first denied ownership.
	arrivedAt, lastPacketAt, unownedSince time.Time
	callerAck                             uint32
	opened, ended                         bool
	attempts                              int
	timerAt                               time.Time
}

// recordPacket updates a flow from a packet of its caller.
func (f *balancerFlow) recordPacket(p Packet) {
	if p.Ack {
		f.callerAck = p.Acked
	}
	f.opened = true
	f.ended = f.ended || p.End || p.Reset
}

// sawAllCopies reports whether all opening packets that the caller has sent came
// through this balancer. Otherwise the flow may be open at an agent to which another
// balancer has offered it.
func (f *balancerFlow) sawAllCopies(now time.Time) bool {
	sent := 1
	for _, delay := range copyDelays {
		if now.Sub(f.arrivedAt) >= delay {
			sent++
		}
	}
	return f.copies >= sent
}

// copyDelays are the times after its first opening packet at which a caller repeats
// it.
var copyDelays = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
