package crbalancer

import (
	"net/netip"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
)

// greetTimes is how often a balancer that has started greets each agent; a
// greeting can be lost.
const greetTimes = 3

// greeter tells every agent where this balancer takes answers. A caller that
// waits for an answer sends nothing: were every balancer that its agent knows
// replaced meanwhile, the answer would find no way.
type greeter struct {
	f      *forwarder
	sealer *crroute.Sealer
	buf    []byte
	// done is how often every agent was greeted.
	done int
}

// next greets every agent once more, until they were greeted greetTimes. It
// does nothing before the first view.
func (g *greeter) next() {
	targets, rev := g.f.targets()
	if g.done == greetTimes || rev == 0 {
		return
	}
	g.done++
	hello := crwire.Envelope{Kind: crwire.EnvelopeNotice, ReturnAddr: g.f.back.addr, Revision: rev}
	g.buf = crwire.AppendEnvelope(g.buf[:0], &hello, g.sealer.MAC)
	for _, addr := range targets {
		if g.f.back.socket.Send(g.buf, addr) != nil {
			g.f.counters.drop(crroute.ReasonSend)
		}
	}
}

// targets returns where the agents of the view take envelopes, and the
// view's revision.
func (f *forwarder) targets() (targets []netip.AddrPort, rev uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil {
		return nil, 0
	}
	plan := f.plan.Load()
	for num := range f.view.Members {
		if t, ok := plan.Target(num); ok && !t.ZoneOut {
			targets = append(targets, t.Addr)
		}
	}
	return targets, f.view.Revision
}
