package cragent

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
)

// answerEncoder holds the buffers for encoding answer envelopes.
type answerEncoder struct {
	sealer *crroute.Sealer
	env    crwire.Envelope
	buf    []byte
}

// sendAnswer sends a datagram to a caller through the balancer that forwarded
// the caller's last datagram.
func (d *datagramServer) sendAnswer(b []byte, caller netip.AddrPort) error {
	to, ok := d.flows.ReturnAddr(caller, time.Now())
	if !ok {
		d.counters.countDrop(crroute.ReasonCaller)
		return nil
	}
	d.sendMu.Lock()
	defer d.sendMu.Unlock()
	d.answers.env = crwire.Envelope{
		Kind: crwire.EnvelopeAnswer, Service: []byte(d.service), Caller: caller,
		Revision: d.plan.Load().Revision, Sender: d.num(), Payload: b,
	}
	d.answers.buf = crwire.AppendEnvelope(d.answers.buf[:0], &d.answers.env, d.answers.sealer.MAC)
	if err := d.socket.Send(d.answers.buf, to); err != nil {
		d.counters.countDrop(crroute.ReasonSend)
		return err
	}
	return nil
}
