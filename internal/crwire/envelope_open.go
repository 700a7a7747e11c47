package crwire

import (
	"encoding/binary"
	"math"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// OpenEnvelope parses an envelope into e. Service and Payload of e alias b.
// verify reports whether mac is the authenticator of header.
func OpenEnvelope(b []byte, e *Envelope, verify func(header, mac []byte) bool) error {
	if len(b) > 0 && b[0] != envelopeVersion {
		return ErrEnvelopeVersion
	}
	if len(b) < envelopePrefixLen {
		return ErrEnvelopeShort
	}
	n := int(binary.BigEndian.Uint16(b[envelopePrefixLen-2:]))
	if len(b) < envelopePrefixLen+n {
		return ErrEnvelopeShort
	}
	header := b[envelopePrefixLen : envelopePrefixLen+n]
	if !verify(header, b[1:1+EnvelopeMACLen]) {
		return ErrEnvelopeForged
	}
	*e = Envelope{Payload: b[envelopePrefixLen+n:]}
	if !e.readHeader(header) || !e.valid() {
		return ErrEnvelopeHeader
	}
	return nil
}

// readHeader parses the fields of the header. They must be in ascending order;
// only the chain field may be repeated, and unknown fields are invalid.
func (e *Envelope) readHeader(b []byte) bool {
	last := protowire.Number(0)
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 || field < last || field == last && field != fieldChain {
			return false
		}
		last = field
		b = b[n:]
		switch kind {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 || !e.setUint(field, v) {
				return false
			}
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 || !e.setBytes(field, v) {
				return false
			}
			b = b[n:]
		default:
			return false
		}
	}
	return true
}

// setUint sets a numeric field and reports whether it is valid.
func (e *Envelope) setUint(field protowire.Number, v uint64) bool {
	if field != fieldRevision && v > math.MaxUint32 {
		return false
	}
	switch field {
	case fieldKind:
		e.Kind = EnvelopeKind(v)
	case fieldRevision:
		e.Revision = v
	case fieldSender:
		e.Sender = uint32(v)
	case fieldOwned:
		e.Owned = protowire.DecodeBool(v)
	case fieldChain:
		if e.ChainLen == ChainMax {
			return false
		}
		e.Chain[e.ChainLen] = uint32(v)
		e.ChainLen++
	case fieldAcceptFrom:
		e.AcceptFrom = int(v)
	case fieldPosition:
		e.Position = int(v)
	default:
		return false
	}
	return true
}

// setBytes sets a bytes field and reports whether it is valid.
func (e *Envelope) setBytes(field protowire.Number, v []byte) bool {
	var ok bool
	switch field {
	case fieldService:
		e.Service, ok = v, len(v) > 0 && len(v) <= maxServiceLen
	case fieldCaller:
		e.Caller, ok = readAddr(v)
	case fieldReturnAddr:
		e.ReturnAddr, ok = readAddr(v)
	}
	return ok
}

// readAddr parses an address. An IPv4 address must be encoded in 4 bytes.
func readAddr(v []byte) (netip.AddrPort, bool) {
	n := len(v) - 2
	if n != 4 && n != 16 {
		return netip.AddrPort{}, false
	}
	ip, _ := netip.AddrFromSlice(v[:n])
	if ip.Is4In6() {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(v[n:])), true
}

// valid reports whether the fields are consistent with each other.
func (e *Envelope) valid() bool {
	switch e.Kind {
	case EnvelopeForward:
		return len(e.Service) > 0 && e.Caller.IsValid() && e.ReturnAddr.IsValid() && e.Position < e.ChainLen && e.AcceptFrom <= e.ChainLen
	case EnvelopeAnswer:
		return len(e.Service) > 0 && e.Caller.IsValid() && e.ChainLen == 0
	default:
		return e.Kind == EnvelopeNotice
	}
}
