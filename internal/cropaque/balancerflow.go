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
	// phaseRejected means that no agent holds the flow and its caller was reset.
	phaseRejected
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
	// copyAges holds the ages of the opening packets that this balancer got, and
	// firstSentBy is when the caller had sent the first of all.
	copyAges    []time.Duration
	firstSentBy time.Time
	// openPacket holds the opening packet until the flow is open.
	openPacket []byte
	// pending holds later packets during a lookup of the owner.
	pending [][]byte
	// offers are the agents that got an offer since the flow began, and offerCount
	// counts their offers.
	offers     []offer
	offerCount uint64
	// rejection is why the flow's opening was ended, if it was, and repeatedOffers
	// counts the offers that were repeated for that.
	rejection      Decision
	repeatedOffers int
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
	f.opened, f.openPacket = true, nil
	f.ended = f.ended || p.End || p.Reset
}
