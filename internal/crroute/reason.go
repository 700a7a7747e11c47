package crroute

import (
	"errors"

	"cardamomring.dev/internal/crwire"
)

// Reason is why a datagram was dropped. ReasonNone says that it was not.
type Reason int

const (
	// ReasonNone says that the datagram goes on.
	ReasonNone Reason = iota
	// ReasonShort says that it ends inside its header.
	ReasonShort
	// ReasonHeader says that its header is against the protocol's rules.
	ReasonHeader
	// ReasonSmall says that a first packet is below the size that the
	// protocol demands of callers.
	ReasonSmall
	// ReasonOversize says that its envelope would not fit the MTU.
	ReasonOversize
	// ReasonForged says that a connection ID or an envelope is not sealed
	// under one of our keys.
	ReasonForged
	// ReasonVersion says that an envelope has another version.
	ReasonVersion
	// ReasonService says that it belongs to another service.
	ReasonService
	// ReasonUnknown says that it names an agent that is not known yet.
	ReasonUnknown
	// ReasonZone says that it names an agent in an availability zone that
	// is out.
	ReasonZone
	// ReasonEmpty says that the service has no agent to take it.
	ReasonEmpty
	// ReasonAgent says that an envelope came to an agent it doesn't name.
	ReasonAgent
	// ReasonRoom says that every candidate was without room.
	ReasonRoom
	// ReasonQueue says that the receiver's queue was full.
	ReasonQueue
	// ReasonStarting says that the agent has no number yet.
	ReasonStarting
	// ReasonCaller says that no way back to the caller is known.
	ReasonCaller
	// ReasonSend says that the socket refused it.
	ReasonSend
)

// EnvelopeReason returns the reason for an error of crwire.OpenEnvelope.
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
