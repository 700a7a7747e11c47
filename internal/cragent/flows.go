package cragent

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"cardamomring.dev/internal/crroute"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
)

// zoneGrace is how long flows may still send answers after their availability
// zone was taken out.
const zoneGrace = time.Second

// callerFlows is what the agent needs to end callers' flows.
type callerFlows struct {
	datagrams *datagramServer
	server    *flowServer
	cert      *certificate
	done      chan struct{}

	// closeTimer gives the flows up when the zone stays out; nil while it is
	// in. Only the feed's goroutine uses it.
	closeTimer *time.Timer
	logf       func(format string, args ...any)
}

// setZoneOut gives callers' flows up soon after the agent's availability zone was
// taken out. A caller that waits for an answer sends nothing, so that only
// the agent can tell it.
func (f *callerFlows) setZoneOut(out bool) {
	switch {
	case out && f.closeTimer == nil:
		f.closeTimer = time.AfterFunc(zoneGrace, f.closeAll)
	case !out && f.closeTimer != nil:
		f.closeTimer.Stop()
		f.closeTimer = nil
	}
}

// closeAll ends every flow.
func (f *callerFlows) closeAll() {
	if n := f.server.listener.closeAll(); n > 0 {
		f.logf("gave up %d flows: the availability zone is out of service", n)
	}
}

// openFlows listens for envelopes and serves HTTP/3 on what they carry. It
// does nothing without a datagram address.
func (a *Agent) openFlows() error {
	cfg := a.Settings.Agent
	if cfg.DatagramAddr == "" {
		return nil
	}
	keys, err := crroute.LoadKeyring(a.Settings.Keys, os.ReadFile)
	if err != nil {
		return err
	}
	cert := &certificate{certFile: cfg.Cert, keyFile: cfg.Key, logf: a.Logf}
	if err := cert.load(); err != nil {
		return err
	}
	d := &datagramServer{
		service: cfg.Service, zone: a.Settings.Zone, num: a.num.Load, draining: a.draining,
		hasCapacity: a.HasCapacity, onNewerRevision: a.onNewerRevision, counters: newCounters(a.Registry),
	}
	if err := d.open(cfg.DatagramAddr, keys); err != nil {
		return err
	}
	server := &flowServer{handler: http.HandlerFunc(a.serveFlow)}
	d.conn = newPacketConn(net.UDPAddrFromAddrPort(d.socket.Bound()), d.sendAnswer)
	if err := server.start(d, keys, cert); err != nil {
		return errors.Join(err, d.socket.Close())
	}
	a.flows = &callerFlows{datagrams: d, server: server, cert: cert, done: make(chan struct{}), logf: a.Logf}
	a.loops.Go(func() { d.run(a.flows.done) })
	a.loops.Go(func() { cert.watch(a.flows.done) })
	return nil
}

// datagramAddr returns the address that envelopes come in on, empty for none.
func (a *Agent) datagramAddr() string {
	if a.flows == nil {
		return ""
	}
	return a.flows.datagrams.socket.Bound().String()
}

// drainFlows waits for callers' flows to end until the service's grace is
// over; new flows are passed on meanwhile. In an availability zone that is
// out it doesn't wait: nothing reaches those flows any more.
func (a *Agent) drainFlows() error {
	if a.flows == nil {
		return nil
	}
	grace, view := stopGrace, a.view.Load()
	doc := view.Services[a.member.Service]
	switch {
	case slices.Contains(view.ZonesOut, a.member.Zone):
		grace = 0
	case doc != nil && doc.Grace > 0:
		grace = doc.Grace.D()
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	remained, err := a.flows.server.stop(ctx)
	if remained {
		a.Logf("closed callers' connections that were open after %s", grace)
	}
	return err
}

// closeFlows ends the socket and the loops of the flows.
func (a *Agent) closeFlows() error {
	if a.flows == nil {
		return nil
	}
	close(a.flows.done)
	return a.flows.datagrams.socket.Close()
}

// draining reports whether the agent takes no new work.
func (a *Agent) draining() bool {
	return crwire.MemberState(a.state.Load()) != crwire.MemberActive
}

// serveFlow answers a request of a caller on one of the agent's flows.
func (a *Agent) serveFlow(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(crwire.HeaderAgent, a.member.Name)
	req, err := crrun.FromCaller(r, a.member.Service, rand.Text())
	if err != nil {
		crrun.NewRejection(http.StatusRequestEntityTooLarge, "body").Write(w)
		return
	}
	a.Serve(r.Context(), req).Write(w)
}

// onNewerRevision asks for the feed where a later revision was seen. The sender's
// number is 0 when it is a balancer, which serves none; then any other agent
// is asked.
func (a *Agent) onNewerRevision(sender uint32, rev uint64) {
	view := a.view.Load()
	if m, ok := view.Members[sender]; ok {
		a.hint(m.RunAddr, rev)
		return
	}
	for num, m := range view.Members {
		if num != a.num.Load() {
			a.hint(m.RunAddr, rev)
			return
		}
	}
}
