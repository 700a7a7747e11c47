package cropaque_test

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/cropaque"
)

// fullPacketBytes is the size of the data of a long request's packets.
const fullPacketBytes = 1200

// addLoad makes callers send requests at a rate during d.
func (sim *simulation) addLoad(rate float64, d time.Duration, repeatable bool) {
	for at := time.Duration(0); at < d; at += time.Duration(sim.rnd.ExpFloat64() / rate * float64(time.Second)) {
		sim.after(at, func() {
			r := &request{arrivedAt: sim.now, repeatable: repeatable}
			sim.requests = append(sim.requests, r)
			sim.startAttempt(r)
		})
	}
}

// startAttempt opens a flow for a request, and repeats the opening packet as
// callers do.
func (sim *simulation) startAttempt(r *request) {
	r.attemptCount++
	n := len(sim.attempts)
	key := cropaque.Key{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 14), byte(n >> 6)}), uint16(1024+n%64)),
		Service: routeAddr,
	}
	if r.account.IsValid() {
		key = cropaque.Key{Caller: netip.AddrPortFrom(r.account, uint16(1024+n%60_000)), Service: r.route}
	}
	att := &attempt{request: r, key: key}
	if r.kept = r.kept || sim.keepNext; r.kept {
		att.kept = true
		key.Service = keptRouteAddr
		att.key = key
	}
	sim.attempts[key] = att
	r.attempts = append(r.attempts, att)
	for _, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		sim.after(delay, func() {
			if !att.opened && !att.ended && sim.isWaiting(r) {
				sim.sendToBalancer(att, cropaque.Packet{From: key.Caller, To: key.Service, Open: true, Seq: 7, Age: delay})
			}
		})
	}
	sim.after(1400*time.Millisecond, func() {
		if !att.opened {
			sim.failAttempt(att)
		}
	})
}

// isWaiting reports whether the caller of a request still waits for its
// answer.
func (sim *simulation) isWaiting(r *request) bool {
	return r.answeredAt.IsZero() && !r.failed && sim.now.Sub(r.arrivedAt) < sim.callerTimeout
}

// sendToBalancer sends a caller's packet to the balancer that the flow's hash
// selects among those that are up.
func (sim *simulation) sendToBalancer(att *attempt, p cropaque.Packet) {
	data := sim.encode(p)
	sim.after(callerDelay, func() {
		b := sim.selectBalancer(att)
		b.receive(sim.transferTime(headerBytes+packetHeadBytes+p.Size), func() { b.steering.HandlePacket(sim.now, p, data) })
	})
}

// selectBalancer returns the balancer to which the fabric sends a flow's packet.
// With polled readiness, only the flows of a balancer move when it leaves the
// rotation or comes back. Otherwise nearly all flows move at once.
func (sim *simulation) selectBalancer(att *attempt) *balancer {
	hash := uint64(att.key.Caller.Port()) * 31
	for _, octet := range att.key.Caller.Addr().As4() {
		hash = hash*31 + uint64(octet)
	}
	if sim.size.pollInterval == 0 {
		var candidates []*balancer
		for _, b := range sim.balancers {
			if !b.down || sim.useDownBalancers {
				candidates = append(candidates, b)
			}
		}
		return candidates[hash%uint64(len(candidates))]
	}
	return sim.steadyBalancer(hash)
}

// steadyBalancer returns the balancer with the highest score for a flow's hash. It
// uses all balancers while fewer than half are in rotation.
func (sim *simulation) steadyBalancer(hash uint64) *balancer {
	inRotation := 0
	for _, b := range sim.balancers {
		if b.inRotation {
			inRotation++
		}
	}
	var best *balancer
	var highest uint64
	for i, b := range sim.balancers {
		if !b.inRotation && 2*inRotation >= len(sim.balancers) {
			continue
		}
		score := (hash + uint64(i+1)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
		score = (score ^ score>>33) * 0xc4ceb9fe1a85ec53
		if score ^= score >> 33; best == nil || score > highest {
			best, highest = b, score
		}
	}
	return best
}

// deliverToCaller handles a backend server's packet at the caller.
func (sim *simulation) deliverToCaller(from *agent, key cropaque.Key, p cropaque.Packet) {
	att := sim.attempts[key]
	if att == nil || att.ended || !sim.isWaiting(att.request) {
		return
	}
	switch {
	case p.Open && p.Ack && !att.opened:
		att.opened, att.isn, att.agent = true, p.Seq, from
		att.request.opened = true
		sim.sendRequest(att, 200*time.Millisecond)
	case p.Reset:
		sim.failAttempt(att)
	case p.Size > 0 && !p.End:
		sim.keepFlow(att)
	case p.End:
		att.ended = true
		att.request.answeredAt = sim.now
		sim.sendToBalancer(att, cropaque.Packet{From: key.Caller, To: key.Service, Ack: true, End: true, Acked: p.Seq + 600})
	}
}

// sendRequest sends the request of an open flow, and repeats it until it is
// answered.
func (sim *simulation) sendRequest(att *attempt, retryDelay time.Duration) {
	if att.ended || !sim.isWaiting(att.request) {
		return
	}
	sim.sendToBalancer(att, cropaque.Packet{
		From: att.key.Caller, To: att.key.Service, Ack: true, Seq: 8 + att.sent, Acked: att.isn + 1, Size: 100,
	})
	for range sim.size.requestPackets {
		sim.sendToBalancer(att, cropaque.Packet{
			From: att.key.Caller, To: att.key.Service, Ack: true, Seq: 108, Acked: att.isn + 1, Size: fullPacketBytes,
		})
	}
	sim.after(retryDelay, func() { sim.sendRequest(att, min(2*retryDelay, 1600*time.Millisecond)) })
}

// resetCaller resets the flow of a caller.
func (sim *simulation) resetCaller(key cropaque.Key) {
	sim.after(callerDelay, func() {
		att := sim.attempts[key]
		if att == nil || att.ended {
			return
		}
		if att.opened && att.agent != nil && !att.agent.server.down && att.agent.server.flows[key] != nil {
			sim.brokenFlows++
			sim.broken = append(sim.broken, key)
		}
		if sim.isWaiting(att.request) {
			sim.failAttempt(att)
		}
	})
}

// failAttempt ends an attempt without an answer. The caller tries again if it
// may.
func (sim *simulation) failAttempt(att *attempt) {
	if att.ended {
		return
	}
	att.ended = true
	r := att.request
	if !sim.isWaiting(r) {
		return
	}
	if r.attemptCount > max(sim.maxRetries, r.maxRetries) || att.opened && !r.repeatable {
		r.failed = true
		return
	}
	sim.after(10*time.Millisecond, func() { sim.startAttempt(r) })
}

// answeredShare returns the share of the requests that arrived in the interval
// [from, to) and were answered within a time.
func (sim *simulation) answeredShare(from, to time.Duration, within time.Duration) float64 {
	start := sim.requests[0].arrivedAt
	n, ok := 0, 0
	for _, r := range sim.requests {
		if at := r.arrivedAt.Sub(start); at < from || at >= to {
			continue
		}
		n++
		if !r.answeredAt.IsZero() && r.answeredAt.Sub(r.arrivedAt) <= within {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n))
}
