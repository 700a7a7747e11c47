package crbalancer

import (
	"net/netip"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crwire"
)

// maxAnnouncements is how often a balancer announces its return address after
// its start. It repeats the announcement because datagrams can be lost.
const maxAnnouncements = 3

// returnAnnouncer announces this balancer's return address to all agents. It is
// needed because a caller that waits for an answer sends nothing. If all
// balancers that the caller's agent knows were replaced in the meantime, the
// agent could not deliver the answer.
type returnAnnouncer struct {
	forwarder *forwarder
	sealer    *crroute.Sealer
	buf       []byte
	// count is the number of announcements so far.
	count int
}

// announce sends the return address to all agents, at most maxAnnouncements
// times. It does nothing before the first view.
func (a *returnAnnouncer) announce() {
	addrs, rev := a.forwarder.agentAddrs()
	if a.count == maxAnnouncements || rev == 0 {
		return
	}
	a.count++
	notice := crwire.Envelope{Kind: crwire.EnvelopeNotice, ReturnAddr: a.forwarder.returnSocket.addr, Revision: rev}
	a.buf = crwire.AppendEnvelope(a.buf[:0], &notice, a.sealer.MAC)
	for _, addr := range addrs {
		if a.forwarder.returnSocket.socket.Send(a.buf, addr) != nil {
			a.forwarder.counters.drop(crroute.ReasonSend)
		}
	}
}

// agentAddrs returns the addresses that receive envelopes at the agents of the
// view, and the view's revision. It omits agents in zones that are out of
// service.
func (f *forwarder) agentAddrs() (addrs []netip.AddrPort, rev uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil {
		return nil, 0
	}
	plan := f.plan.Load()
	for num := range f.view.Members {
		if t, ok := plan.Target(num); ok && !t.ZoneOut {
			addrs = append(addrs, t.Addr)
		}
	}
	return addrs, f.view.Revision
}
