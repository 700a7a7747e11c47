package crflow

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"cardamomring.dev/internal/crwire"
)

// Action is what an agent does with a datagram.
type Action int

const (
	// ActionHandle means that this agent owns the flow.
	ActionHandle Action = iota
	// ActionAccept means that this agent has accepted a new flow.
	ActionAccept
	// ActionPass means that the datagram is forwarded to another agent.
	ActionPass
	// ActionRefuse means that no agent accepts the new flow.
	ActionRefuse
	// ActionStray means that the datagram neither opens a flow nor belongs to a
	// known flow.
	ActionStray
)

// Flows decides how an agent handles each datagram. Set the exported fields
// before the first call. It is safe for concurrent use.
type Flows struct {
	// Table holds the flows. It must be initialised.
	Table *Table
	// HasCapacity reports whether the load of this agent allows one more flow.
	HasCapacity func() bool
	// AcceptAsLast reports whether this agent accepts a flow that no other
	// candidate has accepted, regardless of its load.
	AcceptAsLast func() bool
	// CanForwardTo reports whether datagrams can be forwarded to an agent.
	CanForwardTo func(num uint32) bool

	mu          sync.Mutex
	returnPaths returnPaths
}

// RecordBalancer records that a balancer is alive and accepts answers at addr. It is
// for messages that carry no caller's datagram.
func (f *Flows) RecordBalancer(addr netip.AddrPort, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returnPaths.record(addr, now)
}

// Decide returns the action for a caller's datagram. openingKey is a hash of the
// connection ID that the caller chose; it is ignored if the datagram carries a
// connection ID that an agent issued. first reports whether the datagram may open
// a flow. For ActionPass, Decide makes the next agent the receiver in the envelope.
// The table keeps the decision, so that all first packets of an opening flow get
// the same one.
func (f *Flows) Decide(e *crwire.Envelope, openingKey uint32, first bool, now time.Time) Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returnPaths.record(e.ReturnAddr, now)
	if e.Owned {
		f.recordReturnAddr(e, now)
		f.Table.Confirm(Key{Caller: e.Caller}, now)
		return ActionHandle
	}
	key := Key{Caller: e.Caller, OpeningKey: max(openingKey, 1)}
	flow, ok := f.Table.Get(key, now)
	switch {
	case ok && flow.ForwardedTo == 0:
		f.recordReturnAddr(e, now)
		return ActionHandle
	case ok && !passedBack(e) && f.CanForwardTo(flow.ForwardedTo):
		return f.forward(e, key, flow.ForwardedTo)
	case first:
		return f.openFlow(e, key, now)
	}
	next, ok := f.nextAgent(e)
	if !ok {
		return ActionStray
	}
	return f.forward(e, key, next)
}

// recordReturnAddr records the balancer through which a caller is answered.
func (f *Flows) recordReturnAddr(e *crwire.Envelope, now time.Time) {
	f.Table.Put(Key{Caller: e.Caller}, Flow{ReturnAddr: e.ReturnAddr}, now)
}

// openFlow accepts a new flow or forwards it to the next agent. The datagram must
// be a first packet of a flow that this agent doesn't own.
func (f *Flows) openFlow(e *crwire.Envelope, key Key, now time.Time) Action {
	next, hasNext := f.nextAgent(e)
	if e.Position >= e.AcceptFrom && (f.HasCapacity() || !hasNext && f.AcceptAsLast()) {
		f.Table.Put(key, Flow{}, now)
		f.recordReturnAddr(e, now)
		return ActionAccept
	}
	if !hasNext {
		return ActionRefuse
	}
	f.Table.Put(key, Flow{ForwardedTo: next}, now)
	return f.forward(e, key, next)
}

// forward makes an agent the receiver of the datagram. A full chain indicates a
// forwarding loop. forward then removes the flow, so that its next datagram leads
// to a new decision.
func (f *Flows) forward(e *crwire.Envelope, key Key, to uint32) Action {
	if !e.ForwardTo(to) {
		f.Table.Remove(key)
		return ActionRefuse
	}
	return ActionPass
}

// nextAgent returns the next agent in the chain that datagrams can be forwarded
// to.
func (f *Flows) nextAgent(e *crwire.Envelope) (uint32, bool) {
	for _, num := range e.Chain[e.Position+1 : e.ChainLen] {
		if f.CanForwardTo(num) {
			return num, true
		}
	}
	return 0, false
}

// passedBack reports whether the datagram has been at this agent before, which
// means that another agent forwarded it back.
func passedBack(e *crwire.Envelope) bool {
	return slices.Contains(e.Chain[:e.Position], e.Chain[e.Position])
}

// ReturnAddr returns the address to which answers to a caller are sent. It is that
// of the balancer that forwarded the caller's last datagram, or of another
// balancer if that one seems to have failed.
func (f *Flows) ReturnAddr(caller netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow, ok := f.Table.Get(Key{Caller: caller}, now)
	if !ok {
		return netip.AddrPort{}, false
	}
	return f.returnPaths.pick(flow.ReturnAddr, now), true
}

// Len returns the numbers of confirmed flows and of flows on probation.
func (f *Flows) Len() (confirmed, probation int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Table.Len()
}
