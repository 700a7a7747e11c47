package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagRST, flagFIN, flagSYN, flagACK, flagBounced = 1, 2, 4, 8, 32
)

// headBytes is the size of a packet's head.
const headBytes = 32

// packet is a packet of a flow, as PROTOCOL.md describes it.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

// sumKey keys the sum, so that only the stand-ins can make packets.
const sumKey = "review"

// encode returns the datagram of a packet.
func (p packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	binary.LittleEndian.PutUint32(b[0:], p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	putEnd(b[8:], p.dst)
	putEnd(b[14:], p.src)
	b[24] = p.flags
	binary.LittleEndian.PutUint16(b[30:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[20:], sum(b))
	return b
}

// putEnd writes a port and an address.
func putEnd(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	binary.LittleEndian.PutUint16(b, a.Port())
	b[2], b[3], b[4], b[5] = ip[3], ip[2], ip[1], ip[0]
}

// getEnd reads a port and an address.
func getEnd(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[5], b[4], b[3], b[2]}), binary.LittleEndian.Uint16(b))
}

// sum is the keyed sum over all fields but echo, pad and BOUNCED. It is never 0.
func sum(b []byte) uint32 {
	c := append([]byte(sumKey), b...)
	head := c[len(sumKey):]
	clear(head[20:24])
	head[24] &^= flagBounced
	clear(head[25:30])
	return crc32.ChecksumIEEE(c) | 1
}

// decode reads a datagram. A packet other than a reset of the system's own must have the
// sum of its sender.
func decode(b []byte) (packet, error) {
	if len(b) < headBytes || int(binary.LittleEndian.Uint16(b[30:])) != len(b)-headBytes {
		return packet{}, fmt.Errorf("%d bytes are no packet", len(b))
	}
	p := packet{
		seq: binary.LittleEndian.Uint32(b[0:]), ack: binary.LittleEndian.Uint32(b[4:]), dst: getEnd(b[8:]), src: getEnd(b[14:]),
		flags: b[24], data: append([]byte(nil), b[headBytes:]...),
	}
	got := binary.LittleEndian.Uint32(b[20:])
	if got == 0 && p.flags == flagRST && len(p.data) == 0 {
		return p, nil
	}
	if got != sum(b) {
		return p, fmt.Errorf("packet from %s has a wrong sum", p.src)
	}
	return p, nil
}
