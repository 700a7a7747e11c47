package cropaque

import (
	"net/netip"
	"time"
)

const (
	// averageWeight is the weight of a new measurement in a moving average.
	averageWeight = 0.1
)

// handleCarry forwards a later packet to the backend server if the flow may
// belong to it.
func (g *Gate) handleCarry(now time.Time, from netip.AddrPort, fr *Frame, p Packet) {
	key := p.KeyFromCaller()
	f := g.flows[key]
	if p.Open && (f == nil || f.callerISN != p.Seq) {
		// The balancer took the opening packet of a new flow for a copy. It is
		// admitted like any other new flow.
		g.handleOffer(now, from, fr, p)
		return
	}
	switch {
	case f == nil && g.recovering(now):
		f = &agentFlow{key: key, balancer: from, unverified: true, arrivedAt: now}
		g.addFlow(f)
	case f == nil, f.openPacket != nil, p.Ack && f.openedElsewhere(p.Acked):
		g.Reply(from, &Frame{Kind: FrameForeign, Key: key, Load: g.load(now), Data: fr.Data})
		return
	}
	f.balancer, f.lastPacketAt = from, now
	if p.Ack {
		f.callerAck = p.Acked
		if !f.opened && f.handshakeAnswered {
			f.opened = true
			g.meanHandshake += time.Duration(averageWeight * float64(now.Sub(f.sentToServerAt)-g.meanHandshake))
		}
	}
	if p.Size > 0 && !f.ended && f.slot != slotRunning {
		f.requestAt, f.responseBytes = now, 0
		f.requests++
		g.setSlot(f, slotRunning)
	}
	if p.Reset {
		f.ended = true
		g.setSlot(f, slotNone)
		g.dispatchQueued(now)
	}
	g.ToServer(fr.Data)
}

// handleSeek answers a balancer that looks up the owner of a flow. A flow that
// isn't open here yet may be open at another agent that took it as well.
func (g *Gate) handleSeek(now time.Time, from netip.AddrPort, key Key) {
	kind := FrameForeign
	f := g.flows[key]
	switch {
	case f != nil && f.opened && !f.unverified:
		kind = FrameOwn
		f.balancer = from
	case f != nil || g.recovering(now):
		kind = FrameMaybe
	}
	answer := &Frame{Kind: kind, Key: key, Load: g.load(now)}
	if hint, known := g.hints.byKey[key]; known && kind == FrameForeign {
		answer.Kind, answer.Owner = FrameElsewhere, hint.owner
	}
	g.Reply(from, answer)
}

// HandleServerPacket processes a packet of the backend server.
func (g *Gate) HandleServerPacket(now time.Time, p Packet, data []byte) {
	g.serverSeenAt = now
	g.lasting.observe(now, g.busy())
	if !g.silentSince.IsZero() {
		g.LogDecision(Decision{Event: "backend server answers again", Age: now.Sub(g.silentSince)})
		g.silentSince = time.Time{}
	}
	if p.Returned {
		g.handleReturned(now, p, data)
		return
	}
	key := p.KeyFromServer()
	f := g.flows[key]
	if _, givenBack := g.givenBack[key]; f == nil && givenBack && p.Open {
		g.LogDecision(Decision{Event: "late answer of the backend server to a flow that was given back", Key: key})
		return
	}
	if f == nil {
		f = &agentFlow{key: key, arrivedAt: now, opened: true}
		g.addFlow(f)
	}
	g.recordServerPacket(now, f, p)
	g.ToCaller(key, data)
	g.dispatchQueued(now)
}

// fullPacketBytes is the data size from which a packet may be followed by more
// of the same answer, in bytes.
const fullPacketBytes = 1200

// recordServerPacket updates a flow from a packet of its backend server.
func (g *Gate) recordServerPacket(now time.Time, f *agentFlow, p Packet) {
	// An answer on a flow whose opening this agent hasn't seen proves that the
	// backend server holds the flow.
	f.opened = f.opened || f.unverified && !p.Open && !p.Reset
	f.lastPacketAt, f.unverified = now, false
	f.responseBytes += p.Size
	f.recordSequence(p)
	switch {
	case p.Reset:
		if f.slot == slotRunning && !f.ended {
			g.health.recordFailure()
		}
		f.ended = true
		g.setSlot(f, slotNone)
	case p.End || p.Size > 0 && p.Size < fullPacketBytes:
		// A packet below the full size ends the answer.
		if f.slot == slotRunning {
			g.recordAnswer(now, f)
		}
		g.setSlot(f, slotNone)
	}
	f.ended = f.ended || p.End
}

// recordAnswer records that the request of a flow was answered.
func (g *Gate) recordAnswer(now time.Time, f *agentFlow) {
	f.answeredAt = now
	g.countWork(now, f)
	// The duration of an error is not representative of a request's latency.
	if duration := now.Sub(f.requestAt); g.health.recordAnswer(f.key.Service, f.responseBytes, duration) {
		g.recordLatency(duration)
	}
}

// recordLatency adds the duration of a request to the average.
func (g *Gate) recordLatency(d time.Duration) {
	g.meanLatency += time.Duration(averageWeight * float64(d-g.meanLatency))
}

// handleReturned handles a packet that the backend server returned. The flow of
// an opening packet is given back. A later packet of a flow that was open here
// proves that the backend server has lost the flow.
func (g *Gate) handleReturned(now time.Time, p Packet, data []byte) {
	key := p.KeyFromCaller()
	f := g.flows[key]
	if f == nil {
		return
	}
	switch {
	case p.Open && f.handshakeAnswered:
		// The backend server has accepted another copy.
		return
	case p.Open:
		g.giveBack(now, f, ReasonFull)
	case f.handshakeAnswered && f.opened:
		g.removeFlow(f)
		if f.ended {
			return
		}
		g.LogDecision(Decision{Event: "caller is reset: its backend server doesn't hold the flow", Key: key, Age: now.Sub(f.arrivedAt)})
		g.ResetFlow(key, f.callerAck)
	default:
		g.removeFlow(f)
		g.Reply(f.balancer, &Frame{Kind: FrameForeign, Key: key, Load: g.load(now), Data: g.ClearReturned(data)})
	}
	g.dispatchQueued(now)
}
