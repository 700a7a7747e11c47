package crbalancer

import (
	"net/netip"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
)

// port takes the datagrams of one service's callers. Its socket's goroutine
// alone uses sealer, route, env and buf, so that a datagram costs no
// allocation.
type port struct {
	f       *forwarder
	name    string
	address string
	socket  *crnet.Socket
	sealer  *crroute.Sealer
	route   crroute.Route
	env     crwire.Envelope
	mac     func(header []byte) [crwire.EnvelopeMACLen]byte
	buf     []byte
}

// newPort returns the port of a service whose callers use an address.
func newPort(f *forwarder, name, address string) *port {
	p := &port{f: f, name: name, address: address, sealer: crroute.NewSealer(f.keys)}
	p.mac = p.sealer.MAC
	p.env.Service = []byte(name)
	p.env.ReturnAddr = f.back.addr
	p.buf = make([]byte, 0, 2*crnet.DatagramMax)
	return p
}

// open binds the socket to a local address.
func (p *port) open(local string) error {
	p.socket = &crnet.Socket{Addr: local, Receive: p.receive}
	return p.socket.Start()
}

// receive passes a caller's datagram to an agent.
func (p *port) receive(b []byte, caller netip.AddrPort) {
	to, reason := p.envelop(b, caller)
	if reason == crroute.ReasonNone && p.f.back.socket.Send(p.buf, to) != nil {
		reason = crroute.ReasonSend
	}
	if reason != crroute.ReasonNone {
		p.f.counters.drop(reason)
		return
	}
	p.f.counters.forwarded.Inc()
}

// envelop writes the envelope of a datagram into buf and returns where it
// goes.
func (p *port) envelop(b []byte, caller netip.AddrPort) (netip.AddrPort, crroute.Reason) {
	plan := p.f.plan.Load()
	reason := plan.Route(p.sealer, p.name, caller, b, &p.route)
	if reason != crroute.ReasonNone {
		return netip.AddrPort{}, reason
	}
	e := &p.env
	e.Caller, e.Revision, e.Payload = caller, plan.Revision, b
	e.Chain, e.ChainLen, e.AcceptFrom, e.Owned = p.route.Chain, p.route.ChainLen, p.route.AcceptFrom, p.route.Owned
	p.buf = crwire.AppendEnvelope(p.buf[:0], e, p.mac)
	if len(p.buf) > p.f.mtu() {
		return netip.AddrPort{}, crroute.ReasonOversize
	}
	return p.route.To, crroute.ReasonNone
}
