package crwire

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// EnvelopeKind is what an envelope is for.
type EnvelopeKind int

const (
	// EnvelopeForward carries a caller's datagram to an agent.
	EnvelopeForward EnvelopeKind = iota
	// EnvelopeAnswer carries an agent's datagram to a balancer, which sends
	// it to the caller.
	EnvelopeAnswer
	// EnvelopeNotice carries only the sender's revision.
	EnvelopeNotice
)

const (
	// ChainMax is how many agents a chain names at most.
	ChainMax = 8
	// EnvelopeMACLen is the length of an envelope's authenticator, in bytes.
	EnvelopeMACLen = 9
	// envelopeVersion is the first byte of an envelope.
	envelopeVersion = 1
	// envelopeFixed is the length of version, authenticator and the length
	// of the header, in bytes.
	envelopeFixed = 1 + EnvelopeMACLen + 2
	// serviceMax is the longest name of a service, in bytes.
	serviceMax = 63
)

// Errors of OpenEnvelope.
var (
	// ErrEnvelopeShort says that an envelope ends too early.
	ErrEnvelopeShort = errors.New("the envelope ends inside its header")
	// ErrEnvelopeVersion says that an envelope has another version.
	ErrEnvelopeVersion = errors.New("the envelope has another version")
	// ErrEnvelopeForged says that its authenticator is wrong.
	ErrEnvelopeForged = errors.New("the envelope is not authentic")
	// ErrEnvelopeHeader says that its header is malformed.
	ErrEnvelopeHeader = errors.New("the envelope's header is malformed")
)

// Envelope is a datagram between a balancer and an agent, or two agents: a
// version byte, an authenticator of the header, the header's length (16 bits),
// the header in the protocol buffers' wire format, and the caller's datagram
// to the end.
type Envelope struct {
	// Kind says what it is for.
	Kind EnvelopeKind
	// Service names the service; it points into the datagram. At most 63 bytes.
	Service []byte
	// Caller is the caller's address.
	Caller netip.AddrPort
	// ReturnAddr is where the balancer takes answers.
	ReturnAddr netip.AddrPort
	// Revision is the sender's.
	Revision uint64
	// Sender is the sending agent's number, 0 for a balancer.
	Sender uint32
	// Owned says that the datagram bears a connection ID of ours.
	Owned bool
	// Chain names the agents in the order in which they are asked.
	Chain [ChainMax]uint32
	// ChainLen is how many of Chain are set.
	ChainLen int
	// AcceptFrom is the first place that may accept a new flow.
	AcceptFrom int
	// Position is the place of the receiver. Below ChainLen unless ChainLen is 0.
	Position int
	// Payload is the caller's datagram; it points into the datagram.
	Payload []byte
}

// Field numbers of the header.
const (
	fieldKind protowire.Number = iota + 1
	fieldService
	fieldCaller
	fieldReturn
	fieldRevision
	fieldSender
	fieldOwned
	fieldChain
	fieldAccept
	fieldPosition
)

// AppendEnvelope appends the envelope. It allocates nothing when dst has
// room. mac returns the authenticator of the header.
func AppendEnvelope(dst []byte, e *Envelope, mac func(header []byte) [EnvelopeMACLen]byte) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, envelopeFixed)...)
	header := len(dst)
	dst = appendUint(dst, fieldKind, uint64(e.Kind))
	if len(e.Service) > 0 {
		dst = protowire.AppendTag(dst, fieldService, protowire.BytesType)
		dst = protowire.AppendBytes(dst, e.Service)
	}
	dst = appendAddr(dst, fieldCaller, e.Caller)
	dst = appendAddr(dst, fieldReturn, e.ReturnAddr)
	dst = appendUint(dst, fieldRevision, e.Revision)
	dst = appendUint(dst, fieldSender, uint64(e.Sender))
	dst = appendUint(dst, fieldOwned, protowire.EncodeBool(e.Owned))
	for _, num := range e.Chain[:e.ChainLen] {
		dst = protowire.AppendTag(dst, fieldChain, protowire.VarintType)
		dst = protowire.AppendVarint(dst, uint64(num))
	}
	dst = appendUint(dst, fieldAccept, uint64(e.AcceptFrom))
	dst = appendUint(dst, fieldPosition, uint64(e.Position))
	sum := mac(dst[header:])
	dst[start] = envelopeVersion
	copy(dst[start+1:], sum[:])
	binary.BigEndian.PutUint16(dst[header-2:], uint16(len(dst)-header))
	return append(dst, e.Payload...)
}

// appendUint appends a number unless it is 0.
func appendUint(dst []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, field, protowire.VarintType)
	return protowire.AppendVarint(dst, v)
}

// appendAddr appends an address unless it is unset: 4 or 16 bytes, then the
// port.
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

// ForwardTo moves an agent to the place after the receiver's, adding it to the
// chain if it isn't named there, and makes it the receiver. The places up to
// Position are then exactly the agents that have been asked. It reports
// false when the chain has no place left. In a full chain an added agent
// pushes out the last one.
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
