package cragent

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cardamomring.dev/internal/crflow"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
)

const (
	// flowsLive and flowsOpening bound the flow table; an opening flow takes
	// two entries.
	flowsLive    = 200_000
	flowsOpening = 40_000
	// liveIdle ends a flow that no datagram has used; the QUIC connection
	// has ended by then.
	liveIdle = 2 * time.Minute
	// openIdle ends a flow that never opened.
	openIdle = 15 * time.Second
	// noticeEvery is how often a balancer that is behind is told.
	noticeEvery = 200 * time.Millisecond
	// noticedMax bounds the balancers that are remembered as told.
	noticedMax = 1024
	// planTick is how often the plan's old parts are dropped.
	planTick = time.Second
)

// datagrams takes envelopes of balancers and other agents, decides which
// flows are the agent's own, and sends its answers.
type datagrams struct {
	service string
	zone    string
	// num returns the agent's number, 0 before control has given one.
	num func() uint32
	// draining reports whether the agent takes no new flows.
	draining func() bool
	// room reports whether the agent may take one more flow by its load.
	room func() bool
	// ahead is called when another process holds a later revision; agent is
	// its number, 0 for a balancer.
	ahead    func(agent uint32, rev uint64)
	counters *counters

	socket *crnet.Socket
	conn   *packetConn
	flows  *crflow.Flows
	plan   atomic.Pointer[crroute.Plan]

	generator *generator

	// resets, sealer, env, buf and noticed are the receiving goroutine's.
	resets  resets
	sealer  *crroute.Sealer
	env     crwire.Envelope
	buf     []byte
	noticed map[netip.AddrPort]time.Time

	// out writes answers; sending guards it.
	sending sync.Mutex
	out     sender

	// updating guards the router.
	updating sync.Mutex
	router   crroute.Router
	view     *crwire.View
}

// open binds the socket.
func (d *datagrams) open(addr string, keys *crroute.Keyring) error {
	d.sealer = crroute.NewSealer(keys)
	d.noticed = map[netip.AddrPort]time.Time{}
	d.generator = newGenerator(d.num, d.service, keys)
	d.resets = resets{issued: d.generator.issued, sealer: crroute.NewSealer(keys)}
	d.out = sender{sealer: crroute.NewSealer(keys)}
	d.plan.Store(&crroute.Plan{})
	table := &crflow.Table{MaxConfirmed: flowsLive, MaxProbation: flowsOpening, ConfirmedIdleTimeout: liveIdle, ProbationIdleTimeout: openIdle}
	table.Init()
	d.flows = &crflow.Flows{
		Table:        table,
		HasCapacity:  func() bool { return !d.draining() && d.room() },
		AcceptAsLast: func() bool { return !d.draining() },
		CanForwardTo: d.known,
	}
	d.socket = &crnet.Socket{Addr: addr, Receive: d.receive}
	// The socket may receive before conn is set; num is 0 until then.
	if err := d.socket.Start(); err != nil {
		return err
	}
	return nil
}

// run drops the plan's old parts until done is closed.
func (d *datagrams) run(done <-chan struct{}) {
	tick := time.NewTicker(planTick)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			d.refresh(now)
		case <-done:
			return
		}
	}
}

// took makes the plan of a later view.
func (d *datagrams) took(v *crwire.View) {
	d.updating.Lock()
	defer d.updating.Unlock()
	d.view = v
	d.plan.Store(d.router.Update(v, time.Now()))
}

// refresh drops what the plan no longer needs.
func (d *datagrams) refresh(now time.Time) {
	d.updating.Lock()
	defer d.updating.Unlock()
	if d.router.HasExpiring() {
		d.plan.Store(d.router.Update(d.view, now))
	}
}

// known reports whether an agent can be asked to take a flow.
func (d *datagrams) known(num uint32) bool {
	t, ok := d.plan.Load().Target(num)
	return ok && !t.ZoneOut && t.Service == d.service
}

// receive takes one envelope.
func (d *datagrams) receive(b []byte, _ netip.AddrPort) {
	if err := crwire.OpenEnvelope(b, &d.env, d.sealer.Verify); err != nil {
		d.counters.drop(crroute.EnvelopeReason(err))
		return
	}
	plan := d.plan.Load()
	d.compare(plan)
	if d.env.Kind == crwire.EnvelopeNotice && d.env.ReturnAddr.IsValid() {
		d.flows.RecordBalancer(d.env.ReturnAddr, time.Now())
		return
	}
	reason := d.check(plan)
	if reason == crroute.ReasonNone {
		reason = d.handle(plan)
	}
	if reason != crroute.ReasonNone {
		d.counters.drop(reason)
	}
}

// compare tells the sender that it is behind, or notes that it is ahead.
func (d *datagrams) compare(plan *crroute.Plan) {
	switch {
	case d.env.Revision > plan.Revision:
		d.ahead(d.env.Sender, d.env.Revision)
	case d.env.Revision < plan.Revision && d.env.Sender == 0 && d.env.ReturnAddr.IsValid():
		d.notice(d.env.ReturnAddr, plan.Revision)
	}
}

// notice sends a balancer this agent's revision, not too often.
func (d *datagrams) notice(to netip.AddrPort, rev uint64) {
	now := time.Now()
	if now.Sub(d.noticed[to]) < noticeEvery {
		return
	}
	if len(d.noticed) >= noticedMax {
		clear(d.noticed)
	}
	d.noticed[to] = now
	note := crwire.Envelope{Kind: crwire.EnvelopeNotice, Revision: rev, Sender: d.num()}
	d.buf = crwire.AppendEnvelope(d.buf[:0], &note, d.sealer.MAC)
	if d.socket.Send(d.buf, to) != nil {
		d.counters.drop(crroute.ReasonSend)
	}
}

// check returns why an envelope must not be handled here.
func (d *datagrams) check(plan *crroute.Plan) crroute.Reason {
	num := d.num()
	switch {
	case d.env.Kind != crwire.EnvelopeForward:
		return crroute.ReasonHeader
	case num == 0:
		return crroute.ReasonStarting
	case string(d.env.Service) != d.service:
		return crroute.ReasonService
	case d.env.Chain[d.env.Position] != num:
		return crroute.ReasonAgent
	case slices.Contains(plan.ZonesOut, d.zone):
		return crroute.ReasonZone
	}
	return crroute.ReasonNone
}

// handle decides about a datagram and carries the decision out.
func (d *datagrams) handle(plan *crroute.Plan) crroute.Reason {
	head, reason := crroute.ReadPacket(d.env.Payload)
	if reason != crroute.ReasonNone {
		return reason
	}
	now := time.Now()
	action := d.flows.Decide(&d.env, crroute.DestIDHash(head.DestID), head.LongHeader && head.MayBeInitial, now)
	d.counters.decided(action)
	switch action {
	case crflow.ActionHandle, crflow.ActionAccept:
		if !d.conn.deliver(d.resets.lengthen(d.env.Payload, &head, now), d.env.Caller) {
			return crroute.ReasonQueue
		}
		return crroute.ReasonNone
	case crflow.ActionPass:
		return d.pass(plan)
	case crflow.ActionRefuse:
		return crroute.ReasonRoom
	default:
		return crroute.ReasonUnknown
	}
}

// pass sends the datagram on to the agent that the envelope now names.
func (d *datagrams) pass(plan *crroute.Plan) crroute.Reason {
	t, ok := plan.Target(d.env.Chain[d.env.Position])
	if !ok || t.ZoneOut {
		return crroute.ReasonUnknown
	}
	d.env.Sender, d.env.Revision = d.num(), plan.Revision
	d.buf = crwire.AppendEnvelope(d.buf[:0], &d.env, d.sealer.MAC)
	if d.socket.Send(d.buf, t.Addr) != nil {
		return crroute.ReasonSend
	}
	return crroute.ReasonNone
}
