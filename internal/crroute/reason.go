package crroute

import (
	"errors"

	"cardamomring.dev/internal/crwire"
)

// Reason is the reason why a datagram was dropped.
type Reason int

const (
	// ReasonNone means that the datagram was not dropped.
	ReasonNone Reason = iota
	// ReasonShort means that the datagram ends inside its header.
	ReasonShort
	// ReasonHeader means that the header violates the protocol.
	ReasonHeader
	// ReasonSmall means that a datagram with an Initial packet is smaller than
	// the protocol requires of clients.
	ReasonSmall
	// ReasonOversize means that the envelope would exceed the MTU.
	ReasonOversize
	// ReasonForged means that a connection ID or an envelope does not
	// authenticate under any shared key.
	ReasonForged
	// ReasonVersion means that the envelope has an unsupported version.
	ReasonVersion
	// ReasonService means that the datagram belongs to another service or to an
	// unknown one.
	ReasonService
	// ReasonUnknown means that the agent that should handle the datagram is not
	// known, or not known yet.
	ReasonUnknown
	// ReasonZone means that the datagram names an agent in an availability zone
	// that is out of service.
	ReasonZone
	// ReasonEmpty means that the service has no agent to route the datagram to.
	ReasonEmpty
	// ReasonAgent means that an agent received an envelope addressed to another
	// agent.
	ReasonAgent
	// ReasonRoom means that no candidate had capacity for the flow.
	ReasonRoom
	// ReasonQueue means that the receiver's queue was full.
	ReasonQueue
	// ReasonStarting means that the agent has not been assigned a number yet.
	ReasonStarting
	// ReasonCaller means that no return path to the caller is known.
	ReasonCaller
	// ReasonSend means that sending on the socket failed.
	ReasonSend
)

// EnvelopeReason returns the drop reason for an error of crwire.OpenEnvelope.
func EnvelopeReason(err error) Reason {
	switch {
	case errors.Is(err, crwire.ErrEnvelopeShort):
		return ReasonShort
	case errors.Is(err, crwire.ErrEnvelopeVersion):
		return ReasonVersion
	case errors.Is(err, crwire.ErrEnvelopeForged):
		return ReasonForged
	default:
		return ReasonHeader
	}
}
