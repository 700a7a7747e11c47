package cropaque

import (
	"net/netip"
	"slices"
	"time"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// queueWaitShare is the largest expected wait for a slot with which a flow
	// is queued, as a share of its caller's remaining time.
	queueWaitShare = 0.5
	// callerOpenTimeout is how long a caller waits for its flow to open.
	callerOpenTimeout = 1400 * time.Millisecond
	// givenBackRetention covers the time in which a caller may still open a flow
	// that was given back.
	givenBackRetention = 2 * time.Second
)

// handleOffer takes, queues or refuses a new flow.
func (g *Gate) handleOffer(now time.Time, from netip.AddrPort, f *Frame, p Packet) {
	key := p.KeyFromCaller()
	if existing := g.flows[key]; existing != nil && existing.callerISN == p.Seq {
		g.handleDuplicateOpen(now, from, existing, f)
		return
	}
	route := g.routes[key.Service]
	if reason := g.refusal(now, route); reason != ReasonNone {
		g.refuse(now, offerFrom{from, f.Number}, key, reason)
		return
	}
	newFlow := &agentFlow{
		key: key, balancer: from, offer: offerFrom{from, f.Number}, callerISN: p.Seq, priority: route.Priority, target: route.Target.D(),
		timeout: route.Timeout.D(), arrivedAt: now.Add(-f.Age), lastPacketAt: now,
	}
	g.shares.add(now, key, 0)
	if !g.hasFreeSlot() && (!f.MayQueue || !g.mayQueue(now, newFlow)) {
		g.refuseFull(now, newFlow)
		return
	}
	delete(g.givenBack, key)
	g.addFlow(newFlow)
	if g.lasting.keeps(key.Service) {
		g.lasting.markKept(newFlow)
	}
	g.Reply(from, &Frame{Kind: FrameTaken, Key: key, Number: f.Number, Load: g.load(now), KeptRoute: g.lasting.keeps(key.Service)})
	if g.hasFreeSlot() {
		g.sendOpen(now, newFlow, f.Data)
		return
	}
	newFlow.openPacket = append([]byte(nil), f.Data...)
	g.queue.push(newFlow)
	g.LogDecision(Decision{Event: "flow waits for a slot", Key: key, Load: g.load(now), Revision: g.view.Revision})
	g.refuseDisplaced(now, newFlow)
}

// handleDuplicateOpen handles a copy of an opening packet whose flow was taken
// before.
func (g *Gate) handleDuplicateOpen(now time.Time, from netip.AddrPort, f *agentFlow, fr *Frame) {
	f.balancer, f.offer, f.lastPacketAt = from, offerFrom{from, fr.Number}, now
	if f.openPacket == nil {
		g.ToServer(fr.Data)
	}
	g.Reply(from, &Frame{Kind: FrameTaken, Key: f.key, Number: fr.Number, Load: g.load(now)})
}

// refusal returns why no new flow can be taken now, even with free slots, or
// ReasonNone.
func (g *Gate) refusal(now time.Time, route *crdoc.Route) Reason {
	switch {
	case g.draining || g.serverPresent && g.server.Draining:
		return ReasonDraining
	case !g.serverPresent || now.Sub(g.announcedAt) > maxMissedAnnouncements*g.AnnounceInterval:
		return ReasonAbsent
	case g.zoneOut:
		return ReasonZone
	case !route.LeadsTo(g.server.Service):
		return ReasonRoute
	case !g.silentSince.IsZero():
		return ReasonSilent
	case !g.withinColdLimit(now):
		return ReasonCold
	}
	return ReasonNone
}

// withinColdLimit reports whether a cold backend server may get another
// request. The window slides and covers a whole second, so that no second
// exceeds the limit.
func (g *Gate) withinColdLimit(now time.Time) bool {
	for len(g.recentOpens) > 0 && now.Sub(g.recentOpens[0]) > time.Second+50*time.Millisecond {
		g.recentOpens = g.recentOpens[1:]
	}
	if !now.Before(g.coldUntil) || g.service == nil || g.service.ColdRate <= 0 {
		return true
	}
	return float64(len(g.recentOpens)) < g.service.ColdRate*g.ColdFactor+float64(g.ColdExtra)-1
}

// mayQueue reports whether a flow that finds no free slot may wait. The flows
// ahead of it must be done within a share of the time that its caller has
// left. The rest of that time is for its own request and for later flows that
// go ahead of it.
func (g *Gate) mayQueue(now time.Time, f *agentFlow) bool {
	g.rankByShare(now, append(slices.Clone(g.queue), f))
	ahead := g.queue.countAhead(f, g.expectedCompletion(now))
	wait := g.meanLatency * time.Duration(ahead+1) / time.Duration(max(1, g.server.Slots))
	return float64(wait) <= queueWaitShare*float64(f.timeout-now.Sub(f.arrivedAt)) || g.routeMayQueue(now, f)
}

// expectedCompletion returns when a request that begins now is answered if it
// is slower than average.
func (g *Gate) expectedCompletion(now time.Time) time.Time {
	return now.Add(time.Duration(slowRequestFactor * float64(g.meanLatency)))
}

// refuseFull refuses a flow that finds no free slot.
func (g *Gate) refuseFull(now time.Time, f *agentFlow) {
	if f.excess > 0 {
		g.refuseOverShare(now, f)
		return
	}
	g.refuse(now, f.offer, f.key, ReasonFull)
}

// refuse refuses a flow and sends the reason to its balancer.
func (g *Gate) refuse(now time.Time, to offerFrom, key Key, reason Reason) {
	g.refuseWith(now, to, Decision{Event: "flow is refused", Key: key, Reason: reason})
}

// refuseWith refuses a flow for the reason of a decision, and logs the decision with
// the load.
func (g *Gate) refuseWith(now time.Time, to offerFrom, d Decision) {
	d.Load, d.Revision, d.Routine = g.load(now), g.view.Revision, true
	g.LogDecision(d)
	if !to.balancer.IsValid() {
		// No balancer has offered it to this agent.
		return
	}
	g.Reply(to.balancer, &Frame{Kind: FrameRefused, Key: d.Key, Number: to.number, Reason: d.Reason, Load: d.Load})
}

// giveBack refuses a flow whose opening packet the backend server got. If the backend
// server accepts it after all, its answer isn't forwarded: the balancer has reset the
// caller, or has offered the flow to another agent.
func (g *Gate) giveBack(now time.Time, f *agentFlow, reason Reason) {
	g.removeFlow(f)
	if g.givenBack == nil {
		g.givenBack = map[Key]time.Time{}
	}
	if len(g.givenBack) < maxAgentFlows {
		g.givenBack[f.key] = now
	}
	g.refuse(now, f.offer, f.key, reason)
}

// sendOpen sends the opening packet to the backend server and reserves a slot.
func (g *Gate) sendOpen(now time.Time, f *agentFlow, data []byte) {
	f.sentToServerAt, f.lastPacketAt, f.requestAt = now, now, now
	f.openPacket = nil
	g.setSlot(f, slotReserved)
	g.recentOpens = append(g.recentOpens, now)
	g.unanswered = append(g.unanswered, f)
	g.reservations = append(g.reservations, f)
	g.reserveWork(now, f)
	g.ToServer(data)
}

// dispatchQueued sends queued flows to the backend server while it has free
// slots.
func (g *Gate) dispatchQueued(now time.Time) {
	for len(g.queue) > 0 && g.hasFreeSlot() {
		g.rankByShare(now, g.queue)
		f := g.queue.pop(g.expectedCompletion(now), g.meanLatency/time.Duration(max(1, g.server.Slots)))
		if g.flows[f.key] != f {
			continue
		}
		if now.Sub(f.arrivedAt)+g.meanLatency > f.timeout {
			g.expire(now, f)
			continue
		}
		if reason := g.refusal(now, g.routes[f.key.Service]); reason != ReasonNone {
			g.removeFlow(f)
			g.refuse(now, f.offer, f.key, reason)
			continue
		}
		g.sendOpen(now, f, f.openPacket)
	}
}

// expire refuses a flow that was queued for so long that its caller would time
// out before the answer. Flows are not refused before that is certain: callers
// that retry look like new ones and delay those that really are new.
func (g *Gate) expire(now time.Time, f *agentFlow) {
	g.LogDecision(Decision{Event: "flow has waited for too long", Key: f.key, Age: now.Sub(f.arrivedAt), Load: g.load(now)})
	g.removeFlow(f)
	g.refuse(now, f.offer, f.key, ReasonFull)
}
