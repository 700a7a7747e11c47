package cropaque

import (
	"net/netip"
	"time"
)

// Key names a flow.
type Key struct {
	// Caller and Service are the two ends; Service is the address that callers
	// send to, not a backend server's.
	Caller, Service netip.AddrPort
}

// Packet is what the system may know of a datagram of a flow.
type Packet struct {
	From, To netip.AddrPort
	// Open, Ack, End and Reset are the flags of a connection's segments.
	Open, Ack, End, Reset bool
	// Returned says that a backend server gave the packet back.
	Returned bool
	// Seq and Acked are the sender's sequence and acknowledgement numbers.
	Seq, Acked uint32
	// Age is how long before an opening packet the caller sent its first copy.
	Age time.Duration
	// Size is the length of the data in bytes.
	Size int
}

// KeyFromCaller returns the flow of a packet that a caller sent.
func (p Packet) KeyFromCaller() Key { return Key{Caller: p.From, Service: p.To} }

// KeyFromServer returns the flow of a packet that a backend server sent.
func (p Packet) KeyFromServer() Key { return Key{Caller: p.To, Service: p.From} }

// FrameKind says what a frame between balancer and agent asks or tells.
type FrameKind int

const (
	// FrameOffer offers a new flow to an agent.
	FrameOffer FrameKind = iota
	// FrameCarry brings a later packet of a flow to the agent that owns it.
	FrameCarry
	// FrameSeek asks whether an agent owns a flow.
	FrameSeek
	// FramePing asks for a pong.
	FramePing
	// FrameTaken says that the agent has taken the offered flow.
	FrameTaken
	// FrameRefused says that it hasn't, and why.
	FrameRefused
	// FrameOwn says that the agent owns the flow.
	FrameOwn
	// FrameMaybe says that the agent started after its backend server did, so
	// that the flow may be the backend server's.
	FrameMaybe
	// FrameForeign says that the flow isn't this agent's; it brings back the
	// packet, if there was one.
	FrameForeign
	// FramePong answers a ping.
	FramePong
	// FrameLeave says that the agent stops.
	FrameLeave
)

// Reason says why an agent refused a flow.
type Reason int

const (
	// ReasonNone is for frames that refuse nothing.
	ReasonNone Reason = iota
	// ReasonFull says that the backend server has no free slot.
	ReasonFull
	// ReasonCold says that a cold backend server has its share for now.
	ReasonCold
	// ReasonDraining says that the backend server or the agent leaves.
	ReasonDraining
	// ReasonZone says that the availability zone is out of service.
	ReasonZone
	// ReasonRoute says that the address doesn't lead to the agent's service.
	ReasonRoute
	// ReasonAbsent says that no backend server has announced itself.
	ReasonAbsent
	// ReasonSilent says that the backend server doesn't answer.
	ReasonSilent
	// ReasonGone says that the backend server went before the flow opened.
	ReasonGone
)

// Load is what an agent tells of its backend server with each answer.
type Load struct {
	// Busy counts the requests under way, Queued the waiting ones that can still
	// be answered in time: a new one waits for them.
	Busy, Queued int
	// Slots is how many requests the backend server runs at a time.
	Slots int
	// MeanLatency is the average time of a request.
	MeanLatency time.Duration
	// FailurePermille is the recent share of requests without a proper answer, in
	// thousandths.
	FailurePermille int
}

// Frame is a message between a balancer and an agent.
type Frame struct {
	Kind   FrameKind
	Key    Key
	Reason Reason
	// MayQueue marks an offer that no other agent could take: the agent may let
	// it wait for a slot.
	MayQueue bool
	// Age is how long the caller of an offered flow has waited so far.
	Age  time.Duration
	Load Load
	// Data is the datagram, for offers, carried packets and returned ones.
	Data []byte
}
