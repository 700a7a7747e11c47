package cregress_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamomring.dev/internal/cregress"
)

// Sizes on the link in bytes, and times, of the replayed callers.
const (
	packetBytes, smallBytes = 1288, 88
	windowPackets           = 16
	usualPackets            = 34
	largePackets            = 200
	halfRoundTrip           = 2 * time.Millisecond
	firstRetry, lastRetry   = 200 * time.Millisecond, 1600 * time.Millisecond
	openTimeout             = 1400 * time.Millisecond
	target, timeout         = 800 * time.Millisecond, 6 * time.Second
	maxAttempts             = 3
	// linkQueueTime is what the link's own queue holds.
	linkQueueTime = 140 * time.Millisecond
	// urgentShare is the share of the link that frames of control and small requests
	// take.
	urgentShare = 0.1
	// linkShare is the share of the link that is scheduled.
	linkShare = 0.95
	// paceWithin is the time in which paced acknowledgements cover a window: sooner
	// than callers send again.
	paceWithin = 180 * time.Millisecond
)

// replay is one link with its callers in virtual time.
type replay struct {
	load
	result
	now    time.Time
	end    time.Time
	rnd    *rand.Rand
	events events
	order  int
	rate   float64
	// backlog is what a link that wastes nothing would have to carry at backlogAt, in
	// bytes.
	backlog   float64
	backlogAt time.Time
	// freeAt is when the link has sent what it holds.
	freeAt   time.Time
	queue    cregress.Queue
	turns    cregress.Turns
	attempts map[cregress.Flow]*attempt
	ticking  bool
}

// upload is a caller's upload, attempt one try of it.
type upload struct {
	arrivedAt time.Time
	packets   int
	tries     int
	done      bool
}

type attempt struct {
	*upload
	flow               cregress.Flow
	seen, opened, over bool
	next, acked        int
	arrived, confirmed []bool
	pacedUntil         time.Time
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, event{r.now.Add(d), r.order, run})
}

// play replays a load for 30 s and until all callers are done.
func play(l load) result {
	r := &replay{load: l, now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(l.seed, 1)), rate: l.mbps * 1e6 / 8, attempts: map[cregress.Flow]*attempt{}}
	r.end = r.now.Add(30 * time.Second)
	scheduled := linkShare * r.rate
	r.queue = cregress.Queue{Rate: scheduled, Burst: max(4096, 0.02*scheduled), MaxBytes: int(2 * scheduled)}
	r.turns = cregress.Turns{
		Rate: scheduled, WindowBytes: windowPackets * packetBytes, QueueTime: 150 * time.Millisecond, OpenLimit: time.Second,
		AccountSpacing: 400 * time.Millisecond, Waits: r.queue.Waits,
	}
	if l.policy == queueOnly {
		r.turns.QueueTime = time.Hour
	}
	r.queue.Init()
	r.turns.Init()
	r.startUpload()
	r.sendUrgent()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event) //nolint:forcetypeassert // only events are pushed
		r.now = e.at
		e.run()
	}
	return r.result
}

// demand returns the factor on the mean demand: a swing with a period of 10 s, and a
// burst at the second crest.
func (r *replay) demand() float64 {
	at := 30 - r.end.Sub(r.now).Seconds()
	factor := 1 + 0.55*math.Sin(2*math.Pi*at/10)
	if at >= 11 && at < 14 {
		factor *= 1.7
	}
	return factor
}

// startUpload starts uploads at the rate of the demand.
func (r *replay) startUpload() {
	if r.now.After(r.end) {
		return
	}
	u := &upload{arrivedAt: r.now, packets: usualPackets}
	if r.rnd.Float64() < 0.03 {
		u.packets = largePackets
	}
	r.asked++
	r.try(u)
	r.countExcess(u)
	r.after(timeout, func() {
		if !u.done {
			u.done = true
			r.lost++
		}
	})
	mean := (0.97*usualPackets + 0.03*largePackets) * packetBytes
	r.after(time.Duration(r.rnd.ExpFloat64()*mean/(r.share*r.rate*r.demand())*float64(time.Second)), r.startUpload)
}

// countExcess counts an upload that would wait for longer than its caller on a link that
// wastes nothing.
func (r *replay) countExcess(u *upload) {
	if !r.backlogAt.IsZero() {
		r.backlog = max(0, r.backlog-r.now.Sub(r.backlogAt).Seconds()*(1-urgentShare)*r.rate)
	}
	r.backlogAt = r.now
	if bytes := float64(u.packets * packetBytes); r.backlog+bytes <= timeout.Seconds()*(1-urgentShare)*r.rate {
		r.backlog += bytes
		return
	}
	r.excess++
}

// sendUrgent sends frames of control and small requests.
func (r *replay) sendUrgent() {
	if r.now.After(r.end) {
		return
	}
	if !r.send(smallBytes, func() {}) {
		r.urgentLost++
	}
	r.after(time.Duration(r.rnd.ExpFloat64()*smallBytes/(urgentShare*r.rate)*float64(time.Second)), r.sendUrgent)
}

// send puts a datagram on the link, and reports whether its queue has room.
func (r *replay) send(n int, arrive func()) bool {
	r.queue.Advance(r.now)
	r.queue.Charge(n)
	if r.freeAt.Before(r.now) {
		r.freeAt = r.now
	}
	if r.freeAt.Sub(r.now) > linkQueueTime {
		return false
	}
	r.freeAt = r.freeAt.Add(time.Duration(float64(n) / r.rate * float64(time.Second)))
	r.after(r.freeAt.Sub(r.now)+halfRoundTrip, arrive)
	return true
}

// try opens an attempt and repeats its opening packet as callers do.
func (r *replay) try(u *upload) {
	u.tries++
	n := len(r.attempts)
	a := &attempt{
		upload: u, arrived: make([]bool, u.packets), confirmed: make([]bool, u.packets),
		flow: cregress.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(1+n>>16))},
	}
	r.attempts[a.flow] = a
	for _, delay := range []time.Duration{0, firstRetry, 3 * firstRetry} {
		r.after(delay, func() {
			if !a.opened && !a.over && !u.done {
				r.handleOpen(a)
			}
		})
	}
	r.after(openTimeout, func() {
		if !a.opened {
			r.fail(a)
		}
	})
}

// fail ends an attempt that was not opened; the caller tries again.
func (r *replay) fail(a *attempt) {
	if a.over || a.done {
		return
	}
	a.over = true
	if a.tries < maxAttempts {
		r.try(a.upload)
		return
	}
	a.done = true
	r.lost++
}

// handleOpen handles an opening packet at the balancer.
func (r *replay) handleOpen(a *attempt) {
	scheduled := r.policy == queueOnly || r.policy == queueAndTurns
	if a.seen && scheduled {
		return
	}
	a.seen = true
	verdict := cregress.VerdictOpen
	if scheduled {
		verdict = r.turns.Arrive(r.now, cregress.Request{Flow: a.flow, ArrivedAt: r.now, TargetAt: a.arrivedAt.Add(target), GiveUpAt: r.now.Add(timeout)})
	}
	r.apply(a, verdict)
	r.tick()
}

// apply carries out a decision about an attempt.
func (r *replay) apply(a *attempt, verdict cregress.Verdict) {
	switch verdict {
	case cregress.VerdictTurn:
		r.queue.SetTurn(a.flow, true)
	case cregress.VerdictRefuse:
		r.refused++
		r.after(halfRoundTrip, func() { r.fail(a) })
	case cregress.VerdictOpen:
		if !r.send(smallBytes, func() { r.after(halfRoundTrip, func() { r.open(a) }) }) {
			r.urgentLost++
		}
	}
}

// open sends the first window of an attempt.
func (r *replay) open(a *attempt) {
	if a.opened || a.over || a.done {
		return
	}
	a.opened = true
	for range min(windowPackets, a.packets) {
		r.sendNext(a)
	}
}

// sendNext sends the next packet of the body.
func (r *replay) sendNext(a *attempt) {
	if a.next < a.packets {
		a.next++
		r.sendPacket(a, a.next-1, firstRetry)
	}
}

// sendPacket sends a packet, again and again until it is acknowledged.
func (r *replay) sendPacket(a *attempt, i int, retry time.Duration) {
	r.after(halfRoundTrip, func() { r.handleData(a, i) })
	r.after(retry, func() {
		if !a.confirmed[i] && !a.done {
			r.again++
			r.sendPacket(a, i, min(2*retry, lastRetry))
		}
	})
}

// handleData handles a packet of a body at the balancer.
func (r *replay) handleData(a *attempt, i int) {
	if r.policy == sendAtOnce || r.policy == pacedAcks {
		r.send(packetBytes, func() { r.receive(a, i) })
		return
	}
	turn := r.turns.Carry(r.now, a.flow, a.arrivedAt.Add(timeout))
	if r.queue.Advance(r.now); r.queue.Idle(packetBytes) {
		r.send(packetBytes, func() { r.receive(a, i) })
		r.turns.Sent(r.now, a.flow, packetBytes)
		return
	}
	r.queue.Push(cregress.Packet{
		Flow: a.flow, Seq: uint32(i), Size: packetBytes, Bytes: packetBytes, ArrivedAt: r.now, GiveUpAt: a.arrivedAt.Add(timeout),
	}, turn)
	r.tick()
}

// tick carries out what is due, and schedules the next call.
func (r *replay) tick() {
	for {
		flow, verdict, ok := r.turns.Next(r.now)
		if !ok {
			break
		}
		r.apply(r.attempts[flow], verdict)
	}
	for {
		p, ok := r.queue.Pop(r.now)
		if !ok {
			break
		}
		r.maxWait = max(r.maxWait, r.now.Sub(p.ArrivedAt))
		a := r.attempts[p.Flow]
		r.send(p.Bytes, func() { r.receive(a, int(p.Seq)) })
		if !r.turns.Sent(r.now, p.Flow, p.Bytes) {
			r.queue.SetTurn(p.Flow, false)
		}
	}
	packets, _ := r.queue.Waiting()
	if _, line := r.turns.Counts(); !r.ticking && packets+line > 0 {
		r.ticking = true
		r.after(5*time.Millisecond, func() { r.ticking = false; r.tick() })
	}
}

// receive handles a packet at the backend server.
func (r *replay) receive(a *attempt, i int) {
	delay := halfRoundTrip
	if r.policy == pacedAcks {
		if a.pacedUntil.Before(r.now) {
			a.pacedUntil = r.now
		}
		a.pacedUntil = a.pacedUntil.Add(paceWithin / windowPackets)
		delay += a.pacedUntil.Sub(r.now)
	}
	a.arrived[i] = true
	r.after(delay, func() { r.confirm(a, i) })
}

// confirm handles the acknowledgement of a packet at the caller. The backend server
// answers a whole body.
func (r *replay) confirm(a *attempt, i int) {
	if a.confirmed[i] || a.done {
		return
	}
	a.confirmed[i] = true
	a.acked++
	r.sendNext(a)
	if a.acked < a.packets {
		return
	}
	a.done = true
	if r.now.Sub(a.arrivedAt) <= target {
		r.inTime++
	} else {
		r.late++
	}
	r.after(halfRoundTrip, func() {
		r.turns.End(a.flow)
		r.send(smallBytes, func() {})
		r.tick()
	})
}
