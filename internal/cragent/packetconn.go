package cragent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"cardamomring.dev/internal/crnet"
)

// packetQueueSize is the maximum number of datagrams queued for the QUIC
// transport.
const packetQueueSize = 4096

// packet is a caller's datagram.
type packet struct {
	caller netip.AddrPort
	buf    *[]byte
}

// packetConn is the net.PacketConn of the QUIC transport. It reads datagrams
// that arrived in envelopes and passes written datagrams to send.
type packetConn struct {
	// send sends a datagram to a caller.
	send func(b []byte, caller netip.AddrPort) error
	// local is the address that the transport sees as its own.
	local net.Addr

	queue     chan packet
	closed    chan struct{}
	closeOnce sync.Once
	pool      sync.Pool

	mu sync.Mutex
	// expired is closed when the read deadline has passed.
	expired chan struct{}
	timer   *time.Timer
}

// newPacketConn returns a connection with an empty queue.
func newPacketConn(local net.Addr, send func(b []byte, caller netip.AddrPort) error) *packetConn {
	return &packetConn{
		send: send, local: local,
		queue: make(chan packet, packetQueueSize), closed: make(chan struct{}), expired: make(chan struct{}),
		pool: sync.Pool{New: func() any { b := make([]byte, 0, crnet.DatagramMax); return &b }},
	}
}

// deliver queues a copy of a datagram. It returns false if the queue is full.
func (c *packetConn) deliver(b []byte, caller netip.AddrPort) bool {
	buf, ok := c.pool.Get().(*[]byte)
	if !ok {
		return false
	}
	*buf = append((*buf)[:0], b...)
	select {
	case c.queue <- packet{caller: caller, buf: buf}:
		return true
	default:
		c.pool.Put(buf)
		return false
	}
}

// ReadFrom returns the next datagram.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	c.mu.Lock()
	expired := c.expired
	c.mu.Unlock()
	select {
	case p := <-c.queue:
		n := copy(b, *p.buf)
		c.pool.Put(p.buf)
		return n, net.UDPAddrFromAddrPort(p.caller), nil
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram to a caller. Send errors are ignored: the datagram
// is lost, as on any network.
func (c *packetConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("want a UDP address")
	}
	to := udp.AddrPort()
	_ = c.send(b, netip.AddrPortFrom(to.Addr().Unmap(), to.Port()))
	return len(b), nil
}

// Close ends pending and later calls of ReadFrom.
func (c *packetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address that the transport sees as its own.
func (c *packetConn) LocalAddr() net.Addr { return c.local }

// SetDeadline sets the deadline of ReadFrom.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing because WriteTo doesn't block.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline sets the deadline of ReadFrom; the zero time means no
// deadline.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil && !c.timer.Stop() {
		c.expired = make(chan struct{})
	}
	c.timer = nil
	if !t.IsZero() {
		expired := c.expired
		c.timer = time.AfterFunc(time.Until(t), func() { close(expired) })
	}
	return nil
}

// SetReadBuffer does nothing because the queue has a fixed size. The QUIC
// transport calls it.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing because the socket sets its own buffer.
func (c *packetConn) SetWriteBuffer(int) error { return nil }
