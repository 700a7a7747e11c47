package crroute

import (
	"crypto/aes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ConnIDLen is the length of every connection ID that the system issues, in
// bytes: one byte with the format and the key's ID, then one encrypted block.
const ConnIDLen = 1 + aes.BlockSize

const (
	// idFormat is the value of the high five bits of a connection ID's first
	// byte. The low three bits are the key's ID.
	idFormat = 0b10110 << 3
	// nonceBits is the length of a nonce, in bits.
	nonceBits = 40
	// checkBits is the number of zero bits at the end of the plaintext. Opening
	// a connection ID checks them to detect forgery.
	checkBits = 24
)

// ConnID is the plaintext of a connection ID, one block: agent (32 bits),
// service tag (32 bits), nonce (40 bits), zeros (24 bits).
type ConnID struct {
	// Agent is the number of the agent that owns the connection.
	Agent uint32
	// ServiceTag identifies the service; see the function ServiceTag.
	ServiceTag uint32
	// Nonce makes the connection ID unique during the agent's lifetime. Only
	// the low 40 bits are used.
	Nonce uint64
}

// ServiceTag returns the hash that identifies a service in a connection ID.
func ServiceTag(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// Sealer seals and opens connection IDs and authenticates envelopes, without
// allocating. It is not safe for concurrent use.
type Sealer struct {
	keys *Keyring
	buf  [aes.BlockSize]byte
}

// NewSealer returns a Sealer that uses the given keys.
func NewSealer(keys *Keyring) *Sealer { return &Sealer{keys: keys} }

// AppendConnID appends the sealed form of id to dst.
func (s *Sealer) AppendConnID(dst []byte, id ConnID) []byte {
	dst = append(dst, idFormat|byte(s.keys.primary))
	binary.BigEndian.PutUint32(s.buf[0:], id.Agent)
	binary.BigEndian.PutUint32(s.buf[4:], id.ServiceTag)
	binary.BigEndian.PutUint64(s.buf[8:], id.Nonce<<checkBits)
	s.keys.ids[s.keys.primary].Encrypt(s.buf[:], s.buf[:])
	return append(dst, s.buf[:]...)
}

// OpenConnID decrypts a connection ID. It reports false if the ID was not
// issued under a key of the keyring.
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

// NextNonce returns the nonce that follows n. Nonces wrap around after 40 bits.
func NextNonce(n uint64) uint64 { return (n + 1) & (1<<nonceBits - 1) }

// NonceDistance returns the number of increments from one nonce to another,
// modulo 2^40.
func NonceDistance(from, to uint64) uint64 { return (to - from) & (1<<nonceBits - 1) }
