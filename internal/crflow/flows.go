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
	// ActionHandle says that the flow is the agent's own.
	ActionHandle Action = iota
	// ActionAccept says that the agent has just taken a new flow.
	ActionAccept
	// ActionPass says that another agent is asked.
	ActionPass
	// ActionRefuse says that no agent takes the new flow.
	ActionRefuse
	// ActionStray says that the datagram begins no flow and belongs to none
	// that is known.
	ActionStray
)

// Flows decides about each datagram of one agent. Set the exported fields
// before use; it is safe for concurrent use.
type Flows struct {
	// Table holds the flows, opened.
	Table *Table
	// HasCapacity reports whether the agent may take one more flow by its own load.
	HasCapacity func() bool
	// AcceptAsLast reports whether the agent takes a flow that every other candidate
	// has passed on.
	AcceptAsLast func() bool
	// CanForwardTo reports whether another agent can be asked.
	CanForwardTo func(num uint32) bool

	mu      sync.Mutex
	returns returns
}

// RecordBalancer notes a balancer that takes answers, without a caller's datagram.
func (f *Flows) RecordBalancer(addr netip.AddrPort, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returns.note(addr, now)
}

// Decide says what to do with a caller's datagram. opening stands for the
// connection ID that the caller chose, unless the ID is ours; first says that
// the datagram may begin a flow. On ActionPass the envelope names the next
// agent as its receiver. Every first packet of an opening flow gets the same
// decision: the table remembers it.
func (f *Flows) Decide(e *crwire.Envelope, opening uint32, first bool, now time.Time) Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returns.note(e.ReturnAddr, now)
	if e.Owned {
		f.answerBy(e, now)
		f.Table.Confirm(Key{Caller: e.Caller}, now)
		return ActionHandle
	}
	key := Key{Caller: e.Caller, OpeningKey: max(opening, 1)}
	known, ok := f.Table.Get(key, now)
	switch {
	case ok && known.ForwardedTo == 0:
		f.answerBy(e, now)
		return ActionHandle
	case ok && !returned(e) && f.CanForwardTo(known.ForwardedTo):
		return f.pass(e, key, known.ForwardedTo)
	case first:
		return f.open(e, key, now)
	}
	next, ok := f.next(e)
	if !ok {
		return ActionStray
	}
	return f.pass(e, key, next)
}

// answerBy records the way back to a caller.
func (f *Flows) answerBy(e *crwire.Envelope, now time.Time) {
	f.Table.Put(Key{Caller: e.Caller}, Flow{ReturnAddr: e.ReturnAddr}, now)
}

// open decides about a flow that this agent doesn't hold.
func (f *Flows) open(e *crwire.Envelope, key Key, now time.Time) Action {
	next, more := f.next(e)
	if e.Position >= e.AcceptFrom && (f.HasCapacity() || !more && f.AcceptAsLast()) {
		f.Table.Put(key, Flow{}, now)
		f.answerBy(e, now)
		return ActionAccept
	}
	if !more {
		return ActionRefuse
	}
	f.Table.Put(key, Flow{ForwardedTo: next}, now)
	return f.pass(e, key, next)
}

// pass makes an agent the receiver. A chain without a place left has gone
// round in circles: the flow is then decided anew next time.
func (f *Flows) pass(e *crwire.Envelope, key Key, to uint32) Action {
	if !e.ForwardTo(to) {
		f.Table.Remove(key)
		return ActionRefuse
	}
	return ActionPass
}

// next returns the next agent of the chain that can be asked.
func (f *Flows) next(e *crwire.Envelope) (uint32, bool) {
	for _, num := range e.Chain[e.Position+1 : e.ChainLen] {
		if f.CanForwardTo(num) {
			return num, true
		}
	}
	return 0, false
}

// returned reports whether the datagram has been at this agent before: those
// whom it was passed on to have passed it back.
func returned(e *crwire.Envelope) bool {
	return slices.Contains(e.Chain[:e.Position], e.Chain[e.Position])
}

// ReturnAddr returns the way back to a caller: the balancer that forwarded its
// last datagram, or another one when that balancer has fallen silent.
func (f *Flows) ReturnAddr(caller netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow, ok := f.Table.Get(Key{Caller: caller}, now)
	if !ok {
		return netip.AddrPort{}, false
	}
	return f.returns.pick(flow.ReturnAddr, now), true
}

// Len returns the number of confirmed flows and of those on probation.
func (f *Flows) Len() (live, probation int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Table.Len()
}
