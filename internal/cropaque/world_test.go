package cropaque_test

import (
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

// Delays between the parts of the world, one way.
const (
	callerDelay = 3 * time.Millisecond
	nearDelay   = 200 * time.Microsecond
	farDelay    = 1400 * time.Microsecond
	tickPause   = 5 * time.Millisecond
)

// entrance is the address of the only route.
var entrance = netip.MustParseAddrPort("198.18.0.1:443")

// world runs balancers, agents, backend servers and callers in virtual time
// over the real decisions.
type world struct {
	now    time.Time
	events eventHeap
	order  int
	rnd    *rand.Rand
	// loss is the share of datagrams between balancers and agents that is lost.
	loss float64
	// lag is how much later than usual agents handle frames.
	lag       time.Duration
	packets   []cropaque.Packet
	view      *crwire.View
	balancers []*balancer
	agents    map[netip.AddrPort]*agent
	callers   map[cropaque.Key]*attempt
	requests  []*request
	// retries and deadline are those of callers.
	retries  int
	deadline time.Duration
	// blind makes the fabric spread packets over all balancers, also those
	// that are down, as fabrics do while none is ready.
	blind bool
	// brokenFlows counts resets of open flows whose backend server lives.
	brokenFlows int
	log         []string
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

// eventHeap orders events by time, then by when they were made.
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

// balancer is a balancer of the world.
type balancer struct {
	w        *world
	addr     netip.AddrPort
	zone     string
	steering *cropaque.Steering
	down     bool
}

// agent is an agent of the world with its backend server.
type agent struct {
	w      *world
	addr   netip.AddrPort
	zone   string
	gate   *cropaque.Gate
	server *server
	down   bool
}

// server is a backend server: some slots, a queue, and one answer a flow.
type server struct {
	a     *agent
	slots int
	work  time.Duration
	down  bool
	// failing is the share of requests that it ends at once without an answer.
	failing float64
	// stalled holds back every answer until it is over.
	stalled time.Time
	// coldTill is until when it takes longer for each request.
	coldTill time.Time
	flows    map[cropaque.Key]*served
	running  int
	queue    []*served
	seq      uint64
	born     int64
	isn      uint32
}

// served is a flow at a backend server.
type served struct {
	key           cropaque.Key
	isn           uint32
	started, over bool
}

// request is what a caller wants.
type request struct {
	came     time.Time
	done     time.Time
	failed   bool
	tries    int
	opened   bool
	runs     int
	repeats  bool
	attempts []*attempt
}

// attempt is one flow of a request.
type attempt struct {
	r      *request
	key    cropaque.Key
	isn    uint32
	opened bool
	ended  bool
	// at is the agent whose answer was acknowledged.
	at *agent
}

// The ledger of the school savings scheme: servers of some slots, and the time
// of a request.
const (
	servers = 7
	slots   = 3
	work    = 24 * time.Millisecond
	// coldFactor is how many times longer a cold backend server takes.
	coldFactor = 1.6
)

// zones are the availability zones of a world.
var zones = []string{"a", "b", "c"}

// newWorld makes a world with agents in zones and two balancers a zone.
func newWorld(seed uint64) *world {
	w := &world{
		now: time.Unix(1_700_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)),
		agents: map[netip.AddrPort]*agent{}, callers: map[cropaque.Key]*attempt{},
		retries: 2, deadline: 800 * time.Millisecond,
		view: &crwire.View{
			Revision: 1, Members: map[uint32]crwire.Member{},
			Catalog: &crdoc.Catalog{
				Version: 1, Services: []crdoc.Opaque{{Name: "ledger"}},
				Routes: []crdoc.Route{{
					Name: "r", Address: entrance, Repeatable: true, Priority: 1,
					Timeout: crdoc.Duration(800 * time.Millisecond), Target: crdoc.Duration(120 * time.Millisecond),
					Shares: []crdoc.Share{{Service: "ledger", Weight: 1}},
				}},
			},
		},
	}
	for i := range servers {
		w.addAgent(i, zones[i%len(zones)])
	}
	for i := range 2 * len(zones) {
		w.addBalancer(i, zones[i%len(zones)])
	}
	w.spread()
	w.every(tickPause, w.tick)
	w.every(1200*time.Millisecond, w.announce)
	return w
}

// addAgent adds an agent with a backend server.
func (w *world) addAgent(i int, zone string) {
	a := &agent{w: w, zone: zone, addr: netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:7000", i+1))}
	a.server = &server{a: a, slots: slots, work: work}
	a.server.start()
	a.start()
	w.agents[a.addr] = a
	w.view.Members[uint32(i+1)] = crwire.Member{
		Num: uint32(i + 1), Name: fmt.Sprintf("agent-%d", i), Service: "ledger", Zone: zone, DatagramAddr: a.addr.String(),
	}
}

// addBalancer adds a balancer.
func (w *world) addBalancer(i int, zone string) {
	b := &balancer{w: w, zone: zone, addr: netip.MustParseAddrPort(fmt.Sprintf("10.2.0.%d:7000", i+1))}
	b.start()
	w.balancers = append(w.balancers, b)
}

// spread puts the view in force everywhere.
func (w *world) spread() {
	for _, a := range w.agents {
		a.gate.SetView(w.view)
	}
	for _, b := range w.balancers {
		b.steering.SetView(w.now, w.view)
	}
	w.announce()
}

// after does something later.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, do: do})
}

// every does something again and again.
func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e, ok := heap.Pop(&w.events).(event)
		if !ok {
			return
		}
		w.now = e.at
		e.do()
	}
	w.now = end
}

// tick moves the decisions on.
func (w *world) tick() {
	for _, a := range w.agents {
		if !a.down {
			a.gate.Tick(w.now)
		}
	}
	for _, b := range w.balancers {
		if !b.down {
			b.steering.Tick(w.now)
		}
	}
}

// announce lets each backend server announce itself.
func (w *world) announce() {
	for _, a := range w.agents {
		if !a.down && !a.server.down {
			a.server.seq++
			a.gate.HandleAnnouncement(w.now, cropaque.Server{
				ID: "s", StartedMS: a.server.born, Seq: a.server.seq, Service: "ledger", Slots: a.server.slots,
			})
		}
	}
}

// encode keeps a packet and returns the bytes that stand for it.
func (w *world) encode(p cropaque.Packet) []byte {
	w.packets = append(w.packets, p)
	return binary.BigEndian.AppendUint64(nil, uint64(len(w.packets)-1))
}

// decode returns the packet that bytes stand for.
func (w *world) decode(data []byte) cropaque.Packet {
	return w.packets[binary.BigEndian.Uint64(data)]
}

// way returns the delay between two zones.
func way(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return farDelay
}

// start makes a balancer that knows the view and nothing else.
func (b *balancer) start() {
	b.open()
	b.steering.SetView(b.w.now, b.w.view)
}

// open makes a balancer that knows nothing.
func (b *balancer) open() {
	b.down = false
	b.steering = &cropaque.Steering{
		Zone: b.zone, Random: b.w.rnd.Float64, ViewFresh: func() bool { return true },
		LogDecision: b.w.note(b.addr),
		Send: func(to netip.AddrPort, f *cropaque.Frame) {
			frame, err := cropaque.ParseFrame(f.Append(nil))
			a := b.w.agents[to]
			if err != nil || a == nil || b.w.rnd.Float64() < b.w.loss {
				return
			}
			b.w.after(way(b.zone, a.zone)+b.w.lag, func() { a.frame(b, &frame) })
		},
		ResetFlow: func(key cropaque.Key, _ uint32) { b.w.reset(key) },
	}
	b.steering.Init()
}

// frame takes a frame of a balancer.
func (a *agent) frame(from *balancer, f *cropaque.Frame) {
	if a.down {
		return
	}
	var p cropaque.Packet
	if len(f.Data) > 0 {
		p = a.w.decode(f.Data)
	}
	a.gate.HandleFrame(a.w.now, from.addr, f, p)
}

// start makes an agent with nothing known but the view.
func (a *agent) start() {
	a.open()
	a.gate.SetView(a.w.view)
}

// open makes an agent that knows nothing.
func (a *agent) open() {
	w := a.w
	a.down = false
	a.gate = &cropaque.Gate{
		Zone: a.zone, AnnounceInterval: 1200 * time.Millisecond, ColdFactor: 1.5, ColdExtra: 5, StartedAt: w.now,
		ToServer: func(data []byte) {
			p := w.decode(data)
			w.after(0, func() { a.server.take(p, data) })
		},
		ToCaller: func(key cropaque.Key, data []byte) {
			p := w.decode(data)
			w.after(callerDelay, func() { w.answer(a, key, p) })
		},
		Reply: func(to netip.AddrPort, f *cropaque.Frame) {
			frame, err := cropaque.ParseFrame(f.Append(nil))
			if err != nil || w.rnd.Float64() < w.loss {
				return
			}
			for _, b := range w.balancers {
				if b.addr == to {
					w.after(way(a.zone, b.zone), func() {
						if !b.down {
							b.steering.HandleFrame(w.now, a.addr, &frame)
						}
					})
				}
			}
		},
		ResetFlow: func(key cropaque.Key, _ uint32) { w.reset(key) },
		ClearReturned: func(data []byte) []byte {
			p := w.decode(data)
			p.Returned = false
			return w.encode(p)
		},
		ProbeServer: func() {
			w.after(time.Millisecond, func() {
				if a.down {
					return
				}
				if a.server.down {
					a.gate.ProbeRefused(w.now)
					return
				}
				a.gate.ProbeSucceeded(w.now)
			})
		},
		LogDecision: w.note(a.addr),
	}
	a.gate.Init()
}

// note keeps what was decided, for failures.
func (w *world) note(by netip.AddrPort) func(n cropaque.Decision) {
	return func(n cropaque.Decision) {
		if !n.Routine {
			w.log = append(w.log, fmt.Sprintf("%s %s: %s %s %s %s",
				w.now.Format("05.000"), by, n.Event, n.Key.Caller, n.Reason, n.Age))
		}
	}
}

// start makes a backend server with nothing known.
func (s *server) start() {
	s.down, s.running, s.queue, s.seq = false, 0, nil, 0
	s.flows = map[cropaque.Key]*served{}
	s.born = s.a.w.now.UnixMilli()
}

// send hands a packet of the backend server to its agent.
func (s *server) send(p cropaque.Packet) {
	if !s.a.down {
		s.a.gate.HandleServerPacket(s.a.w.now, p, s.a.w.encode(p))
	}
}

// take handles a packet.
func (s *server) take(p cropaque.Packet, _ []byte) {
	w := s.a.w
	if s.down {
		return
	}
	if w.now.Before(s.stalled) {
		w.after(s.stalled.Sub(w.now), func() { s.take(p, nil) })
		return
	}
	key := p.KeyFromCaller()
	f := s.flows[key]
	switch {
	case p.Open && f == nil && len(s.queue) > 4*s.slots, !p.Open && f == nil:
		p.Returned = true
		s.send(p)
	case p.Open && f == nil:
		s.isn += 100_000
		f = &served{key: key, isn: s.isn}
		s.flows[key] = f
		fallthrough
	case p.Open:
		s.send(cropaque.Packet{From: key.Service, To: key.Caller, Open: true, Ack: true, Seq: f.isn})
	case p.Size > 0 && !f.started:
		f.started = true
		if w.rnd.Float64() < s.failing {
			f.over = true
			s.send(cropaque.Packet{From: key.Service, To: key.Caller, Reset: true, Seq: f.isn + 1})
			return
		}
		s.queue = append(s.queue, f)
		s.pump()
	case p.Size > 0 && f.over:
		s.finish(f)
	}
}

// pump runs what waits while slots are free.
func (s *server) pump() {
	w, life := s.a.w, s.born
	for s.running < s.slots && len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		if at := w.callers[f.key]; at != nil {
			at.r.runs++
		}
		took := float64(s.work) * (0.5 + w.rnd.Float64())
		if w.now.Before(s.coldTill) {
			took *= coldFactor
		}
		w.after(time.Duration(took), func() {
			if s.down || s.born != life {
				return
			}
			s.running--
			f.over = true
			s.finish(f)
			s.pump()
		})
	}
}

// finish answers a request.
func (s *server) finish(f *served) {
	s.send(cropaque.Packet{From: f.key.Service, To: f.key.Caller, Ack: true, End: true, Seq: f.isn + 1, Size: 600})
}
