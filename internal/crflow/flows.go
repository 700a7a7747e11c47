package crflow

import (
	"net/netip"
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

// Datagram is a caller's datagram as a decision needs it.
type Datagram struct {
	// Caller is the caller's address.
	Caller netip.AddrPort
	// Return is where answers go.
	Return netip.AddrPort
	// Owned says that it bears a connection ID that names this agent.
	Owned bool
	// First says that it may begin a flow.
	First bool
	// Chain names the agents in the order in which they are asked.
	Chain []uint32
	// Accept is the first place of the chain that may accept a new flow.
	Accept int
	// Position is this agent's place in the chain.
	Position int
}

// Decision is what to do, and with whom.
type Decision struct {
	Action Action
	// To is the agent that is asked next on ActionPass.
	To uint32
	// Position is that agent's place in the chain; the chain's length says
	// that To is to be appended.
	Position int
}

// Flows decides about each datagram of one agent. Set the exported fields
// before use; it is safe for concurrent use.
type Flows struct {
	// Table holds the flows, opened.
	Table *Table
	// Room reports whether the agent may take one more flow by its own load.
	Room func() bool
	// Last reports whether the agent takes a flow that every other candidate
	// has passed on.
	Last func() bool
	// Known reports whether another agent can be asked.
	Known func(num uint32) bool

	mu sync.Mutex
}

// Decide says what to do with a datagram. Every datagram of an opening flow
// gets the same decision: the table remembers it.
func (f *Flows) Decide(d *Datagram, now time.Time) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.Table.Get(d.Caller, now)
	switch {
	case d.Owned:
		f.own(d, known, ok, now)
		return Decision{Action: ActionHandle}
	case ok && known.Passed == 0:
		f.own(d, known, ok, now)
		return Decision{Action: ActionHandle}
	case ok && f.Known(known.Passed):
		return f.again(d, known.Passed)
	case d.First:
		return f.open(d, now)
	}
	next := f.next(d)
	if next == len(d.Chain) {
		return Decision{Action: ActionStray}
	}
	return Decision{Action: ActionPass, To: d.Chain[next], Position: next}
}

// own records the way back of a flow that is ours.
func (f *Flows) own(d *Datagram, known Flow, ok bool, now time.Time) {
	if !ok || known.Return != d.Return || known.Passed != 0 {
		f.Table.Put(d.Caller, Flow{Return: d.Return}, now)
	}
	if d.Owned {
		f.Table.Confirm(d.Caller, now)
	}
}

// open decides about a flow that this agent doesn't know.
func (f *Flows) open(d *Datagram, now time.Time) Decision {
	next := f.next(d)
	last := next == len(d.Chain)
	if d.Position >= d.Accept && (f.Room() || last && f.Last()) {
		f.Table.Put(d.Caller, Flow{Return: d.Return}, now)
		return Decision{Action: ActionAccept}
	}
	if last {
		return Decision{Action: ActionRefuse}
	}
	f.Table.Put(d.Caller, Flow{Return: d.Return, Passed: d.Chain[next]}, now)
	return Decision{Action: ActionPass, To: d.Chain[next], Position: next}
}

// next returns the next place of the chain whose agent can be reached, the
// chain's length when there is none.
func (f *Flows) next(d *Datagram) int {
	next := d.Position + 1
	for next < len(d.Chain) && !f.Known(d.Chain[next]) {
		next++
	}
	return next
}

// again asks the same agent as before. Where a chain made from another table
// doesn't name it, it is asked in a further place; a chain that has no place
// left has come round, and the flow is decided anew next time.
func (f *Flows) again(d *Datagram, num uint32) Decision {
	for i := d.Position + 1; i < len(d.Chain); i++ {
		if d.Chain[i] == num {
			return Decision{Action: ActionPass, To: num, Position: i}
		}
	}
	if len(d.Chain) == crwire.ChainMax {
		f.Table.Remove(d.Caller)
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionPass, To: num, Position: len(d.Chain)}
}

// Return returns the way back to a caller.
func (f *Flows) Return(caller netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow, ok := f.Table.Get(caller, now)
	return flow.Return, ok && flow.Passed == 0
}

// Len returns the number of confirmed flows and of those on probation.
func (f *Flows) Len() (live, probation int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Table.Len()
}
