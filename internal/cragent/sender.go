package cragent

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
)

// sender writes answer envelopes.
type sender struct {
	sealer *crroute.Sealer
	env    crwire.Envelope
	buf    []byte
}

// answer sends a datagram of the agent to a caller, through the balancer
// that forwarded the caller's last one.
func (d *datagrams) answer(b []byte, caller netip.AddrPort) error {
	to, ok := d.flows.ReturnAddr(caller, time.Now())
	if !ok {
		d.counters.drop(crroute.ReasonCaller)
		return nil
	}
	d.sending.Lock()
	defer d.sending.Unlock()
	d.out.env = crwire.Envelope{
		Kind: crwire.EnvelopeAnswer, Service: []byte(d.service), Caller: caller,
		Revision: d.plan.Load().Revision, Sender: d.num(), Payload: b,
	}
	d.out.buf = crwire.AppendEnvelope(d.out.buf[:0], &d.out.env, d.out.sealer.MAC)
	if err := d.socket.Send(d.out.buf, to); err != nil {
		d.counters.drop(crroute.ReasonSend)
		return err
	}
	return nil
}
