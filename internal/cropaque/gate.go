package cropaque

import (
	"maps"
	"net/netip"
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// endedRetention is how long an ended flow is kept, for late packets.
	endedRetention = 5 * time.Second
	// defaultIdleTimeout is how long a flow without packets is kept when the
	// catalog sets no idle timeout.
	defaultIdleTimeout = 60 * time.Second
	// requestIdleTimeout is how long a request without any packet keeps its
	// slot.
	requestIdleTimeout = 4 * time.Second
	// defaultLatency is the assumed latency of a request before the first
	// measurement.
	defaultLatency = 40 * time.Millisecond
	// sweepInterval is the time between two checks of all flows.
	sweepInterval = 250 * time.Millisecond
)

// Gate decides which flows the backend server beside an agent gets. When a
// burst, or the return of a zone, exceeds the slots, Gate runs no more requests
// than there are slots, queues a few flows that can still be answered in time,
// serves urgent requests first, and refuses the rest at once so that balancers
// offer them to other agents. Set the exported fields before use. Gate is not
// safe for concurrent use.
type Gate struct {
	// Name is the agent's name as a member, Zone its availability zone.
	Name, Zone string
	// AnnounceInterval is the time between two announcements of the backend
	// server.
	AnnounceInterval time.Duration
	// ColdFactor and ColdExtra limit the requests that a cold backend server
	// gets in any second: its cold rate times ColdFactor, plus ColdExtra.
	ColdFactor float64
	ColdExtra  int
	// StartedAt is when the agent started.
	StartedAt time.Time
	// ShareWindow is the time over which the work of client accounts and routes is
	// compared when flows wait for a slot; 0 means that flows wait without regard
	// to it.
	ShareWindow time.Duration
	// RouteReserve is the share of the work, 0 to 1, that is divided between the
	// routes in use as their minimum; 0 means that flows of the most urgent route
	// always go first. It needs a ShareWindow.
	RouteReserve float64
	// ToServer sends a packet to the backend server.
	ToServer func(data []byte)
	// ToCaller sends a packet to the caller of a flow.
	ToCaller func(key Key, data []byte)
	// Reply sends a frame to a balancer.
	Reply func(to netip.AddrPort, f *Frame)
	// ResetFlow resets a flow towards its caller; seq is the caller's last
	// acknowledgement.
	ResetFlow func(key Key, seq uint32)
	// ClearReturned returns a copy of a packet that the backend server
	// returned, without the marks of its return, so that another backend
	// server accepts it.
	ClearReturned func(data []byte) []byte
	// ProbeServer starts a check whether the backend server still exists. It
	// is called when the backend server doesn't answer. The result is reported
	// by ProbeSucceeded or ProbeRefused.
	ProbeServer func()
	// LogDecision writes a decision to the log.
	LogDecision func(d Decision)

	view          *crwire.View
	routes        routes
	zoneOut       bool
	service       *crdoc.OpaqueService
	server        Server
	serverPresent bool
	// withdrawnMS is the start of the last backend server that has left, 0 for none.
	withdrawnMS int64
	draining    bool
	// leaving is set from the withdrawal of the backend server until it has ended.
	leaving bool
	// formerRunEnded is set when a run of the backend server has ended while this agent
	// ran. Later runs hold no flows that this agent doesn't know.
	formerRunEnded bool
	serverSeenAt   time.Time
	announcedAt    time.Time
	coldUntil      time.Time
	// silentSince is when the backend server was found not to answer, zero
	// while it answers.
	silentSince time.Time
	flows       map[Key]*agentFlow
	queue       waitQueue
	hints       hints
	// givenBack holds when flows were given back whose opening packet the backend
	// server got.
	givenBack map[Key]time.Time
	shares    *shares
	// reserved counts the flows with a slot reserved for a request that hasn't
	// arrived, running those with a request in progress.
	reserved, running int
	meanLatency       time.Duration
	health            health
	lasting           lastingLoad
	// meanHandshake is the average time from the opening packet to the
	// caller's acknowledgement.
	meanHandshake time.Duration
	// recentOpens are the times of the opening packets sent to the backend
	// server in the last second.
	recentOpens []time.Time
	sweptAt     time.Time
	// unanswered are the flows whose opening packet the backend server has not
	// answered yet, in the order of sending.
	unanswered []*agentFlow
	// reservations are the flows that got a reserved slot, in the same order.
	reservations []*agentFlow
}

// Init prepares the gate for use.
func (g *Gate) Init() {
	g.flows = map[Key]*agentFlow{}
	g.meanLatency, g.meanHandshake = defaultLatency, defaultHandshake
	g.shares = newShares(g.ShareWindow)
	g.view = &crwire.View{}
}

// SetView applies a newer view.
func (g *Gate) SetView(v *crwire.View) {
	g.view, g.routes = v, newRoutes(v)
	out := false
	for _, z := range v.ZonesOut {
		out = out || z == g.Zone
	}
	if out != g.zoneOut {
		g.zoneOut = out
		g.LogDecision(Decision{Event: zoneEvent(out), Revision: v.Revision})
	}
	g.findService()
	g.sendHints()
}

// zoneEvent returns the event for a change of the zone's state.
func zoneEvent(out bool) string {
	if out {
		return "zone is out of service; taking no new flows"
	}
	return "zone is back in service"
}

// findService looks up the backend server's service in the catalog.
func (g *Gate) findService() {
	g.service = nil
	g.hints.setMembers(g.view, g.server.Service)
	if g.view.Catalog == nil {
		return
	}
	for i := range g.view.Catalog.Services {
		if s := &g.view.Catalog.Services[i]; s.Name == g.server.Service {
			g.service = s
		}
	}
}

// Drain stops taking new flows and notifies the balancers that have flows
// here.
func (g *Gate) Drain() {
	g.draining = true
	notified := map[netip.AddrPort]bool{}
	for _, f := range g.flows {
		if !notified[f.balancer] {
			notified[f.balancer] = true
			g.Reply(f.balancer, &Frame{Kind: FrameLeave})
		}
	}
}

// OpenFlows returns the number of open flows that have not ended.
func (g *Gate) OpenFlows() int {
	n := 0
	for _, f := range g.flows {
		if f.opened && !f.ended {
			n++
		}
	}
	return n
}

// load returns the load that is reported to balancers.
func (g *Gate) load(now time.Time) Load {
	load := Load{
		Busy: g.reserved + g.running, Queued: g.queue.countOnTime(g.expectedCompletion(now)), Slots: g.server.Slots,
		MeanLatency: g.meanLatency, FailurePermille: g.health.failurePermille(),
	}
	g.lasting.report(&load)
	return load
}

// Load returns the load that is reported to balancers.
func (g *Gate) Load(now time.Time) Load { return g.load(now) }

// busy returns the number of requests in progress or queued.
func (g *Gate) busy() int { return g.reserved + g.running + len(g.queue) }

// HandleFrame processes a frame of a balancer; p is the packet decoded from
// its data.
func (g *Gate) HandleFrame(now time.Time, from netip.AddrPort, f *Frame, p Packet) {
	g.lasting.observe(now, g.busy())
	switch f.Kind {
	case FrameOffer:
		g.handleOffer(now, from, f, p)
	case FrameCarry:
		g.handleCarry(now, from, f, p)
	case FrameSeek:
		g.handleSeek(now, from, f.Key)
	case FrameHint:
		g.hints.store(now, f.Key, from)
	case FramePing:
		g.Reply(from, &Frame{Kind: FramePong, Number: f.Number, Load: g.load(now)})
	}
}

// Tick handles expired timeouts. Call it every few milliseconds while flows
// are waiting.
func (g *Gate) Tick(now time.Time) {
	g.lasting.observe(now, g.busy())
	g.checkHandshakes(now)
	g.releaseReservations(now)
	if now.Sub(g.sweptAt) >= sweepInterval {
		g.sweptAt = now
		g.sweep(now)
	}
	g.dispatchQueued(now)
}

// sweep releases the slots of requests without packets, expires queued flows
// and removes old flows.
func (g *Gate) sweep(now time.Time) {
	idleTimeout := defaultIdleTimeout
	if g.view.Catalog != nil && g.view.Catalog.Idle > 0 {
		idleTimeout = g.view.Catalog.Idle.D()
	}
	for key, f := range g.flows {
		idleFor := now.Sub(f.lastPacketAt)
		switch {
		case f.ended && idleFor > endedRetention, idleFor > idleTimeout:
			g.setSlot(f, slotNone)
			delete(g.flows, key)
		case f.openPacket != nil && now.Sub(f.arrivedAt)+g.meanLatency > min(f.timeout, callerOpenTimeout):
			g.expire(now, f)
		case f.slot == slotRunning && idleFor > requestIdleTimeout:
			g.health.recordFailure()
			g.setSlot(f, slotNone)
		}
	}
	maps.DeleteFunc(g.givenBack, func(_ Key, at time.Time) bool { return now.Sub(at) > givenBackRetention })
	g.health.decay()
	g.lasting.sweep(now, g.flows)
	g.hints.expire(now)
	g.sendHints()
	g.queue.retain(func(f *agentFlow) bool { return g.flows[f.key] == f })
	if g.leaving || !g.silentSince.IsZero() && now.Sub(g.silentSince) > sweepInterval {
		g.ProbeServer()
	}
}

// UntilNextTick returns the time until Tick is next needed.
func (g *Gate) UntilNextTick(now time.Time) time.Duration {
	next := g.sweptAt.Add(sweepInterval)
	if len(g.unanswered) > 0 {
		if at := g.unanswered[0].sentToServerAt.Add(handshakeTimeout); at.Before(next) {
			next = at
		}
	}
	if len(g.queue) > 0 && len(g.reservations) > 0 {
		if at := g.reservations[0].sentToServerAt.Add(max(minOpenTimeout, openTimeoutFactor*g.meanHandshake)); at.Before(next) {
			next = at
		}
	}
	return next.Sub(now)
}
