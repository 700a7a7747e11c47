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
// zone was taken out of service.
const zoneGrace = time.Second

// callerFlows serves callers' flows.
type callerFlows struct {
	datagrams *datagramServer
	server    *flowServer
	cert      *certificate
	done      chan struct{}

	// closeTimer closes the flows when the zone stays out of service; nil while
	// the zone is in service. Only the feed's goroutine uses it.
	closeTimer *time.Timer
	logf       func(format string, args ...any)
}

// setZoneOut closes callers' flows zoneGrace after the agent's availability
// zone was taken out of service. Only the agent can notify a caller that waits
// for an answer, because such a caller sends no datagrams.
func (f *callerFlows) setZoneOut(out bool) {
	switch {
	case out && f.closeTimer == nil:
		f.closeTimer = time.AfterFunc(zoneGrace, f.closeAll)
	case !out && f.closeTimer != nil:
		f.closeTimer.Stop()
		f.closeTimer = nil
	}
}

// closeAll closes every flow.
func (f *callerFlows) closeAll() {
	if n := f.server.listener.closeAll(); n > 0 {
		f.logf("closed %d flows: availability zone is out of service", n)
	}
}

// openFlows listens for envelopes and serves HTTP/3 on the datagrams in them.
// Without a datagram address it does nothing.
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
	a.loops.Go(func() { cert.run(a.flows.done) })
	return nil
}

// datagramAddr returns the address that receives envelopes, empty without one.
func (a *Agent) datagramAddr() string {
	if a.flows == nil {
		return ""
	}
	return a.flows.datagrams.socket.Bound().String()
}

// drainFlows waits for callers' flows to end, at most for the service's grace
// period. New flows are forwarded to other agents meanwhile. If the agent's
// availability zone is out of service, it doesn't wait because no datagrams
// reach those flows any more.
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
		a.Logf("closed callers' connections still open after %s", grace)
	}
	return err
}

// closeFlows closes the socket and ends the loops of the flows.
func (a *Agent) closeFlows() error {
	if a.flows == nil {
		return nil
	}
	close(a.flows.done)
	return a.flows.datagrams.socket.Close()
}

// draining reports whether the agent accepts no new work.
func (a *Agent) draining() bool {
	return crwire.MemberState(a.state.Load()) != crwire.MemberActive
}

// serveFlow serves a caller's request on one of the agent's flows.
func (a *Agent) serveFlow(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(crwire.HeaderAgent, a.member.Name)
	req, err := crrun.FromCaller(r, a.member.Service, rand.Text())
	if err != nil {
		crrun.NewRejection(http.StatusRequestEntityTooLarge, "body").Write(w)
		return
	}
	a.Serve(r.Context(), req).Write(w)
}

// onNewerRevision makes the follower pull the feed from the agent that has a
// newer revision. sender is 0 for a balancer, which serves no feed; any other
// agent is used then.
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
