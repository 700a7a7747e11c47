package crnet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const (
	// DatagramMax is the maximum size of a received datagram, in bytes.
	DatagramMax = 9000
	// socketBufferBytes is the size of the kernel buffer that a socket requests for
	// each direction.
	socketBufferBytes = 4 << 20
)

// Socket is a UDP socket. It stores no state per remote address and does not
// allocate memory per datagram.
type Socket struct {
	// Addr is the host:port to listen on; port 0 selects a free port.
	Addr string
	// Receive is called with each datagram, in the socket's goroutine. The bytes
	// are valid until Receive returns.
	Receive func(b []byte, from netip.AddrPort)

	conn *net.UDPConn
	done chan struct{}
}

// Start opens the socket and reads from it in a new goroutine.
func (s *Socket) Start() error {
	addr, err := net.ResolveUDPAddr("udp", s.Addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Addr, err)
	}
	s.conn, err = net.ListenUDP("udp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Addr, err)
	}
	// The kernel may grant less, which is not an error.
	_ = s.conn.SetReadBuffer(socketBufferBytes)
	_ = s.conn.SetWriteBuffer(socketBufferBytes)
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

// Close closes the socket and waits for its goroutine to end.
func (s *Socket) Close() error {
	err := s.conn.Close()
	<-s.done
	return err
}

// run reads datagrams until the socket is closed.
func (s *Socket) run() {
	defer close(s.done)
	buf := make([]byte, DatagramMax)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// Other errors refer to a datagram sent earlier, for example to a port
		// that is not open.
		if err == nil {
			s.Receive(buf[:n], unmap(from))
		}
	}
}

// unmap converts an IPv4-mapped IPv6 address, as a dual-stack socket returns it,
// to the IPv4 address.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
