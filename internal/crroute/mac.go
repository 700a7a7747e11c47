package crroute

import (
	"crypto/aes"
	"crypto/subtle"
	"encoding/binary"

	"cardamomring.dev/internal/crwire"
)

// MAC returns the authenticator of b under the primary key: the key's ID,
// followed by the first 8 bytes of the CBC-MAC.
func (s *Sealer) MAC(b []byte) [crwire.EnvelopeMACLen]byte { return s.mac(s.keys.primary, b) }

// Verify reports whether mac is the authenticator of b under any key of the
// keyring.
func (s *Sealer) Verify(b, mac []byte) bool {
	if len(mac) != crwire.EnvelopeMACLen || mac[0] >= keysMax || s.keys.macs[mac[0]] == nil {
		return false
	}
	want := s.mac(int(mac[0]), b)
	return subtle.ConstantTimeCompare(want[:], mac) == 1
}

// mac returns the AES-CBC-MAC of b under the key with the given ID. The length
// goes into the first block, which makes the MAC secure for messages of
// different lengths.
func (s *Sealer) mac(id int, b []byte) [crwire.EnvelopeMACLen]byte {
	block := s.keys.macs[id]
	s.buf = [aes.BlockSize]byte{}
	binary.BigEndian.PutUint64(s.buf[:], uint64(len(b)))
	block.Encrypt(s.buf[:], s.buf[:])
	for len(b) > 0 {
		n := min(len(b), aes.BlockSize)
		subtle.XORBytes(s.buf[:], s.buf[:], b[:n])
		block.Encrypt(s.buf[:], s.buf[:])
		b = b[n:]
	}
	out := [crwire.EnvelopeMACLen]byte{byte(id)}
	copy(out[1:], s.buf[:])
	return out
}
