package crroute

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// longBit is set in the first byte of a long header (RFC 9000, 17.2).
	longBit = 0x80
	// longMin is the shortest long header up to the destination ID's length.
	longMin = 6
	// callerIDMin is the shortest destination ID that a caller may choose.
	callerIDMin = 8
	// callerIDMax is the longest ID of the versions that we know.
	callerIDMax = 20
	// initialMin is the smallest datagram that may carry a first packet
	// (RFC 9000, 14.1).
	initialMin = 1200
)

// Packet is what a balancer reads of a QUIC packet (RFC 8999).
type Packet struct {
	// LongHeader says that it has a long header.
	LongHeader bool
	// DestID is its destination connection ID; it points into the datagram.
	DestID []byte
	// MayBeInitial says that it may begin a connection: it has the size of one.
	MayBeInitial bool
}

// ReadPacket reads the header of a caller's datagram.
func ReadPacket(b []byte) (Packet, Reason) {
	if len(b) == 0 {
		return Packet{}, ReasonShort
	}
	if b[0]&longBit == 0 {
		if len(b) < 1+ConnIDLen {
			return Packet{}, ReasonShort
		}
		return Packet{DestID: b[1 : 1+ConnIDLen]}, ReasonNone
	}
	if len(b) < longMin {
		return Packet{}, ReasonShort
	}
	n := int(b[longMin-1])
	if binary.BigEndian.Uint32(b[1:]) == 0 || n > callerIDMax {
		return Packet{}, ReasonHeader
	}
	if len(b) < longMin+n {
		return Packet{}, ReasonShort
	}
	return Packet{LongHeader: true, DestID: b[longMin : longMin+n], MayBeInitial: len(b) >= initialMin}, ReasonNone
}

// DestIDHash returns the number that stands for the connection ID that a
// caller chose.
func DestIDHash(dest []byte) uint32 { return uint32(xxhash.Sum64(dest)) }
