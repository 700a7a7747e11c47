package crroute

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// longHeaderBit is set in the first byte of a long header (RFC 9000, 17.2).
	longHeaderBit = 0x80
	// longHeaderMin is the length of a long header up to and including the
	// length of the destination connection ID, in bytes.
	longHeaderMin = 6
	// callerIDMin is the minimum length of a destination connection ID that a
	// caller chooses, in bytes (RFC 9000, 7.2).
	callerIDMin = 8
	// callerIDMax is the maximum length of a connection ID in the supported
	// QUIC versions, in bytes.
	callerIDMax = 20
	// initialMinSize is the minimum size of a datagram that carries an Initial
	// packet, in bytes (RFC 9000, 14.1).
	initialMinSize = 1200
)

// Packet holds the header fields of a QUIC packet that routing needs (RFC
// 8999).
type Packet struct {
	// LongHeader is true if the packet has a long header.
	LongHeader bool
	// DestID is the destination connection ID. It aliases the datagram.
	DestID []byte
	// MayBeInitial is true if the packet has a long header and its datagram is
	// large enough to carry an Initial packet, which opens a connection.
	MayBeInitial bool
}

// ReadPacket parses the header of a caller's datagram.
func ReadPacket(b []byte) (Packet, Reason) {
	if len(b) == 0 {
		return Packet{}, ReasonShort
	}
	if b[0]&longHeaderBit == 0 {
		if len(b) < 1+ConnIDLen {
			return Packet{}, ReasonShort
		}
		return Packet{DestID: b[1 : 1+ConnIDLen]}, ReasonNone
	}
	if len(b) < longHeaderMin {
		return Packet{}, ReasonShort
	}
	n := int(b[longHeaderMin-1])
	if binary.BigEndian.Uint32(b[1:]) == 0 || n > callerIDMax {
		return Packet{}, ReasonHeader
	}
	if len(b) < longHeaderMin+n {
		return Packet{}, ReasonShort
	}
	return Packet{LongHeader: true, DestID: b[longHeaderMin : longHeaderMin+n], MayBeInitial: len(b) >= initialMinSize}, ReasonNone
}

// DestIDHash returns a hash of a connection ID chosen by the caller.
func DestIDHash(dest []byte) uint32 { return uint32(xxhash.Sum64(dest)) }
