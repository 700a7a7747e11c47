package cropaque

import "time"

const (
	// handshakeTimeout is how long a backend server may take to answer an
	// opening packet. It is a few times the handshake and the delivery on one
	// machine.
	handshakeTimeout = 60 * time.Millisecond
	// maxMissedAnnouncements is how many announcements of a backend server may
	// be missing before it gets no new flows.
	maxMissedAnnouncements = 4
	// minServerHeadStart is how long before its agent a backend server must have
	// started to hold flows of an earlier agent, which has to get a view, take the
	// flows, end and be restarted in that time. When a machine regains power, its
	// processes start closer together.
	minServerHeadStart = 500 * time.Millisecond
)

// Server is an announcement of a backend server.
type Server struct {
	// ID and StartedMS identify a run of the backend server; StartedMS is its
	// start in Unix milliseconds. Seq numbers the announcements of a run.
	ID        string
	StartedMS int64
	Seq       uint64
	Service   string
	Slots     int
	Draining  bool
	// ColdRemaining is how long the backend server stays cold.
	ColdRemaining time.Duration
}

// HandleAnnouncement processes an announcement of the backend server and
// reports whether it changed what the agent announces. Announcements of an
// earlier run and those that arrive out of order are ignored.
func (g *Gate) HandleAnnouncement(now time.Time, s Server) (changed bool) {
	old := g.server
	if old.ID != "" && (s.StartedMS < old.StartedMS || s.StartedMS == old.StartedMS && s.Seq <= old.Seq) {
		return false
	}
	if g.withdrawnMS != 0 && s.StartedMS <= g.withdrawnMS {
		// The announcement was delayed; its sender has left.
		return false
	}
	if old.ID != "" && s.StartedMS > old.StartedMS {
		g.LogDecision(Decision{Event: "backend server started anew"})
		g.resetAllFlows(now)
	}
	changed = !g.serverPresent || old.Draining != s.Draining || old.Service != s.Service || old.Slots != s.Slots
	g.server, g.serverPresent, g.leaving = s, true, false
	g.announcedAt, g.serverSeenAt, g.silentSince = now, now, time.Time{}
	g.coldUntil = now.Add(s.ColdRemaining)
	if changed {
		g.findService()
		g.LogDecision(Decision{Event: announcementEvent(s), Load: g.load(now)})
	}
	return changed
}

// announcementEvent returns the event for an announcement.
func announcementEvent(s Server) string {
	if s.Draining {
		return "backend server drains; taking no new flows"
	}
	return "backend server is ready"
}

// HandleWithdrawal processes the withdrawal of a backend server and reports
// whether it was the current one. Open flows are kept until a probe shows that it has
// ended: it may still answer.
func (g *Gate) HandleWithdrawal(now time.Time, id string) bool {
	if !g.serverPresent || g.server.ID != id {
		return false
	}
	g.serverPresent, g.leaving, g.withdrawnMS = false, true, g.server.StartedMS
	g.LogDecision(Decision{Event: "backend server has left"})
	for _, f := range g.queue {
		if g.flows[f.key] == f {
			g.removeFlow(f)
			g.refuse(now, f.offer, f.key, ReasonGone)
		}
	}
	g.queue = nil
	g.ProbeServer()
	return true
}

// ProbeRefused is called when a probe found that the backend server no longer
// exists. The result is ignored if the backend server was seen since it fell
// silent.
func (g *Gate) ProbeRefused(now time.Time) {
	if !g.leaving && g.serverSeenAt.After(g.silentSince) {
		return
	}
	g.LogDecision(Decision{Event: "backend server refuses connections; its flows are lost", Age: now.Sub(g.serverSeenAt)})
	g.serverPresent, g.leaving = false, false
	g.resetAllFlows(now)
}

// ProbeSucceeded is called when a probe found that the backend server accepts
// connections.
func (g *Gate) ProbeSucceeded(now time.Time) {
	if !g.silentSince.IsZero() {
		g.LogDecision(Decision{Event: "backend server takes connections", Age: now.Sub(g.silentSince)})
		g.silentSince = time.Time{}
	}
}

// resetAllFlows removes all flows after a run of the backend server has ended.
// Callers of flows that were open at it are reset. A flow that only may have been open
// here may be open at another backend server, so its balancer looks on for the owner;
// this agent denies it from now on. Other flows are returned to their balancers.
func (g *Gate) resetAllFlows(now time.Time) {
	g.formerRunEnded = true
	for key, f := range g.flows {
		switch {
		case f.ended:
		case f.opened:
			g.LogDecision(Decision{Event: "caller is reset: its backend server is gone", Key: key, Age: now.Sub(f.lastPacketAt)})
			g.ResetFlow(key, f.callerAck)
		case f.unverified:
			g.LogDecision(Decision{Event: "caller isn't reset: its flow may be open elsewhere", Key: key, Age: now.Sub(f.lastPacketAt)})
			g.Reply(f.balancer, &Frame{Kind: FrameForeign, Key: key, Load: g.load(now)})
		default:
			g.refuse(now, f.offer, key, ReasonGone)
		}
		delete(g.flows, key)
	}
	g.health, g.givenBack = health{}, nil
	g.lasting.keptRunning, g.lasting.kept = 0, 0
	g.reserved, g.running, g.unanswered, g.reservations, g.queue = 0, 0, nil, nil, nil
}

// checkHandshakes refuses flows whose opening packet the backend server has
// not answered in time.
func (g *Gate) checkHandshakes(now time.Time) {
	for len(g.unanswered) > 0 {
		f := g.unanswered[0]
		if f.handshakeAnswered || f.ended || g.flows[f.key] != f {
			g.unanswered = g.unanswered[1:]
			continue
		}
		if now.Sub(f.sentToServerAt) < handshakeTimeout {
			return
		}
		g.unanswered = g.unanswered[1:]
		if g.serverSeenAt.After(f.sentToServerAt) {
			// The backend server answers other flows: this packet was lost.
			continue
		}
		g.health.recordFailure()
		if g.silentSince.IsZero() {
			g.silentSince = now
			g.LogDecision(Decision{Event: "backend server is silent", Key: f.key, Age: now.Sub(g.serverSeenAt), Load: g.load(now)})
			g.ProbeServer()
		}
		g.giveBack(now, f, ReasonSilent)
	}
}

// recovering reports whether the backend server may hold flows that began
// before this agent started. Packets reach it through its agent only, so it must
// have run beside an earlier agent, and that run must not have ended.
func (g *Gate) recovering(now time.Time) bool {
	if g.formerRunEnded {
		return false
	}
	headStart := g.StartedAt.UnixMilli() - g.server.StartedMS
	return now.Sub(g.StartedAt) < defaultIdleTimeout && (!g.serverPresent || headStart > minServerHeadStart.Milliseconds())
}
