package crbalancer

import (
	"net/netip"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
)

// port receives the datagrams of one service's callers. Only the goroutine of
// its socket uses sealer, route, envelope and buf, so that a datagram needs no
// allocation.
type port struct {
	forwarder *forwarder
	name      string
	address   string
	socket    *crnet.Socket
	sealer    *crroute.Sealer
	route     crroute.Route
	envelope  crwire.Envelope
	mac       func(header []byte) [crwire.EnvelopeMACLen]byte
	buf       []byte
}

// newPort returns the port of a service with this address.
func newPort(f *forwarder, name, address string) *port {
	p := &port{forwarder: f, name: name, address: address, sealer: crroute.NewSealer(f.keys)}
	p.mac = p.sealer.MAC
	p.envelope.Service = []byte(name)
	p.envelope.ReturnAddr = f.returnSocket.addr
	p.buf = make([]byte, 0, 2*crnet.DatagramMax)
	return p
}

// open binds the socket to a local address.
func (p *port) open(local string) error {
	p.socket = &crnet.Socket{Addr: local, Receive: p.receive}
	return p.socket.Start()
}

// receive forwards a caller's datagram to an agent.
func (p *port) receive(b []byte, caller netip.AddrPort) {
	to, reason := p.encodeEnvelope(b, caller)
	if reason == crroute.ReasonNone && p.forwarder.returnSocket.socket.Send(p.buf, to) != nil {
		reason = crroute.ReasonSend
	}
	if reason != crroute.ReasonNone {
		p.forwarder.counters.drop(reason)
		return
	}
	p.forwarder.counters.forwarded.Inc()
}

// encodeEnvelope writes the envelope of a datagram to buf and returns the
// address of the agent.
func (p *port) encodeEnvelope(b []byte, caller netip.AddrPort) (netip.AddrPort, crroute.Reason) {
	plan := p.forwarder.plan.Load()
	reason := plan.Route(p.sealer, p.name, caller, b, &p.route)
	if reason != crroute.ReasonNone {
		return netip.AddrPort{}, reason
	}
	e := &p.envelope
	e.Caller, e.Revision, e.Payload = caller, plan.Revision, b
	e.Chain, e.ChainLen, e.AcceptFrom, e.Owned = p.route.Chain, p.route.ChainLen, p.route.AcceptFrom, p.route.Owned
	p.buf = crwire.AppendEnvelope(p.buf[:0], e, p.mac)
	if len(p.buf) > p.forwarder.mtu() {
		return netip.AddrPort{}, crroute.ReasonOversize
	}
	return p.route.To, crroute.ReasonNone
}
