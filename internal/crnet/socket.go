package crnet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const (
	// DatagramMax is the largest datagram that a socket reads, in bytes.
	DatagramMax = 9000
	// socketBuffer is the room that a socket asks the kernel for in each
	// direction, in bytes.
	socketBuffer = 4 << 20
)

// Socket is a UDP socket. It keeps nothing for a remote address and
// allocates nothing for a datagram.
type Socket struct {
	// Addr is the host:port to listen on; port 0 takes a free one.
	Addr string
	// Receive takes each datagram, in the socket's goroutine. The bytes are
	// valid until it returns.
	Receive func(b []byte, from netip.AddrPort)

	conn *net.UDPConn
	done chan struct{}
}

// Start listens and reads in its own goroutine.
func (s *Socket) Start() error {
	addr, err := net.ResolveUDPAddr("udp", s.Addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Addr, err)
	}
	s.conn, err = net.ListenUDP("udp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Addr, err)
	}
	// The kernel may grant less; the socket works with what it gets.
	_ = s.conn.SetReadBuffer(socketBuffer)
	_ = s.conn.SetWriteBuffer(socketBuffer)
	s.done = make(chan struct{})
	go s.run()
	return nil
}

// Bound returns the address that the socket is bound to.
func (s *Socket) Bound() netip.AddrPort {
	addr, ok := s.conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return unmap(addr.AddrPort())
}

// Send sends one datagram. It is safe for concurrent use.
func (s *Socket) Send(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	if err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	return nil
}

// Close ends the socket and waits for its reader.
func (s *Socket) Close() error {
	err := s.conn.Close()
	<-s.done
	return err
}

// run reads until the socket is closed.
func (s *Socket) run() {
	defer close(s.done)
	buf := make([]byte, DatagramMax)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// Other errors report on an earlier datagram, such as a port that
		// nobody listens on.
		if err == nil {
			s.Receive(buf[:n], unmap(from))
		}
	}
}

// unmap writes an IPv4 address that a dual-stack socket shows as IPv6 in
// its own form.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
