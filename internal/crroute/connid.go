package crroute

import (
	"crypto/aes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ConnIDLen is the length of every connection ID that we issue, in bytes: the
// key's ID and one sealed block.
const ConnIDLen = 1 + aes.BlockSize

const (
	// idFormat stands in the high bits of an ID's first byte; the low three
	// bits are the key's ID.
	idFormat = 0b10110 << 3
	// nonceBits is the length of an ID's nonce.
	nonceBits = 40
	// checkBits is the length of the part that must be zero.
	checkBits = 24
)

// ConnID is what a connection ConnID says. Sealed, it is one block: agent (32 bits),
// tag (32 bits), nonce (40 bits), zeros (24 bits).
type ConnID struct {
	// Agent is the number of the agent that holds the connection.
	Agent uint32
	// ServiceTag is the ServiceTag of the service.
	ServiceTag uint32
	// Nonce makes the ID unique within the agent's life; 40 bits are used.
	Nonce uint64
}

// ServiceTag returns the number that stands for a service in a connection ID.
func ServiceTag(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// Sealer seals and opens connection IDs and envelopes without allocating.
// It is for one goroutine.
type Sealer struct {
	keys *Keyring
	buf  [aes.BlockSize]byte
}

// NewSealer returns a sealer that uses the keys.
func NewSealer(keys *Keyring) *Sealer { return &Sealer{keys: keys} }

// AppendConnID appends the sealed form of id.
func (s *Sealer) AppendConnID(dst []byte, id ConnID) []byte {
	dst = append(dst, idFormat|byte(s.keys.first))
	binary.BigEndian.PutUint32(s.buf[0:], id.Agent)
	binary.BigEndian.PutUint32(s.buf[4:], id.ServiceTag)
	binary.BigEndian.PutUint64(s.buf[8:], id.Nonce<<checkBits)
	s.keys.ids[s.keys.first].Encrypt(s.buf[:], s.buf[:])
	return append(dst, s.buf[:]...)
}

// OpenConnID reads a connection ID; false says that we didn't issue it.
func (s *Sealer) OpenConnID(b []byte) (ConnID, bool) {
	if len(b) != ConnIDLen || b[0]&^(keysMax-1) != idFormat {
		return ConnID{}, false
	}
	block := s.keys.ids[b[0]&(keysMax-1)]
	if block == nil {
		return ConnID{}, false
	}
	block.Decrypt(s.buf[:], b[1:])
	tail := binary.BigEndian.Uint64(s.buf[8:])
	if tail&(1<<checkBits-1) != 0 {
		return ConnID{}, false
	}
	return ConnID{
		Agent:      binary.BigEndian.Uint32(s.buf[0:]),
		ServiceTag: binary.BigEndian.Uint32(s.buf[4:]),
		Nonce:      tail >> checkBits,
	}, true
}

// NextNonce returns the nonce after n.
func NextNonce(n uint64) uint64 { return (n + 1) & (1<<nonceBits - 1) }

// NonceDistance returns how many nonces lie from one to another.
func NonceDistance(from, to uint64) uint64 { return (to - from) & (1<<nonceBits - 1) }
