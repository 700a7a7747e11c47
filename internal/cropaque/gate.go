package cropaque

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// handshakeWait is how long a backend server may take to answer the
	// opening packet: a few times the handshake and the way on one machine.
	handshakeWait = 60 * time.Millisecond
	// openFactor is how many usual handshakes a caller may take to open its
	// flow before the place kept for it goes to others; openMin bounds the time
	// from below, and openDefault is the handshake before any was measured.
	openFactor  = 3
	openMin     = 15 * time.Millisecond
	openDefault = 10 * time.Millisecond
	// spareShare is the part of the slots that may be handed out beyond them,
	// so that slots aren't idle during the handshakes of the next requests.
	spareShare = 0.5
	// waitShare is the part of a caller's time that it may be expected to wait
	// for a slot.
	waitShare = 0.5
	// attemptWait is how long a caller waits for its flow to open.
	attemptWait = 1400 * time.Millisecond
	// flowsMax bounds the flows that an agent remembers. Each takes about
	// 400 bytes.
	flowsMax = 20_000
	// endedWait is how long a flow is kept after it ended, for late packets.
	endedWait = 5 * time.Second
	// idleDefault is how long a silent flow is kept when the catalog says
	// nothing.
	idleDefault = 60 * time.Second
	// busyMax is how long a request counts as under way without any packet.
	busyMax = 4 * time.Second
	// paceDefault is the time of a request before any was measured.
	paceDefault = 40 * time.Millisecond
	// paceShare is the weight of a new measurement in the average.
	paceShare = 0.1
	// quietBeats is how many announcements may be missing before a backend
	// server gets no new flows.
	quietBeats = 4
	// ackSlack is how much more than its data a backend server's sequence
	// numbers may grow by: one for each end of the connection.
	ackSlack = 2
	// sweepEvery is the time between looks at all flows.
	sweepEvery = 250 * time.Millisecond
)

// Server is what a backend server announces of itself.
type Server struct {
	// ID and StartedMS name the incarnation; Seq counts its announcements.
	ID        string
	StartedMS int64
	Seq       uint64
	// Service is the service that it belongs to.
	Service  string
	Slots    int
	Draining bool
	// ColdRemaining is how much longer it is cold.
	ColdRemaining time.Duration
}

// Gate decides what the backend server beside an agent is given. It answers
// the load pattern of a burst, or of a zone's return, that meets few slots: no
// more than the slots are given at once, a short queue holds what can still be
// answered in time, urgent requests go first, and the rest is refused at once
// so that balancers place it elsewhere. Set the exported fields before use. It
// is not safe for concurrent use.
type Gate struct {
	// Zone is the agent's availability zone.
	Zone string
	// AnnounceInterval is the time between two announcements of the backend server.
	AnnounceInterval time.Duration
	// ColdFactor and ColdExtra bound what a cold backend server gets in any
	// second: its bearing times the factor and the extra on top.
	ColdFactor float64
	ColdExtra  int
	// StartedAt is when the agent started.
	StartedAt time.Time
	// ToServer hands a packet to the backend server.
	ToServer func(data []byte)
	// ToCaller sends a packet to the caller of a flow.
	ToCaller func(key Key, data []byte)
	// Reply sends a frame to a balancer.
	Reply func(to netip.AddrPort, f *Frame)
	// ResetFlow tells a caller that its flow is lost; seq is what the caller last
	// acknowledged.
	ResetFlow func(key Key, seq uint32)
	// ClearReturned returns a packet that the backend server gave back in the form
	// that another one takes.
	ClearReturned func(data []byte) []byte
	// ProbeServer is called when the backend server doesn't answer, to look whether
	// it still exists.
	ProbeServer func()
	// LogDecision takes a decision for the log.
	LogDecision func(n Decision)

	view     *crwire.View
	routes   routes
	out      bool
	opaque   *crdoc.Opaque
	server   Server
	present  bool
	leaving  bool
	heardAt  time.Time
	beatAt   time.Time
	coldTill time.Time
	// silentAt is when the backend server was found not to answer.
	silentAt time.Time
	flows    map[Key]*held
	queue    waitQueue
	// opening counts the flows whose request has not come yet, running those
	// whose request is under way.
	opening, running int
	pace             time.Duration
	health           health
	// handshake is the average time from the opening packet to the caller's
	// acknowledgement.
	handshake time.Duration
	// recent are the times of opening packets given in the last second.
	recent []time.Time
	swept  time.Time
	// waits are flows whose backend server has not answered the opening
	// packet yet, in the order they were handed over.
	waits []*held
	// openings are flows that keep a place for their request, likewise.
	openings []*held
}

// use is what a flow takes of a backend server.
type use int

const (
	// useNone takes nothing: no request is under way.
	useNone use = iota
	// useOpening keeps a place for a request that hasn't come.
	useOpening
	// useRunning takes a slot.
	useRunning
)

// held is a flow at an agent.
type held struct {
	key Key
	// from is the balancer that last brought a packet of it.
	from netip.AddrPort
	// start is the caller's first sequence number, isn the backend server's.
	start, isn uint32
	// sent is what the backend server has sent since isn, in bytes. A caller
	// that acknowledges more has opened the flow at another one.
	sent uint32
	// offered says that isn is known; opened, that the caller acknowledged it.
	offered, opened bool
	// foreign marks a flow that this agent has never seen begin; the backend
	// server may hold it.
	foreign bool
	// use says what it takes of the backend server.
	use use
	// ended says that the backend server has closed it.
	ended bool
	// acked is the caller's last acknowledgement.
	acked uint32
	// size is what the backend server has answered to the request under way, in
	// bytes.
	size int
	// priority is that of its route, 0 first.
	priority int
	// target is the latency that its callers expect, timeout how long they
	// wait at most.
	target, timeout time.Duration
	// data is the opening packet while it waits here.
	data []byte
	// came, handed and last are the times of the caller's first packet, of
	// handing it over and of the last packet; work is when the request under
	// way began.
	came, handed, last, work time.Time
}

// Init makes the gate ready.
func (g *Gate) Init() {
	g.flows = map[Key]*held{}
	g.pace, g.handshake = paceDefault, openDefault
	g.view = &crwire.View{}
}

// SetView takes a later view.
func (g *Gate) SetView(v *crwire.View) {
	g.view, g.routes = v, newRoutes(v)
	out := false
	for _, z := range v.ZonesOut {
		out = out || z == g.Zone
	}
	if out != g.out {
		g.out = out
		g.LogDecision(Decision{Event: zoneEvent(out), Revision: v.Revision})
	}
	g.findOpaque()
}

// zoneEvent says whether new flows are taken.
func zoneEvent(out bool) string {
	if out {
		return "zone is out of service; taking no new flows"
	}
	return "zone is back in service"
}

// findOpaque looks up the backend server's service.
func (g *Gate) findOpaque() {
	g.opaque = nil
	if g.view.Catalog == nil {
		return
	}
	for i := range g.view.Catalog.Services {
		if s := &g.view.Catalog.Services[i]; s.Name == g.server.Service {
			g.opaque = s
		}
	}
}

// Drain begins the agent's stop: it takes no new flows and tells the balancers
// that have flows here.
func (g *Gate) Drain() {
	g.leaving = true
	told := map[netip.AddrPort]bool{}
	for _, f := range g.flows {
		if !told[f.from] {
			told[f.from] = true
			g.Reply(f.from, &Frame{Kind: FrameLeave})
		}
	}
}

// OpenFlows returns how many open flows have not ended.
func (g *Gate) OpenFlows() int {
	n := 0
	for _, f := range g.flows {
		if f.opened && !f.ended {
			n++
		}
	}
	return n
}

// HandleAnnouncement takes an announcement of the backend server and says whether it
// changed what the agent announces. A late one of a former incarnation, or
// one that was overtaken, changes nothing.
func (g *Gate) HandleAnnouncement(now time.Time, s Server) (changed bool) {
	old := g.server
	if old.ID != "" && (s.StartedMS < old.StartedMS || s.StartedMS == old.StartedMS && s.Seq <= old.Seq) {
		return false
	}
	if old.ID != "" && s.StartedMS > old.StartedMS {
		g.LogDecision(Decision{Event: "backend server started anew"})
		g.lose(now)
	}
	changed = !g.present || old.Draining != s.Draining || old.Service != s.Service || old.Slots != s.Slots
	g.server, g.present = s, true
	g.beatAt, g.heardAt, g.silentAt = now, now, time.Time{}
	g.coldTill = now.Add(s.ColdRemaining)
	if changed {
		g.findOpaque()
		g.LogDecision(Decision{Event: serverEvent(s), Load: g.load(now)})
	}
	return changed
}

// serverEvent says what a backend server announced.
func serverEvent(s Server) string {
	if s.Draining {
		return "backend server drains; taking no new flows"
	}
	return "backend server is ready"
}

// HandleWithdrawal takes the goodbye of a backend server.
func (g *Gate) HandleWithdrawal(now time.Time, id string) bool {
	if !g.present || g.server.ID != id {
		return false
	}
	g.present = false
	g.LogDecision(Decision{Event: "backend server has left"})
	g.lose(now)
	return true
}

// ProbeRefused says that the backend server doesn't exist any more.
func (g *Gate) ProbeRefused(now time.Time) {
	if g.heardAt.After(g.silentAt) {
		return
	}
	g.LogDecision(Decision{Event: "backend server refuses connections; its flows are lost", Age: now.Sub(g.heardAt)})
	g.present = false
	g.lose(now)
}

// ProbeSucceeded says that the backend server takes connections.
func (g *Gate) ProbeSucceeded(now time.Time) {
	if !g.silentAt.IsZero() {
		g.LogDecision(Decision{Event: "backend server takes connections", Age: now.Sub(g.silentAt)})
		g.silentAt = time.Time{}
	}
}

// lose ends all flows of an incarnation that is gone. Callers of open flows
// are told; a flow that wasn't open goes back to its balancer.
func (g *Gate) lose(now time.Time) {
	for key, f := range g.flows {
		switch {
		case f.ended:
		case f.opened || f.foreign:
			g.LogDecision(Decision{Event: "caller is reset: its backend server is gone", Key: key, Age: now.Sub(f.last)})
			g.ResetFlow(key, f.acked)
		default:
			g.refuse(now, f.from, key, ReasonGone)
		}
		delete(g.flows, key)
	}
	g.health = health{}
	g.opening, g.running, g.waits, g.openings, g.queue = 0, 0, nil, nil, nil
}

// load returns what balancers are told.
func (g *Gate) load(now time.Time) Load {
	return Load{
		Busy: g.opening + g.running, Queued: g.queue.onTime(g.done(now)), Slots: g.server.Slots, MeanLatency: g.pace,
		FailurePermille: g.health.failing(),
	}
}

// HandleFrame takes a frame of a balancer; p is the decoded packet in its data.
func (g *Gate) HandleFrame(now time.Time, from netip.AddrPort, f *Frame, p Packet) {
	switch f.Kind {
	case FrameOffer:
		g.offer(now, from, f, p)
	case FrameCarry:
		g.carry(now, from, f, p)
	case FrameSeek:
		g.seek(now, from, f.Key)
	case FramePing:
		g.Reply(from, &Frame{Kind: FramePong, Load: g.load(now)})
	}
}

// offer decides about a new flow.
func (g *Gate) offer(now time.Time, from netip.AddrPort, f *Frame, p Packet) {
	key := p.KeyFromCaller()
	if known := g.flows[key]; known != nil && known.start == p.Seq {
		g.again(now, from, known, f.Data)
		return
	}
	route := g.routes[key.Service]
	if reason := g.refusal(now, route); reason != ReasonNone {
		g.refuse(now, from, key, reason)
		return
	}
	next := &held{
		key: key, from: from, start: p.Seq, priority: route.Priority, target: route.Target.D(),
		timeout: route.Timeout.D(), came: now.Add(-f.Age), last: now,
	}
	if !g.free() && (!f.MayQueue || !g.mayWait(now, next)) {
		g.refuse(now, from, key, ReasonFull)
		return
	}
	g.remember(next)
	g.Reply(from, &Frame{Kind: FrameTaken, Key: key, Load: g.load(now)})
	if g.free() {
		g.hand(now, next, f.Data)
		return
	}
	next.data = append([]byte(nil), f.Data...)
	g.queue.push(next)
	g.LogDecision(Decision{Event: "flow waits for a slot", Key: key, Load: g.load(now), Revision: g.view.Revision})
}

// again handles a copy of an opening packet that was taken before.
func (g *Gate) again(now time.Time, from netip.AddrPort, f *held, data []byte) {
	f.from, f.last = from, now
	if f.data == nil {
		g.ToServer(data)
	}
	g.Reply(from, &Frame{Kind: FrameTaken, Key: f.key, Load: g.load(now)})
}

// refusal says why no new flow can be taken now, whatever the load.
func (g *Gate) refusal(now time.Time, route *crdoc.Route) Reason {
	switch {
	case g.leaving || g.present && g.server.Draining:
		return ReasonDraining
	case !g.present || now.Sub(g.beatAt) > quietBeats*g.AnnounceInterval:
		return ReasonAbsent
	case g.out:
		return ReasonZone
	case !leads(route, g.server.Service):
		return ReasonRoute
	case !g.silentAt.IsZero():
		return ReasonSilent
	case !g.bears(now):
		return ReasonCold
	}
	return ReasonNone
}

// bears says whether a cold backend server may get another request. The last
// second counts whole, so that no second holds more than the bound.
func (g *Gate) bears(now time.Time) bool {
	for len(g.recent) > 0 && now.Sub(g.recent[0]) > time.Second+50*time.Millisecond {
		g.recent = g.recent[1:]
	}
	if !now.Before(g.coldTill) || g.opaque == nil || g.opaque.ColdRate <= 0 {
		return true
	}
	return float64(len(g.recent)) < g.opaque.ColdRate*g.ColdFactor+float64(g.ColdExtra)-1
}

// mayWait says whether a flow that finds no free slot may wait: those that go
// before it must be done in a part of the time that its caller has left. The
// rest is for its own request, and for later ones that go before it.
func (g *Gate) mayWait(now time.Time, f *held) bool {
	ahead := g.queue.ahead(f, g.done(now))
	wait := g.pace * time.Duration(ahead+1) / time.Duration(max(1, g.server.Slots))
	return float64(wait) <= waitShare*float64(f.timeout-now.Sub(f.came))
}

// done returns when a request that begins now is answered, if it takes rather
// long.
func (g *Gate) done(now time.Time) time.Time {
	return now.Add(time.Duration(lateFactor * float64(g.pace)))
}

// refuse tells a balancer why a flow isn't taken.
func (g *Gate) refuse(now time.Time, to netip.AddrPort, key Key, reason Reason) {
	g.LogDecision(Decision{Event: "flow is refused", Key: key, Reason: reason, Load: g.load(now), Revision: g.view.Revision, Routine: true})
	g.Reply(to, &Frame{Kind: FrameRefused, Key: key, Reason: reason, Load: g.load(now)})
}

// remember keeps a flow; beyond the bound the agent forgets an ended one.
func (g *Gate) remember(f *held) {
	if len(g.flows) >= flowsMax {
		for key, old := range g.flows {
			if old.ended {
				delete(g.flows, key)
				break
			}
		}
	}
	g.flows[f.key] = f
}

// hand gives the opening packet to the backend server.
func (g *Gate) hand(now time.Time, f *held, data []byte) {
	f.handed, f.last, f.work = now, now, now
	f.data = nil
	g.setUse(f, useOpening)
	g.recent = append(g.recent, now)
	g.waits = append(g.waits, f)
	g.openings = append(g.openings, f)
	g.ToServer(data)
}

// free says whether the backend server can be handed another flow. Flows that
// are opening get a few places beyond the slots, because the backend server is
// idle for them until their request comes.
func (g *Gate) free() bool {
	slots := g.server.Slots
	spare := max(1, int(spareShare*float64(slots)))
	return g.running < slots && g.running+g.opening < slots+spare
}

// setUse counts what a flow takes.
func (g *Gate) setUse(f *held, u use) {
	switch f.use {
	case useOpening:
		g.opening--
	case useRunning:
		g.running--
	}
	f.use = u
	switch u {
	case useOpening:
		g.opening++
	case useRunning:
		g.running++
	}
}

// carry brings a later packet to the backend server if the flow can be its.
func (g *Gate) carry(now time.Time, from netip.AddrPort, fr *Frame, p Packet) {
	key := p.KeyFromCaller()
	f := g.flows[key]
	switch {
	case f == nil && g.recovering(now):
		f = &held{key: key, from: from, foreign: true, came: now}
		g.remember(f)
	case f == nil, f.data != nil, p.Ack && f.elsewhere(p.Acked):
		g.Reply(from, &Frame{Kind: FrameForeign, Key: key, Load: g.load(now), Data: fr.Data})
		return
	}
	f.from, f.last = from, now
	if p.Ack {
		f.acked = p.Acked
		if !f.opened && f.offered {
			f.opened = true
			g.handshake += time.Duration(paceShare * float64(now.Sub(f.handed)-g.handshake))
		}
	}
	if p.Size > 0 && !f.ended && f.use != useRunning {
		f.work, f.size = now, 0
		g.setUse(f, useRunning)
	}
	if p.Reset {
		f.ended = true
		g.setUse(f, useNone)
		g.pump(now)
	}
	g.ToServer(fr.Data)
}

// elsewhere says whether an acknowledgement shows that the caller opened the flow
// at another backend server: this one has sent less, or nothing yet.
func (f *held) elsewhere(acked uint32) bool {
	if f.offered {
		return acked-f.isn > f.sent+ackSlack
	}
	return !f.opened && !f.foreign
}

// recovering says whether the backend server may hold flows that began before
// this agent started.
func (g *Gate) recovering(now time.Time) bool {
	return now.Sub(g.StartedAt) < idleDefault && (!g.present || g.server.StartedMS < g.StartedAt.UnixMilli())
}

// seek tells whether the agent owns a flow. One that isn't open here yet may be
// open at another agent that took it as well.
func (g *Gate) seek(now time.Time, from netip.AddrPort, key Key) {
	kind := FrameForeign
	f := g.flows[key]
	switch {
	case f != nil && f.opened && !f.foreign:
		kind = FrameOwn
		f.from = from
	case f != nil || g.recovering(now):
		kind = FrameMaybe
	}
	g.Reply(from, &Frame{Kind: kind, Key: key, Load: g.load(now)})
}

// HandleServerPacket takes a packet that the backend server sent.
func (g *Gate) HandleServerPacket(now time.Time, p Packet, data []byte) {
	g.heardAt = now
	if !g.silentAt.IsZero() {
		g.LogDecision(Decision{Event: "backend server answers again", Age: now.Sub(g.silentAt)})
		g.silentAt = time.Time{}
	}
	if p.Returned {
		g.returned(now, p, data)
		return
	}
	key := p.KeyFromServer()
	f := g.flows[key]
	if f == nil {
		f = &held{key: key, came: now, opened: true}
		g.remember(f)
	}
	g.follow(now, f, p)
	g.ToCaller(key, data)
	g.pump(now)
}

// follow notes what an answer says of a flow.
func (g *Gate) follow(now time.Time, f *held, p Packet) {
	f.last, f.foreign = now, false
	f.size += p.Size
	if sent := p.Seq + uint32(p.Size) - f.isn; f.offered && int32(sent-f.sent) > 0 {
		f.sent = sent
	}
	switch {
	case p.Open && p.Ack:
		f.isn, f.sent, f.offered = p.Seq, 0, true
	case p.Reset:
		if f.use == useRunning && !f.ended {
			g.health.failed()
		}
		f.ended = true
		g.setUse(f, useNone)
	case p.End || p.Size > 0 && p.Size < fullSize:
		// A packet that isn't full ends the answer.
		if f.use == useRunning {
			// The time of an error says nothing of that of a request.
			if took := now.Sub(f.work); g.health.answered(f.key.Service, f.size, took) {
				g.measure(took)
			}
		}
		g.setUse(f, useNone)
	}
	f.ended = f.ended || p.End
}

// fullSize is the data of a packet that more follow, in bytes.
const fullSize = 1200

// measure takes the time of a request into the average.
func (g *Gate) measure(d time.Duration) {
	g.pace += time.Duration(paceShare * float64(d-g.pace))
}

// returned handles a packet that the backend server gave back. An opening one
// is refused; a later one of a flow that was open here proves that the backend
// server has lost it.
func (g *Gate) returned(now time.Time, p Packet, data []byte) {
	key := p.KeyFromCaller()
	f := g.flows[key]
	if f == nil {
		return
	}
	switch {
	case p.Open:
		g.drop(f)
		g.refuse(now, f.from, key, ReasonFull)
	case f.offered && f.opened:
		g.drop(f)
		if f.ended {
			return
		}
		g.LogDecision(Decision{Event: "caller is reset: its backend server doesn't hold the flow", Key: key, Age: now.Sub(f.came)})
		g.ResetFlow(key, f.acked)
	default:
		g.drop(f)
		g.Reply(f.from, &Frame{Kind: FrameForeign, Key: key, Load: g.load(now), Data: g.ClearReturned(data)})
	}
	g.pump(now)
}

// drop forgets a flow.
func (g *Gate) drop(f *held) {
	g.setUse(f, useNone)
	f.ended = true
	delete(g.flows, f.key)
}

// pump hands over waiting flows while slots are free.
func (g *Gate) pump(now time.Time) {
	for len(g.queue) > 0 && g.free() {
		f := g.queue.pop(g.done(now), g.pace/time.Duration(max(1, g.server.Slots)))
		if g.flows[f.key] != f {
			continue
		}
		if now.Sub(f.came)+g.pace > f.timeout {
			g.expire(now, f)
			continue
		}
		if reason := g.refusal(now, g.routes[f.key.Service]); reason != ReasonNone {
			g.drop(f)
			g.refuse(now, f.from, f.key, reason)
			continue
		}
		g.hand(now, f, f.data)
	}
}

// expire refuses a flow that has waited for so long that its caller won't see
// the answer. Flows aren't refused before that is certain: callers who return
// look new, and delay those who really are.
func (g *Gate) expire(now time.Time, f *held) {
	g.LogDecision(Decision{Event: "flow has waited for too long", Key: f.key, Age: now.Sub(f.came), Load: g.load(now)})
	g.drop(f)
	g.refuse(now, f.from, f.key, ReasonFull)
}

// Tick finds what is overdue; call it every few milliseconds while flows wait.
func (g *Gate) Tick(now time.Time) {
	g.expectAnswers(now)
	g.expectOpening(now)
	if now.Sub(g.swept) >= sweepEvery {
		g.swept = now
		g.sweep(now)
	}
	g.pump(now)
}

// expectAnswers looks at opening packets that the backend server hasn't
// answered in time.
func (g *Gate) expectAnswers(now time.Time) {
	for len(g.waits) > 0 {
		f := g.waits[0]
		if f.offered || f.ended || g.flows[f.key] != f {
			g.waits = g.waits[1:]
			continue
		}
		if now.Sub(f.handed) < handshakeWait {
			return
		}
		g.waits = g.waits[1:]
		if g.heardAt.After(f.handed) {
			// It answers others: the packet was lost on the way.
			continue
		}
		g.health.failed()
		if g.silentAt.IsZero() {
			g.silentAt = now
			g.LogDecision(Decision{Event: "backend server is silent", Key: f.key, Age: now.Sub(g.heardAt), Load: g.load(now)})
			g.ProbeServer()
		}
		g.drop(f)
		g.refuse(now, f.from, f.key, ReasonSilent)
	}
}

// expectOpening frees the places kept for callers that don't open their flows:
// most have gone.
func (g *Gate) expectOpening(now time.Time) {
	wait := max(openMin, openFactor*g.handshake)
	for len(g.openings) > 0 {
		f := g.openings[0]
		if f.use == useOpening && now.Sub(f.handed) < wait {
			return
		}
		g.openings = g.openings[1:]
		if f.use == useOpening {
			g.setUse(f, useNone)
		}
	}
}

// sweep frees slots of flows that nobody uses and forgets old flows.
func (g *Gate) sweep(now time.Time) {
	idle := idleDefault
	if g.view.Catalog != nil && g.view.Catalog.Idle > 0 {
		idle = g.view.Catalog.Idle.D()
	}
	for key, f := range g.flows {
		quiet := now.Sub(f.last)
		switch {
		case f.ended && quiet > endedWait, quiet > idle:
			g.setUse(f, useNone)
			delete(g.flows, key)
		case f.data != nil && now.Sub(f.came)+g.pace > min(f.timeout, attemptWait):
			g.expire(now, f)
		case f.use == useRunning && quiet > busyMax:
			g.health.failed()
			g.setUse(f, useNone)
		}
	}
	g.health.fade()
	g.queue.clean(func(f *held) bool { return g.flows[f.key] == f })
	if !g.silentAt.IsZero() && now.Sub(g.silentAt) > sweepEvery {
		g.ProbeServer()
	}
}

// UntilNextTick returns how long nothing is due.
func (g *Gate) UntilNextTick(now time.Time) time.Duration {
	next := g.swept.Add(sweepEvery)
	if len(g.waits) > 0 {
		if at := g.waits[0].handed.Add(handshakeWait); at.Before(next) {
			next = at
		}
	}
	if len(g.queue) > 0 && len(g.openings) > 0 {
		if at := g.openings[0].handed.Add(max(openMin, openFactor*g.handshake)); at.Before(next) {
			next = at
		}
	}
	return next.Sub(now)
}
