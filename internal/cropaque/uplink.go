package cropaque

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"cardamomring.dev/internal/cregress"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// linkShare is the share of a link's rate that is used, so that its own queue
	// stays short.
	linkShare = 0.95
	// linkBurstTime is how much may wait in the link's own queue: enough to keep the
	// link busy between two ticks, and a fraction of what such queues hold.
	linkBurstTime = 20 * time.Millisecond
	// minLinkBurst is the least burst in bytes: a few whole packets.
	minLinkBurst = 4 << 10
	// frameOverhead is what a frame takes of the link beside its data: the headers
	// of a datagram and the frame's own fields, in bytes.
	frameOverhead = 56
	// resetBytes is the size of a reset on the link, in bytes.
	resetBytes = 60
	// windowPackets is how many packets a caller has under way at once, uploadWindow
	// what they take of the link if they are whole, in bytes.
	windowPackets = 16
	uploadWindow  = windowPackets * (1200 + 32 + frameOverhead)
	// uploadQueueTime is how long packets of uploads may wait on the link: callers
	// send them again after 200 ms.
	uploadQueueTime = 150 * time.Millisecond
	// uploadOpenLimit is how long an upload waits to be opened at most. The rest of
	// callerOpenTimeout is for offers and the handshake.
	uploadOpenLimit = time.Second
	// uploadSpacing is by how much a further upload of a client account goes behind
	// those of others: half of a usual target latency.
	uploadSpacing = 400 * time.Millisecond
	// uplinkQueueTime and maxUplinkBytes limit the packets that wait for the link.
	// Callers send later what doesn't fit.
	uplinkQueueTime = 2 * time.Second
	maxUplinkBytes  = 8 << 20
)

// UplinkStats are the figures of a balancer's entry link.
type UplinkStats struct {
	// Packets and Bytes wait for the link.
	Packets, Bytes int
	// Turns is the number of uploads with a turn, Waiting that of those that wait
	// for one, and Moved counts those that came from other balancers.
	Turns, Waiting int
	Moved          uint64
	// Dropped counts the packets that were dropped.
	Dropped map[cregress.DropReason]uint64
}

// uplink is the state of a balancer's entry link while uploads share it.
type uplink struct {
	queue cregress.Queue
	turns cregress.Turns
}

// newUplink returns the state of a link that carries rate bytes a second.
func newUplink(rate float64) *uplink {
	rate *= linkShare
	u := &uplink{
		queue: cregress.Queue{
			Rate: rate, Burst: max(minLinkBurst, rate*linkBurstTime.Seconds()),
			MaxBytes: int(min(maxUplinkBytes, rate*uplinkQueueTime.Seconds())),
		},
		turns: cregress.Turns{
			Rate: rate, WindowBytes: uploadWindow, QueueTime: uploadQueueTime, OpenLimit: uploadOpenLimit, AccountSpacing: uploadSpacing,
		},
	}
	u.turns.Waits = u.queue.Waits
	u.queue.Init()
	u.turns.Init()
	return u
}

// initUplink makes every frame and reset count against the link.
func (s *Steering) initUplink() {
	if s.LinkBytes <= 0 {
		return
	}
	send, reset := s.Send, s.ResetFlow
	s.Send = func(to netip.AddrPort, f *Frame) {
		send(to, f)
		s.chargeLink(frameOverhead + len(f.Data))
	}
	s.ResetFlow = func(key Key, seq uint32) {
		reset(key, seq)
		s.chargeLink(resetBytes)
	}
}

// chargeLink accounts for n bytes that were sent.
func (s *Steering) chargeLink(n int) {
	if s.uplink != nil {
		s.uplink.queue.Charge(n)
	}
}

// setUplink begins to schedule the link once the view has a route for uploads.
func (s *Steering) setUplink() {
	if s.uplink != nil || s.LinkBytes <= 0 {
		return
	}
	for _, r := range s.routes {
		if r.Upload {
			s.uplink = newUplink(s.LinkBytes)
			return
		}
	}
}

// advanceUplink accounts for what the link has carried until now.
func (s *Steering) advanceUplink(now time.Time) {
	if s.uplink != nil {
		s.uplink.queue.Advance(now)
	}
}

// sharesUplink reports whether a flow is an upload that shares the link.
func (s *Steering) sharesUplink(key Key) bool {
	if s.uplink == nil {
		return false
	}
	route := s.routes[key.Service]
	return route != nil && route.Upload
}

// openOrWait places a new flow, or lets an upload wait for its turn. The caller of an
// upload that can't be carried in time is reset; it has not run.
func (s *Steering) openOrWait(now time.Time, f *balancerFlow) {
	route := s.routes[f.key.Service]
	if !s.sharesUplink(f.key) {
		s.place(now, f, route)
		return
	}
	flow := cregress.Flow(f.key)
	// Packets of an earlier flow from the same port may wait.
	s.uplink.queue.Drop(flow)
	switch s.uplink.turns.Arrive(now, uploadRequest(f.key, f.arrivedAt, route)) {
	case cregress.VerdictRefuse:
		s.refuseUpload(now, f, route)
	case cregress.VerdictOpen:
		s.observeTurn(0)
		s.place(now, f, route)
	}
	s.runUplink(now)
}

// uploadRequest returns the request for a turn of an upload.
func uploadRequest(key Key, arrivedAt time.Time, route *crdoc.Route) cregress.Request {
	return cregress.Request{
		Flow: cregress.Flow(key), ArrivedAt: arrivedAt, TargetAt: arrivedAt.Add(route.Target.D()), GiveUpAt: arrivedAt.Add(route.Timeout.D()),
	}
}

// refuseUpload resets the caller of an upload that was never opened. It is placed
// instead if a copy of its opening packet may have opened it by way of another balancer.
func (s *Steering) refuseUpload(now time.Time, f *balancerFlow, route *crdoc.Route) {
	if !f.sawAllCopies(now, s.ownDelay(now)) {
		s.place(now, f, route)
		return
	}
	s.reject(now, f, Decision{Event: "caller is reset: the link can't carry the upload in time", Load: s.turnLoad()})
}

// turnLoad returns the uploads with a turn and those that wait for one.
func (s *Steering) turnLoad() Load {
	open, waiting := s.uplink.turns.Counts()
	return Load{Busy: open, Queued: waiting, Slots: s.uplink.turns.Places()}
}

// observeTurn records how long an upload waited to be opened.
func (s *Steering) observeTurn(d time.Duration) {
	if s.ObserveTurnWait != nil {
		s.ObserveTurnWait(d)
	}
}

// carry forwards a packet of an existing flow. Packets with data of uploads wait while
// the link is busy. Those of a flow without a known owner take no turn, since it may not
// exist.
func (s *Steering) carry(now time.Time, f *balancerFlow, p Packet, data []byte) {
	if !s.sharesUplink(f.key) {
		s.forward(now, f, data)
		return
	}
	flow := cregress.Flow(f.key)
	if p.End || p.Reset {
		s.uplink.turns.End(flow)
	}
	if p.Reset {
		s.uplink.queue.Drop(flow)
	}
	if p.Size == 0 || f.phase != phaseOwned {
		s.forward(now, f, data)
		f.keepWindow(data)
		s.runUplink(now)
		return
	}
	timeout := s.routes[f.key.Service].Timeout.D()
	turn := p.End || s.uplink.turns.Carry(now, flow, f.arrivedAt.Add(timeout))
	size := frameOverhead + len(data)
	if s.uplink.queue.Idle(size) {
		s.observeUplink(0)
		s.forward(now, f, data)
		s.uplink.turns.Sent(now, flow, size)
		return
	}
	s.uplink.queue.Push(cregress.Packet{
		Flow: flow, Seq: p.Seq, Size: p.Size, Data: append([]byte(nil), data...), Bytes: size,
		ArrivedAt: now, GiveUpAt: f.arrivedAt.Add(timeout),
	}, turn)
	s.runUplink(now)
}

// keepWindow keeps a packet that keepPending has no room for. Callers who were moved here
// by the loss of a balancer send a whole window again, and the next time only 1.6 s later.
func (f *balancerFlow) keepWindow(data []byte) {
	if f.phase == phaseLookup && len(f.pending) >= maxPendingPackets && len(f.pending) < windowPackets && !holds(f.pending, data) {
		f.pending = append(f.pending, append([]byte(nil), data...))
	}
}

// holds reports whether a datagram is in a list of a few.
func holds(list [][]byte, data []byte) bool {
	return slices.ContainsFunc(list, func(b []byte) bool { return bytes.Equal(b, data) })
}

// observeUplink records how long a packet waited for the link.
func (s *Steering) observeUplink(d time.Duration) {
	if s.ObserveUplinkWait != nil {
		s.ObserveUplinkWait(d)
	}
}

// runUplink opens the uploads whose turn has come, and sends what the link has room
// for.
func (s *Steering) runUplink(now time.Time) {
	if s.uplink == nil {
		return
	}
	s.uplink.queue.Advance(now)
	for {
		flow, verdict, ok := s.uplink.turns.Next(now)
		if !ok {
			break
		}
		s.applyTurn(now, flow, verdict)
	}
	for {
		p, ok := s.uplink.queue.Pop(now)
		if !ok {
			return
		}
		f := s.flows[Key(p.Flow)]
		if f == nil {
			s.uplink.queue.Drop(p.Flow)
			continue
		}
		s.observeUplink(now.Sub(p.ArrivedAt))
		s.forward(now, f, p.Data)
		if !s.uplink.turns.Sent(now, p.Flow, p.Bytes) {
			s.uplink.queue.SetTurn(p.Flow, false)
		}
	}
}

// applyTurn carries out a decision about an upload that waited.
func (s *Steering) applyTurn(now time.Time, flow cregress.Flow, verdict cregress.Verdict) {
	if verdict == cregress.VerdictTurn {
		s.uplink.queue.SetTurn(flow, true)
		return
	}
	f := s.flows[Key(flow)]
	route := s.routes[flow.Service]
	if f == nil || f.phase != phaseOpening || f.owner != nil || route == nil {
		// The caller has ended the flow, or another balancer has opened it.
		s.uplink.turns.End(flow)
		return
	}
	wait := now.Sub(f.arrivedAt)
	f.turnWait = wait
	if verdict == cregress.VerdictRefuse {
		s.refuseUpload(now, f, route)
		return
	}
	s.observeTurn(wait)
	s.LogDecision(Decision{Event: "upload waited for its turn", Key: f.key, Age: wait, Load: s.turnLoad(), Revision: s.view.Revision, Routine: true})
	s.place(now, f, route)
}

// uplinkNextAt returns when runUplink is next needed, the zero time if nothing waits.
func (s *Steering) uplinkNextAt() time.Time {
	if s.uplink == nil {
		return time.Time{}
	}
	next := s.uplink.queue.NextAt()
	if at := s.uplink.turns.NextAt(); next.IsZero() || !at.IsZero() && at.Before(next) {
		next = at
	}
	return next
}

// UplinkDue reports whether something waits for the link that needs a Tick before t.
func (s *Steering) UplinkDue(t time.Time) bool {
	at := s.uplinkNextAt()
	return !at.IsZero() && at.Before(t)
}

// UplinkStats returns the figures of the entry link.
func (s *Steering) UplinkStats() UplinkStats {
	stats := UplinkStats{Dropped: map[cregress.DropReason]uint64{}}
	if s.uplink == nil {
		return stats
	}
	stats.Packets, stats.Bytes = s.uplink.queue.Waiting()
	stats.Turns, stats.Waiting = s.uplink.turns.Counts()
	stats.Moved = s.uplink.turns.Moved()
	for _, reason := range cregress.DropReasonValues() {
		stats.Dropped[reason] = s.uplink.queue.Dropped(reason)
	}
	return stats
}
