package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Bits of the flags of a packet, as PROTOCOL.md gives them.
const (
	flagRST, flagFIN, flagSYN, flagACK, flagBounced = 1, 2, 4, 8, 32
	headSize                                        = 32
	// resetWindow is how far the seq of a valid reset may be from the client's last ack.
	resetWindow = 76800
)

// packet is one packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	// sum is the keyed sum as received.
	sum uint32
}

func putAddr(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	binary.LittleEndian.PutUint16(b, a.Port())
	b[2], b[3], b[4], b[5] = ip[3], ip[2], ip[1], ip[0]
}

func getAddr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[5], b[4], b[3], b[2]}), binary.LittleEndian.Uint16(b))
}

// sumOf returns a sum over all fields except echo, pad and BOUNCED; never 0, which marks
// a reset of the system's own.
func sumOf(b []byte) uint32 {
	c := append([]byte("key"), b...)
	h := c[3:]
	clear(h[20:24])
	h[24] &^= flagBounced
	h[25] = 0
	clear(h[26:30])
	return max(crc32.ChecksumIEEE(c), 1)
}

func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.LittleEndian.PutUint32(b, p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	putAddr(b[8:], p.dst)
	putAddr(b[14:], p.src)
	b[24] = p.flags
	binary.LittleEndian.PutUint16(b[30:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[20:], sumOf(b))
	return b
}

// decode decodes a packet. ok is false if it isn't whole.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headSize || int(binary.LittleEndian.Uint16(b[30:])) != len(b)-headSize {
		return p, false
	}
	return packet{
		src: getAddr(b[14:]), dst: getAddr(b[8:]), flags: b[24], seq: binary.LittleEndian.Uint32(b),
		ack: binary.LittleEndian.Uint32(b[4:]), data: append([]byte(nil), b[headSize:]...), sum: binary.LittleEndian.Uint32(b[20:]),
	}, true
}

// genuine reports whether the sum shows that the packet is as its sender wrote it.
func genuine(b []byte) bool { return binary.LittleEndian.Uint32(b[20:24]) == sumOf(b) }

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }
