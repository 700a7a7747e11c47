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
	// maxConfirmedFlows and maxProbationFlows bound the flow table. A flow that
	// is being opened takes two entries.
	maxConfirmedFlows = 200_000
	maxProbationFlows = 40_000
	// confirmedIdleTimeout removes a flow without datagrams. It exceeds the
	// idle timeout of the QUIC connection, which has ended by then.
	confirmedIdleTimeout = 2 * time.Minute
	// probationIdleTimeout removes a flow that was never confirmed.
	probationIdleTimeout = 15 * time.Second
	// noticeInterval is the minimum interval between two notices to a balancer
	// with an older revision.
	noticeInterval = 200 * time.Millisecond
	// maxNoticeTargets bounds the balancers whose last notice is remembered.
	maxNoticeTargets = 1024
	// planRefreshInterval is the interval at which expired parts of the plan
	// are dropped.
	planRefreshInterval = time.Second
)

// datagramServer receives envelopes from balancers and other agents, decides
// which flows belong to this agent, and sends the agent's answers.
type datagramServer struct {
	service string
	zone    string
	// num returns the agent's number, 0 before control has assigned one.
	num func() uint32
	// draining reports whether the agent refuses new flows.
	draining func() bool
	// hasCapacity reports whether the agent's load allows one more flow.
	hasCapacity func() bool
	// onNewerRevision is called when another process has a newer revision.
	// agent is the number of that process, 0 for a balancer.
	onNewerRevision func(agent uint32, rev uint64)
	counters        *counters

	socket *crnet.Socket
	conn   *packetConn
	flows  *crflow.Flows
	plan   atomic.Pointer[crroute.Plan]

	generator *connIDGenerator

	// padder, sealer, env, buf and lastNotice are used only by the receiving
	// goroutine.
	padder     resetPadder
	sealer     *crroute.Sealer
	env        crwire.Envelope
	buf        []byte
	lastNotice map[netip.AddrPort]time.Time

	// sendMu guards answers.
	sendMu  sync.Mutex
	answers answerEncoder

	// routerMu guards router and view.
	routerMu sync.Mutex
	router   crroute.Router
	view     *crwire.View
}

// open binds the socket.
func (d *datagramServer) open(addr string, keys *crroute.Keyring) error {
	d.sealer = crroute.NewSealer(keys)
	d.lastNotice = map[netip.AddrPort]time.Time{}
	d.generator = newConnIDGenerator(d.num, d.service, keys)
	d.padder = resetPadder{issued: d.generator.issued, sealer: crroute.NewSealer(keys)}
	d.answers = answerEncoder{sealer: crroute.NewSealer(keys)}
	d.plan.Store(&crroute.Plan{})
	table := &crflow.Table{MaxConfirmed: maxConfirmedFlows, MaxProbation: maxProbationFlows, ConfirmedIdleTimeout: confirmedIdleTimeout, ProbationIdleTimeout: probationIdleTimeout}
	table.Init()
	d.flows = &crflow.Flows{
		Table:        table,
		HasCapacity:  func() bool { return !d.draining() && d.hasCapacity() },
		AcceptAsLast: func() bool { return !d.draining() },
		CanForwardTo: d.canForwardTo,
	}
	d.socket = &crnet.Socket{Addr: addr, Receive: d.receive}
	// The socket may receive before conn is set. num is 0 until then, so
	// validate drops the envelopes.
	if err := d.socket.Start(); err != nil {
		return err
	}
	return nil
}

// run drops expired parts of the plan until done is closed.
func (d *datagramServer) run(done <-chan struct{}) {
	tick := time.NewTicker(planRefreshInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			d.dropExpired(now)
		case <-done:
			return
		}
	}
}

// setView builds the plan for a new view.
func (d *datagramServer) setView(v *crwire.View) {
	d.routerMu.Lock()
	defer d.routerMu.Unlock()
	d.view = v
	d.plan.Store(d.router.Update(v, time.Now()))
}

// dropExpired rebuilds the plan if it has parts that expire.
func (d *datagramServer) dropExpired(now time.Time) {
	d.routerMu.Lock()
	defer d.routerMu.Unlock()
	if d.router.HasExpiring() {
		d.plan.Store(d.router.Update(d.view, now))
	}
}

// canForwardTo reports whether new flows can be forwarded to an agent.
func (d *datagramServer) canForwardTo(num uint32) bool {
	t, ok := d.plan.Load().Target(num)
	return ok && !t.ZoneOut && t.Service == d.service
}

// receive handles one envelope.
func (d *datagramServer) receive(b []byte, _ netip.AddrPort) {
	if err := crwire.OpenEnvelope(b, &d.env, d.sealer.Verify); err != nil {
		d.counters.countDrop(crroute.EnvelopeReason(err))
		return
	}
	plan := d.plan.Load()
	d.compareRevisions(plan)
	if d.env.Kind == crwire.EnvelopeNotice && d.env.ReturnAddr.IsValid() {
		d.flows.RecordBalancer(d.env.ReturnAddr, time.Now())
		return
	}
	reason := d.validate(plan)
	if reason == crroute.ReasonNone {
		reason = d.handle(plan)
	}
	if reason != crroute.ReasonNone {
		d.counters.countDrop(reason)
	}
}

// compareRevisions sends a notice to a balancer with an older revision than the
// agent's. If the sender's revision is newer, it calls onNewerRevision.
func (d *datagramServer) compareRevisions(plan *crroute.Plan) {
	switch {
	case d.env.Revision > plan.Revision:
		d.onNewerRevision(d.env.Sender, d.env.Revision)
	case d.env.Revision < plan.Revision && d.env.Sender == 0 && d.env.ReturnAddr.IsValid():
		d.sendNotice(d.env.ReturnAddr, plan.Revision)
	}
}

// sendNotice sends the agent's revision to a balancer, at most once per
// noticeInterval.
func (d *datagramServer) sendNotice(to netip.AddrPort, rev uint64) {
	now := time.Now()
	if now.Sub(d.lastNotice[to]) < noticeInterval {
		return
	}
	if len(d.lastNotice) >= maxNoticeTargets {
		clear(d.lastNotice)
	}
	d.lastNotice[to] = now
	note := crwire.Envelope{Kind: crwire.EnvelopeNotice, Revision: rev, Sender: d.num()}
	d.buf = crwire.AppendEnvelope(d.buf[:0], &note, d.sealer.MAC)
	if d.socket.Send(d.buf, to) != nil {
		d.counters.countDrop(crroute.ReasonSend)
	}
}

// validate returns the reason why this agent must drop the envelope, or
// ReasonNone.
func (d *datagramServer) validate(plan *crroute.Plan) crroute.Reason {
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

// handle decides what to do with a caller's datagram and does it. It returns
// the reason if the datagram is dropped.
func (d *datagramServer) handle(plan *crroute.Plan) crroute.Reason {
	head, reason := crroute.ReadPacket(d.env.Payload)
	if reason != crroute.ReasonNone {
		return reason
	}
	now := time.Now()
	action := d.flows.Decide(&d.env, crroute.DestIDHash(head.DestID), head.LongHeader && head.MayBeInitial, now)
	d.counters.countAction(action)
	switch action {
	case crflow.ActionHandle, crflow.ActionAccept:
		if !d.conn.deliver(d.padder.pad(d.env.Payload, &head, now), d.env.Caller) {
			return crroute.ReasonQueue
		}
		return crroute.ReasonNone
	case crflow.ActionPass:
		return d.forward(plan)
	case crflow.ActionRefuse:
		return crroute.ReasonRoom
	default:
		return crroute.ReasonUnknown
	}
}

// forward sends the datagram to the agent that is now the envelope's receiver.
func (d *datagramServer) forward(plan *crroute.Plan) crroute.Reason {
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
