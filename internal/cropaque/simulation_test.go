package cropaque_test

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// One-way delays in the simulation.
const (
	callerDelay    = 3 * time.Millisecond
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = 1400 * time.Microsecond
	tickInterval   = 5 * time.Millisecond
)

// routeAddr is the address of the only route.
var routeAddr = netip.MustParseAddrPort("198.18.0.1:443")

// simulation runs balancers and agents with the real Steering and Gate, and
// models of backend servers and callers, in virtual time.
type simulation struct {
	now       time.Time
	events    eventHeap
	nextOrder int
	rnd       *rand.Rand
	// lossRate is the share of datagrams lost between balancers and agents.
	lossRate float64
	// partedZone is the zone whose frames to and from other zones are lost.
	partedZone string
	// agentDelay is an additional delay before agents handle frames.
	agentDelay time.Duration
	packets    []cropaque.Packet
	view       *crwire.View
	balancers  []*balancer
	agents     map[netip.AddrPort]*agent
	attempts   map[cropaque.Key]*attempt
	requests   []*request
	// size is the deployment that is simulated.
	size deploymentSize
	// maxRetries and callerTimeout apply to callers.
	maxRetries    int
	callerTimeout time.Duration
	// keepNext makes the next attempt one whose flow is kept.
	keepNext bool
	// useDownBalancers makes the fabric spread packets over all balancers,
	// including those that are down, as fabrics do while none is ready.
	useDownBalancers bool
	// keptReports counts the frames that report kept flows.
	keptReports int
	// brokenFlows counts resets of open flows whose backend server runs.
	brokenFlows int
	broken      []cropaque.Key
	decisions   []string
}

// event is a function to run at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// eventHeap orders events by time, then by creation.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// balancer is a simulated balancer.
type balancer struct {
	sim      *simulation
	addr     netip.AddrPort
	zone     string
	steering *cropaque.Steering
	down     bool
	// inRotation is set while the fabric sends packets to the balancer.
	inRotation bool
	// missedPolls counts the checks in a row that were lost at its link.
	missedPolls int
	// ingress and egress are the directions of its link, processor its share of
	// a core.
	ingress, egress, processor bottleneck
	// frames and frameBytes count the frames between it and agents by kind, in
	// both directions.
	frames, frameBytes map[cropaque.FrameKind]int
}

// agent is a simulated agent with its backend server.
type agent struct {
	sim    *simulation
	addr   netip.AddrPort
	name   string
	zone   string
	gate   *cropaque.Gate
	server *server
	down   bool
}

// server is a simulated backend server with some slots and a queue. It sends
// one answer for each flow.
type server struct {
	agent           *agent
	slots           int
	requestDuration time.Duration
	down            bool
	// failureRate is the share of requests that it ends at once without an
	// answer.
	failureRate float64
	// stalledUntil is when a stall ends that holds back all answers.
	stalledUntil time.Time
	// coldUntil is when its requests stop taking longer.
	coldUntil time.Time
	flows     map[cropaque.Key]*serverFlow
	running   int
	queue     []*serverFlow
	seq       uint64
	startedMS int64
	isn       uint32
}

// serverFlow is a flow at a backend server.
type serverFlow struct {
	key           cropaque.Key
	isn           uint32
	started, done bool
	// seq is the sequence number of the latest request.
	seq uint32
}

// request is a request of a caller.
type request struct {
	arrivedAt    time.Time
	answeredAt   time.Time
	failed       bool
	attemptCount int
	opened       bool
	runs         int
	repeatable   bool
	// kept is set if the flow of the request is kept for further ones.
	kept     bool
	attempts []*attempt
	// account is the caller's address and route the address that it sends to, if
	// they matter. maxRetries is how often it tries again if that is more often
	// than usual.
	account    netip.Addr
	route      netip.AddrPort
	maxRetries int
}

// attempt is one flow of a request.
type attempt struct {
	request *request
	key     cropaque.Key
	isn     uint32
	opened  bool
	ended   bool
	// kept is set if the caller sends further requests on the flow, and sent
	// counts these.
	kept bool
	sent uint32
	// agent is the agent whose backend server's answer was acknowledged.
	agent *agent
}

// Size and speed of the simulated ledger service of the school savings scheme.
const (
	serverCount     = 7
	slotsPerServer  = 3
	requestDuration = 24 * time.Millisecond
	// coldSlowdown is how many times longer a cold backend server takes.
	coldSlowdown = 1.6
)

// zones are the simulated availability zones.
var zones = []string{"a", "b", "c"}

// deploymentSize is the size of a simulated deployment.
type deploymentSize struct {
	agents, balancers int
	zones             []string
	slots             int
	requestDuration   time.Duration
	target, timeout   time.Duration
	// pollInterval is the time between two checks of a balancer's readiness by the
	// fabric; 0 means that the fabric knows at once which balancers are down.
	pollInterval time.Duration
	// linkBytes is what a balancer's link carries in a second, in each
	// direction, and datagramCost the time that its processor takes for a
	// datagram; 0 means without limit.
	linkBytes    float64
	datagramCost time.Duration
	// maxQueue is how much work may wait at a link or a processor, defaultMaxQueue
	// if 0.
	maxQueue time.Duration
	// requestPackets is how many more packets of full size a request has than one.
	requestPackets int
	// controlFrames is the balancers' limit of frames for lookups and pings.
	controlFrames float64
	// evenLoad is the balancers' setting.
	evenLoad bool
	// ignoreShares makes flows wait without regard to accounts and routes.
	ignoreShares bool
}

// shareWindow returns the window of the agents' shares.
func (d deploymentSize) shareWindow() time.Duration {
	if d.ignoreShares {
		return 0
	}
	return shareWindow
}

// newSimulation returns a simulation with agents in all zones and two
// balancers in each zone.
func newSimulation(seed uint64) *simulation {
	return newSimulationOf(seed, deploymentSize{
		agents: serverCount, balancers: 2 * len(zones), zones: zones, slots: slotsPerServer, requestDuration: requestDuration,
		target: targetLatency, timeout: 800 * time.Millisecond,
	})
}

// newSimulationOf returns a simulation of a deployment.
func newSimulationOf(seed uint64, size deploymentSize) *simulation {
	sim := &simulation{
		size: size,
		now:  time.Unix(1_700_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)),
		agents: map[netip.AddrPort]*agent{}, attempts: map[cropaque.Key]*attempt{},
		maxRetries: 2, callerTimeout: size.timeout,
		view: &crwire.View{
			Revision: 1, Members: map[uint32]crwire.Member{},
			Catalog: &crdoc.Catalog{
				Version: 1, Services: []crdoc.OpaqueService{{Name: "ledger"}},
				Routes: []crdoc.Route{{
					Name: "r", Address: routeAddr, Repeatable: true, Priority: 1,
					Timeout: crdoc.Duration(size.timeout), Target: crdoc.Duration(size.target),
					Shares: []crdoc.Share{{Service: "ledger", Weight: 1}},
				}},
			},
		},
	}
	for i := range size.agents {
		sim.addAgent(i, size.zones[i%len(size.zones)])
	}
	for i := range size.balancers {
		sim.addBalancer(i, size.zones[i%len(size.zones)])
	}
	sim.applyView()
	sim.every(tickInterval, sim.tick)
	sim.every(1200*time.Millisecond, sim.announce)
	for _, b := range sim.balancers {
		if size.pollInterval > 0 {
			sim.after(time.Duration(sim.rnd.Float64()*float64(size.pollInterval)), func() { sim.every(size.pollInterval, b.pollReadiness) })
		}
	}
	return sim
}

// addAgent adds an agent with a backend server.
func (sim *simulation) addAgent(i int, zone string) {
	a := &agent{sim: sim, zone: zone, addr: machineAddr(1, i), name: fmt.Sprintf("agent-%d", i)}
	a.server = &server{agent: a, slots: sim.size.slots, requestDuration: sim.size.requestDuration}
	a.server.start()
	a.start()
	sim.agents[a.addr] = a
	sim.view.Members[uint32(i+1)] = crwire.Member{
		Num: uint32(i + 1), Name: a.name, Service: "ledger", Zone: zone, DatagramAddr: a.addr.String(),
	}
}

func (sim *simulation) addBalancer(i int, zone string) {
	b := &balancer{
		sim: sim, zone: zone, addr: machineAddr(2, i), inRotation: true,
		frames: map[cropaque.FrameKind]int{}, frameBytes: map[cropaque.FrameKind]int{},
	}
	for _, l := range []*bottleneck{&b.ingress, &b.egress, &b.processor} {
		l.maxQueue = cmp.Or(sim.size.maxQueue, defaultMaxQueue)
	}
	b.start()
	sim.balancers = append(sim.balancers, b)
}

// machineAddr returns the address of a machine: 10.1.0.1:7000 is the first
// agent's, 10.2.0.1:7000 the first balancer's.
func machineAddr(network byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, network, byte((i + 1) >> 8), byte(i + 1)}), 7000)
}

// applyView applies the view on all agents and balancers.
func (sim *simulation) applyView() {
	for _, a := range sim.agents {
		a.gate.SetView(sim.view)
	}
	for _, b := range sim.balancers {
		b.steering.SetView(sim.now, sim.view)
	}
	sim.announce()
}

// after runs a function after d.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.nextOrder++
	heap.Push(&sim.events, event{at: sim.now.Add(d), order: sim.nextOrder, run: run})
}

// every runs a function at an interval of d.
func (sim *simulation) every(d time.Duration, run func()) {
	sim.after(d, func() {
		run()
		sim.every(d, run)
	})
}

// run processes events until d has passed.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e, ok := heap.Pop(&sim.events).(event)
		if !ok {
			return
		}
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// tick calls Tick on all agents and balancers that run.
func (sim *simulation) tick() {
	for _, a := range sim.agents {
		if !a.down {
			a.gate.Tick(sim.now)
		}
	}
	for _, b := range sim.balancers {
		if !b.down {
			b.steering.Tick(sim.now)
		}
	}
}

// announce sends the announcements of all backend servers.
func (sim *simulation) announce() {
	for _, a := range sim.agents {
		if !a.down && !a.server.down {
			a.server.seq++
			a.gate.HandleAnnouncement(sim.now, cropaque.Server{
				ID: "s", StartedMS: a.server.startedMS, Seq: a.server.seq, Service: "ledger", Slots: a.server.slots,
			})
		}
	}
}

// encode stores a packet and returns its index as bytes.
func (sim *simulation) encode(p cropaque.Packet) []byte {
	sim.packets = append(sim.packets, p)
	return binary.BigEndian.AppendUint64(nil, uint64(len(sim.packets)-1))
}

// decode returns the packet at an encoded index.
func (sim *simulation) decode(data []byte) cropaque.Packet {
	return sim.packets[binary.BigEndian.Uint64(data)]
}

// parted reports whether frames between two zones are lost.
func (sim *simulation) parted(a, b string) bool {
	return a != b && (a == sim.partedZone || b == sim.partedZone)
}

// zoneDelay returns the delay between two zones.
func zoneDelay(a, b string) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// start starts a balancer that knows the view but no flows.
func (b *balancer) start() {
	b.startWithoutView()
	b.steering.SetView(b.sim.now, b.sim.view)
}

// startWithoutView starts a balancer that knows neither a view nor flows.
func (b *balancer) startWithoutView() {
	b.down = false
	b.steering = &cropaque.Steering{
		Zone: b.zone, ControlFrames: b.sim.size.controlFrames, EvenLoad: b.sim.size.evenLoad, Random: b.sim.rnd.Float64, ViewFresh: func() bool { return true },
		LogDecision: b.sim.logDecision(b.addr),
		Send: func(to netip.AddrPort, f *cropaque.Frame) {
			frame, err := cropaque.ParseFrame(f.Append(nil))
			a := b.sim.agents[to]
			if err != nil || a == nil || b.sim.parted(b.zone, a.zone) || b.sim.rnd.Float64() < b.sim.lossRate {
				return
			}
			b.count(&frame)
			sent, ok := b.egress.pass(b.sim.now, b.sim.linkTime(&frame))
			if !ok {
				return
			}
			b.sim.after(sent+zoneDelay(b.zone, a.zone)+b.sim.agentDelay, func() { a.handleFrame(b, &frame) })
		},
		ResetFlow: func(key cropaque.Key, _ uint32) {
			if sent, ok := b.egress.pass(b.sim.now, b.sim.transferTime(headerBytes+packetHeadBytes)); ok {
				b.sim.after(sent, func() { b.sim.resetCaller(key) })
			}
		},
	}
	b.steering.Init()
}

// handleFrame processes a frame of a balancer.
func (a *agent) handleFrame(from *balancer, f *cropaque.Frame) {
	if a.down {
		return
	}
	var p cropaque.Packet
	if len(f.Data) > 0 {
		p = a.sim.decode(f.Data)
	}
	a.gate.HandleFrame(a.sim.now, from.addr, f, p)
}

// handleAgentFrame processes a frame of another agent.
func (a *agent) handleAgentFrame(from *agent, f *cropaque.Frame) {
	if !a.down {
		a.gate.HandleFrame(a.sim.now, from.addr, f, cropaque.Packet{})
	}
}

// start starts an agent that knows the view but no flows.
func (a *agent) start() {
	a.startWithoutView()
	a.gate.SetView(a.sim.view)
}

// startWithoutView starts an agent that knows neither a view nor flows.
func (a *agent) startWithoutView() {
	sim := a.sim
	a.down = false
	a.gate = &cropaque.Gate{
		Name: a.name, Zone: a.zone, ShareWindow: sim.size.shareWindow(), RouteReserve: routeReserve, AnnounceInterval: 1200 * time.Millisecond, ColdFactor: 1.5, ColdExtra: 5, StartedAt: sim.now,
		ToServer: func(data []byte) {
			p := sim.decode(data)
			sim.after(0, func() { a.server.handlePacket(p, data) })
		},
		ToCaller: func(key cropaque.Key, data []byte) {
			p := sim.decode(data)
			sim.after(callerDelay, func() { sim.deliverToCaller(a, key, p) })
		},
		Reply: func(to netip.AddrPort, f *cropaque.Frame) {
			frame, err := cropaque.ParseFrame(f.Append(nil))
			if err != nil || sim.rnd.Float64() < sim.lossRate {
				return
			}
			if frame.Load.Kept > 0 || frame.KeptRoute {
				sim.keptReports++
			}
			if other := sim.agents[to]; other != nil && !sim.parted(a.zone, other.zone) {
				sim.after(zoneDelay(a.zone, other.zone), func() { other.handleAgentFrame(a, &frame) })
			}
			for _, b := range sim.balancers {
				if b.addr == to && !sim.parted(a.zone, b.zone) {
					b.count(&frame)
					sim.after(zoneDelay(a.zone, b.zone), func() {
						b.receive(sim.linkTime(&frame), func() { b.steering.HandleFrame(sim.now, a.addr, &frame) })
					})
				}
			}
		},
		ResetFlow: func(key cropaque.Key, _ uint32) { sim.resetCaller(key) },
		ClearReturned: func(data []byte) []byte {
			p := sim.decode(data)
			p.Returned = false
			return sim.encode(p)
		},
		ProbeServer: func() {
			sim.after(time.Millisecond, func() {
				if a.down {
					return
				}
				if a.server.down {
					a.gate.ProbeRefused(sim.now)
					return
				}
				a.gate.ProbeSucceeded(sim.now)
			})
		},
		LogDecision: sim.logDecision(a.addr),
	}
	a.gate.Init()
}

// logDecision returns a function that keeps decisions for the output of failed
// tests.
func (sim *simulation) logDecision(by netip.AddrPort) func(d cropaque.Decision) {
	return func(d cropaque.Decision) {
		if !d.Routine {
			sim.decisions = append(sim.decisions, fmt.Sprintf("%s %s: %s %s %s %s",
				sim.now.Format("05.000"), by, d.Event, d.Key.Caller, d.Reason, d.Age))
		}
	}
}

// start starts a backend server without flows.
func (s *server) start() {
	s.down, s.running, s.queue, s.seq = false, 0, nil, 0
	s.flows = map[cropaque.Key]*serverFlow{}
	s.startedMS = s.agent.sim.now.UnixMilli()
}

// sendToAgent passes a packet of the backend server to its agent.
func (s *server) sendToAgent(p cropaque.Packet) {
	if !s.agent.down {
		s.agent.gate.HandleServerPacket(s.agent.sim.now, p, s.agent.sim.encode(p))
	}
}

// handlePacket processes a packet.
func (s *server) handlePacket(p cropaque.Packet, _ []byte) {
	sim := s.agent.sim
	if s.down {
		return
	}
	if sim.now.Before(s.stalledUntil) {
		sim.after(s.stalledUntil.Sub(sim.now), func() { s.handlePacket(p, nil) })
		return
	}
	key := p.KeyFromCaller()
	f := s.flows[key]
	switch {
	case p.Open && f == nil && len(s.queue) > 4*s.slots, !p.Open && f == nil:
		p.Returned = true
		s.sendToAgent(p)
	case p.Open && f == nil:
		s.isn += 100_000
		f = &serverFlow{key: key, isn: s.isn}
		s.flows[key] = f
		fallthrough
	case p.Open:
		s.sendToAgent(cropaque.Packet{From: key.Service, To: key.Caller, Open: true, Ack: true, Seq: f.isn})
	case p.Size > 0 && (!f.started || f.done && p.Seq != f.seq):
		f.started, f.done, f.seq = true, false, p.Seq
		if sim.rnd.Float64() < s.failureRate {
			f.done = true
			s.sendToAgent(cropaque.Packet{From: key.Service, To: key.Caller, Reset: true, Seq: f.isn + 1})
			return
		}
		s.queue = append(s.queue, f)
		s.runQueued()
	case p.Size > 0 && f.done:
		s.sendAnswer(f)
	}
}

// runQueued runs queued requests while slots are free.
func (s *server) runQueued() {
	sim, startedMS := s.agent.sim, s.startedMS
	for s.running < s.slots && len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		if att := sim.attempts[f.key]; att != nil {
			att.request.runs++
		}
		duration := float64(s.requestDuration) * (0.5 + sim.rnd.Float64())
		if sim.now.Before(s.coldUntil) {
			duration *= coldSlowdown
		}
		sim.after(time.Duration(duration), func() {
			if s.down || s.startedMS != startedMS {
				return
			}
			s.running--
			f.done = true
			s.sendAnswer(f)
			s.runQueued()
		})
	}
}

// sendAnswer answers a request.
func (s *server) sendAnswer(f *serverFlow) {
	att := s.agent.sim.attempts[f.key]
	s.sendToAgent(cropaque.Packet{From: f.key.Service, To: f.key.Caller, Ack: true, End: att == nil || !att.kept, Seq: f.isn + 1, Size: 600})
}
