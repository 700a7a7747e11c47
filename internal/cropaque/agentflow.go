package cropaque

import (
	"net/netip"
	"time"
)

const (
	// maxAgentFlows limits the flows that an agent keeps, at about 400 bytes
	// each.
	maxAgentFlows = 20_000
	// ackSlack is how far a backend server's sequence numbers may exceed its
	// data: the opening and the end of the connection take one each.
	ackSlack = 2
)

// offerFrom identifies an offer: the balancer that sent it and its number there.
type offerFrom struct {
	balancer netip.AddrPort
	number   uint64
}

// agentFlow is the state of a flow on an agent.
type agentFlow struct {
	key Key
	// balancer is the balancer that sent the latest packet of the flow.
	balancer netip.AddrPort
	// offer is the latest offer of the flow. A refusal answers it.
	offer offerFrom
	// callerISN and serverISN are the initial sequence numbers of both ends.
	callerISN, serverISN uint32
	// sentBytes is how many bytes the backend server has sent since serverISN.
	// A caller that acknowledges more has opened the flow at another backend
	// server.
	sentBytes uint32
	// handshakeAnswered is set when the backend server has answered the
	// opening packet, opened when the caller has acknowledged that answer.
	handshakeAnswered, opened bool
	// unverified marks a flow whose opening this agent hasn't seen; the
	// backend server may hold the flow.
	unverified bool
	slot       slotUse
	// ended is set when the flow was closed or reset.
	ended bool
	// callerAck is the caller's latest acknowledgement number.
	callerAck uint32
	// requests counts the requests of the flow, answeredAt is when the latest one
	// was answered. useKnown is set when it shows whether the caller keeps the
	// flow for many requests, and kept when the flow is counted as such;
	// runningAsKept is set while a request of it counts as one of a kept flow.
	requests                      int
	answeredAt                    time.Time
	useKnown, kept, runningAsKept bool
	// responseBytes is the size of the answer to the current request so far.
	responseBytes int
	// priority is the priority of the flow's route; 0 is the most urgent.
	priority int
	// target is the latency that callers of the route expect, timeout how long
	// they wait at most.
	target, timeout time.Duration
	// hintsSent counts the hints that were sent for the flow after the view whose
	// growth of members has the number hintsFor.
	hintsSent, hintsFor int
	// countedWork is the work that was counted for the current request in advance.
	countedWork time.Duration
	// excess is how much work the account of a queued flow got beyond its share,
	// and starved is set while the flow's route gets less than its minimum.
	excess  time.Duration
	starved bool
	// openPacket is the opening packet of a queued flow, nil for other flows.
	openPacket []byte
	// arrivedAt is the time of the caller's first packet, sentToServerAt when
	// the opening packet was sent to the backend server, lastPacketAt the time
	// of the latest packet, and requestAt when the current request began.
	arrivedAt, sentToServerAt, lastPacketAt, requestAt time.Time
}

// openedElsewhere reports whether an acknowledgement shows that the caller
// opened the flow at another backend server: this one has sent less, or has
// sent nothing yet.
func (f *agentFlow) openedElsewhere(acked uint32) bool {
	if f.handshakeAnswered {
		return acked-f.serverISN > f.sentBytes+ackSlack
	}
	return !f.opened && !f.unverified
}

// recordSequence updates a flow from the numbers of a packet of its backend server. The
// answer to another copy of the opening packet changes nothing.
func (f *agentFlow) recordSequence(p Packet) {
	if p.Open && p.Ack && (!f.handshakeAnswered || f.serverISN != p.Seq) {
		f.serverISN, f.sentBytes, f.handshakeAnswered = p.Seq, 0, true
		return
	}
	if sent := p.Seq + uint32(p.Size) - f.serverISN; f.handshakeAnswered && int32(sent-f.sentBytes) > 0 {
		f.sentBytes = sent
	}
}

// addFlow stores a flow. A former flow of the same caller port gives its slot
// back: its caller no longer waits for the answer. At the limit an ended flow
// is evicted.
func (g *Gate) addFlow(f *agentFlow) {
	if former := g.flows[f.key]; former != nil {
		g.removeFlow(former)
	}
	if len(g.flows) >= maxAgentFlows {
		for key, old := range g.flows {
			if old.ended {
				delete(g.flows, key)
				break
			}
		}
	}
	g.flows[f.key] = f
}

// removeFlow releases a flow's slot and deletes the flow.
func (g *Gate) removeFlow(f *agentFlow) {
	g.setSlot(f, slotNone)
	f.ended = true
	delete(g.flows, f.key)
}
