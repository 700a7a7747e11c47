package crwire

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// EnvelopeKind is the purpose of an envelope.
type EnvelopeKind int

const (
	// EnvelopeForward carries a caller's datagram to an agent.
	EnvelopeForward EnvelopeKind = iota
	// EnvelopeAnswer carries an agent's datagram to a balancer, which sends it
	// to the caller.
	EnvelopeAnswer
	// EnvelopeNotice carries the sender's revision and no datagram.
	EnvelopeNotice
)

const (
	// ChainMax is the maximum number of agents in a chain.
	ChainMax = 8
	// EnvelopeMACLen is the length of an envelope's authenticator, in bytes.
	EnvelopeMACLen = 9
	// envelopeVersion is the first byte of an envelope.
	envelopeVersion = 1
	// envelopePrefixLen is the total length of the version, the authenticator
	// and the header's length field, in bytes.
	envelopePrefixLen = 1 + EnvelopeMACLen + 2
	// maxServiceLen is the maximum length of a service name, in bytes.
	maxServiceLen = 63
)

// Errors returned by OpenEnvelope.
var (
	// ErrEnvelopeShort means that the envelope is truncated.
	ErrEnvelopeShort = errors.New("the envelope ends inside its header")
	// ErrEnvelopeVersion means that the envelope has an unsupported version.
	ErrEnvelopeVersion = errors.New("the envelope has another version")
	// ErrEnvelopeForged means that the authenticator does not match.
	ErrEnvelopeForged = errors.New("the envelope is not authentic")
	// ErrEnvelopeHeader means that the header is malformed.
	ErrEnvelopeHeader = errors.New("the envelope's header is malformed")
)

// Envelope is a datagram between a balancer and an agent, or between two
// agents: a version byte, an authenticator of the header, the header's length
// (16 bits), the header in the protocol buffers' wire format, and the caller's
// datagram up to the end.
type Envelope struct {
	// Kind is the purpose of the envelope.
	Kind EnvelopeKind
	// Service is the name of the service, at most 63 bytes. It aliases the
	// datagram.
	Service []byte
	// Caller is the caller's address.
	Caller netip.AddrPort
	// ReturnAddr is the address at which the balancer receives answers.
	ReturnAddr netip.AddrPort
	// Revision is the sender's revision.
	Revision uint64
	// Sender is the sending agent's number, 0 for a balancer.
	Sender uint32
	// Owned is true if the datagram has a connection ID that the system issued
	// and that names the owning agent.
	Owned bool
	// Chain lists the agents to try, in order.
	Chain [ChainMax]uint32
	// ChainLen is the number of agents in Chain.
	ChainLen int
	// AcceptFrom is the index of the first agent in Chain that may accept a new
	// flow.
	AcceptFrom int
	// Position is the index of the receiver in Chain. It is below ChainLen
	// unless ChainLen is 0.
	Position int
	// Payload is the caller's datagram. It aliases the envelope's datagram.
	Payload []byte
}

// Field numbers of the header.
const (
	fieldKind protowire.Number = iota + 1
	fieldService
	fieldCaller
	fieldReturnAddr
	fieldRevision
	fieldSender
	fieldOwned
	fieldChain
	fieldAcceptFrom
	fieldPosition
)

// AppendEnvelope appends the envelope to dst. mac returns the authenticator of
// the header. AppendEnvelope does not allocate if dst has enough capacity.
func AppendEnvelope(dst []byte, e *Envelope, mac func(header []byte) [EnvelopeMACLen]byte) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, envelopePrefixLen)...)
	header := len(dst)
	dst = appendUint(dst, fieldKind, uint64(e.Kind))
	if len(e.Service) > 0 {
		dst = protowire.AppendTag(dst, fieldService, protowire.BytesType)
		dst = protowire.AppendBytes(dst, e.Service)
	}
	dst = appendAddr(dst, fieldCaller, e.Caller)
	dst = appendAddr(dst, fieldReturnAddr, e.ReturnAddr)
	dst = appendUint(dst, fieldRevision, e.Revision)
	dst = appendUint(dst, fieldSender, uint64(e.Sender))
	dst = appendUint(dst, fieldOwned, protowire.EncodeBool(e.Owned))
	for _, num := range e.Chain[:e.ChainLen] {
		dst = protowire.AppendTag(dst, fieldChain, protowire.VarintType)
		dst = protowire.AppendVarint(dst, uint64(num))
	}
	dst = appendUint(dst, fieldAcceptFrom, uint64(e.AcceptFrom))
	dst = appendUint(dst, fieldPosition, uint64(e.Position))
	sum := mac(dst[header:])
	dst[start] = envelopeVersion
	copy(dst[start+1:], sum[:])
	binary.BigEndian.PutUint16(dst[header-2:], uint16(len(dst)-header))
	return append(dst, e.Payload...)
}

// appendUint appends a number; 0 is omitted.
func appendUint(dst []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, field, protowire.VarintType)
	return protowire.AppendVarint(dst, v)
}

// appendAddr appends an address as 4 or 16 bytes followed by the port. An
// invalid address is omitted.
func appendAddr(dst []byte, field protowire.Number, addr netip.AddrPort) []byte {
	if !addr.IsValid() {
		return dst
	}
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	ip := addr.Addr().Unmap()
	if ip.Is4() {
		b := ip.As4()
		dst = protowire.AppendVarint(dst, uint64(len(b)+2))
		dst = append(dst, b[:]...)
	} else {
		b := ip.As16()
		dst = protowire.AppendVarint(dst, uint64(len(b)+2))
		dst = append(dst, b[:]...)
	}
	return binary.BigEndian.AppendUint16(dst, addr.Port())
}

// ForwardTo makes an agent the receiver: it moves the agent to the index after
// Position, or inserts it there if it is not among the agents still to be
// tried, and advances Position. The agents up to Position are then exactly those
// that have been tried. Inserting into a full chain drops its last agent.
// ForwardTo reports false if Position is already the last index of a full
// chain.
func (e *Envelope) ForwardTo(to uint32) bool {
	next := e.Position + 1
	if next == ChainMax {
		return false
	}
	from := next
	for from < e.ChainLen && e.Chain[from] != to {
		from++
	}
	if from == e.ChainLen {
		e.ChainLen = min(e.ChainLen+1, ChainMax)
		from = e.ChainLen - 1
	}
	if next < e.AcceptFrom && from >= e.AcceptFrom {
		e.AcceptFrom++
	}
	copy(e.Chain[next+1:from+1], e.Chain[next:from])
	e.Chain[next] = to
	e.Position = next
	return true
}
