package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags field and the size of the header, as PROTOCOL.md gives them.
const (
	flagRST     = 1
	flagFIN     = 2
	flagSYN     = 4
	flagACK     = 8
	flagBounced = 32
	headSize    = 32
)

// packet is one datagram of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

// encode returns the datagram with its sum.
func (p packet) encode() []byte {
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

// sumOf returns the sum over all fields but echo, pad and BOUNCED. Only clients and
// hosts compute it.
func sumOf(b []byte) uint32 {
	c := append([]byte(nil), b...)
	clear(c[20:24])
	clear(c[25:30])
	c[24] &^= flagBounced
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the stand-ins"))
	_, _ = h.Write(c)
	return h.Sum32()
}

// decode reads a datagram. genuine is false if its sum is wrong.
func decode(b []byte) (p packet, genuine, ok bool) {
	if len(b) < headSize || int(binary.LittleEndian.Uint16(b[30:])) != len(b)-headSize {
		return packet{}, false, false
	}
	p = packet{
		src: getAddr(b[14:]), dst: getAddr(b[8:]), flags: b[24],
		seq: binary.LittleEndian.Uint32(b), ack: binary.LittleEndian.Uint32(b[4:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	return p, binary.LittleEndian.Uint32(b[20:]) == sumOf(b), true
}

func getAddr(b []byte) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{b[5], b[4], b[3], b[2]})
	return netip.AddrPortFrom(ip, binary.LittleEndian.Uint16(b))
}

func putAddr(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	binary.LittleEndian.PutUint16(b, a.Port())
	b[2], b[3], b[4], b[5] = ip[3], ip[2], ip[1], ip[0]
}
