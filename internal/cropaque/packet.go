package cropaque

import (
	"net/netip"
	"time"
)

// Key identifies a flow.
type Key struct {
	// Caller and Service are the two ends. Service is the address that callers
	// send to, not that of a backend server.
	Caller, Service netip.AddrPort
}

// Packet holds the header fields of a flow's datagram that the system may
// read.
type Packet struct {
	From, To netip.AddrPort
	// Open, Ack, End and Reset are the flags of a connection's segments.
	Open, Ack, End, Reset bool
	// Returned is set when a backend server has returned the packet.
	Returned bool
	// Seq and Acked are the sender's sequence and acknowledgement numbers.
	Seq, Acked uint32
	// Age is the time between the first copy of an opening packet and this
	// one.
	Age time.Duration
	// Size is the length of the data in bytes.
	Size int
}

// KeyFromCaller returns the flow of a packet sent by a caller.
func (p Packet) KeyFromCaller() Key { return Key{Caller: p.From, Service: p.To} }

// KeyFromServer returns the flow of a packet sent by a backend server.
func (p Packet) KeyFromServer() Key { return Key{Caller: p.To, Service: p.From} }

// FrameKind is the kind of a frame between a balancer and an agent.
type FrameKind int

const (
	// FrameOffer offers a new flow to an agent.
	FrameOffer FrameKind = iota
	// FrameCarry forwards a later packet of a flow to the agent that owns it.
	FrameCarry
	// FrameSeek asks whether an agent owns a flow.
	FrameSeek
	// FramePing asks an agent for a pong.
	FramePing
	// FrameTaken says that the agent has taken the offered flow.
	FrameTaken
	// FrameRefused says that the agent refuses the offered flow, and why.
	FrameRefused
	// FrameOwn says that the agent owns the flow.
	FrameOwn
	// FrameMaybe says that the agent may own the flow: the flow isn't open at
	// this agent yet, or the backend server started before the agent and may
	// hold it.
	FrameMaybe
	// FrameForeign says that the agent doesn't own the flow. As the answer to
	// a carried packet, it holds that packet.
	FrameForeign
	// FramePong answers a ping.
	FramePong
	// FrameLeave says that the agent is stopping.
	FrameLeave
	// FrameHint tells another agent that the sender owns a flow in whose short
	// list it isn't any more.
	FrameHint
	// FrameElsewhere answers a lookup with the owner that a FrameHint named.
	FrameElsewhere
)

// Reason is the reason of an agent for refusing a flow.
type Reason int

const (
	// ReasonNone is used in frames that refuse nothing.
	ReasonNone Reason = iota
	// ReasonFull says that the backend server has no free slot.
	ReasonFull
	// ReasonCold says that a cold backend server has reached its limit for
	// now.
	ReasonCold
	// ReasonDraining says that the backend server or the agent is stopping.
	ReasonDraining
	// ReasonZone says that the availability zone is out of service.
	ReasonZone
	// ReasonRoute says that the address isn't routed to the agent's service.
	ReasonRoute
	// ReasonAbsent says that no backend server has announced itself recently.
	ReasonAbsent
	// ReasonSilent says that the backend server doesn't answer.
	ReasonSilent
	// ReasonGone says that the backend server went away before the flow
	// opened.
	ReasonGone
)

// Load is the load of a backend server that its agent reports with each
// answer.
type Load struct {
	// Busy counts the requests in progress and the reserved slots. Queued
	// counts the queued flows that can still be answered in time; a new flow
	// waits for them.
	Busy, Queued int
	// Slots is how many requests the backend server runs at the same time.
	Slots int
	// MeanLatency is the average latency of a request.
	MeanLatency time.Duration
	// FailurePermille is the recent share of requests without a proper answer,
	// in thousandths.
	FailurePermille int
	// Kept counts the open flows that their callers keep for many requests, and
	// KeptRate those of them that were opened in the last second. LastingBusy is
	// the average number of requests in progress or queued over the last seconds
	// and KeptBusy the part of it on kept flows, in hundredths. All are 0 without
	// kept flows.
	Kept, KeptRate, LastingBusy, KeptBusy int
}

// Frame is a message between a balancer and an agent.
type Frame struct {
	Kind   FrameKind
	Key    Key
	Reason Reason
	// MayQueue marks an offer that no other agent could take; the agent may
	// queue the flow until a slot is free.
	MayQueue bool
	// Age is how long the caller of an offered flow has waited so far.
	Age  time.Duration
	Load Load
	// Number is chosen by a balancer; the answer repeats it.
	Number uint64
	// KeptRoute marks a FrameTaken of a route whose flows callers keep for many
	// requests.
	KeptRoute bool
	// Owner is the agent that owns the flow of a FrameElsewhere.
	Owner netip.AddrPort
	// Data is the datagram of an offer, a carried packet or a returned packet.
	Data []byte
}
