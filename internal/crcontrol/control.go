// Package crcontrol is the control role: it serves operators, agents and the
// feed from the replicated state. One goroutine owns the state.
package crcontrol

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// leaseDefault is how long a silent agent stays a member.
	leaseDefault = 3 * time.Second
	// leaseTick is how often leases are looked at.
	leaseTick = 250 * time.Millisecond
	// bodyMax bounds the body of a call, in bytes.
	bodyMax = 1 << 20
	// stopGrace bounds a graceful stop.
	stopGrace = 5 * time.Second
)

// Control is one control instance. Set the exported fields before Run.
type Control struct {
	// Settings are checked settings with a Replica section.
	Settings *crdoc.Settings
	// Ready is called with the bound address once the instance listens.
	Ready func(addr string)
	// Registry takes the role's metrics.
	Registry *prometheus.Registry
	// Logf writes a log line for a change of state.
	Logf func(format string, args ...any)

	state  *crstate.State
	source *crfeed.Source
	leases map[string]lease
	calls  chan func()
	// life ends when the instance begins to stop.
	life context.Context
}

// lease is an agent's right to be a member.
type lease struct {
	member crwire.Member
	until  time.Time
}

// Run serves until ctx ends, then stops gracefully.
func (c *Control) Run(ctx context.Context) error {
	c.state = crstate.New()
	c.source = crfeed.NewSource(crfeed.Empty())
	c.leases = map[string]lease{}
	c.calls = make(chan func())
	c.life = ctx
	server := &crnet.Server{Addr: c.Settings.Replica.Listen, Handler: c.routes()}
	if err := server.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go c.loop(done)
	c.Ready(server.Bound())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	err := server.Stop(stopCtx)
	<-done
	return err
}

// routes returns the instance's HTTP calls.
func (c *Control) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /feed", c.serveFeed)
	mux.HandleFunc("POST /announce", c.serveAnnounce)
	mux.HandleFunc("POST /change", c.serveChange)
	mux.HandleFunc("GET /audit", c.serveAudit)
	mux.HandleFunc("GET /view", c.serveView)
	return mux
}

// loop owns the state: it runs calls one at a time and ends leases.
func (c *Control) loop(done chan<- struct{}) {
	defer close(done)
	tick := time.NewTicker(leaseTick)
	defer tick.Stop()
	for {
		select {
		case f := <-c.calls:
			f()
		case now := <-tick.C:
			c.expire(now)
		case <-c.life.Done():
			return
		}
	}
}

// do runs f in the loop and waits for it; false when the instance stops.
func (c *Control) do(f func()) bool {
	done := make(chan struct{})
	select {
	case c.calls <- func() { f(); close(done) }:
		<-done
		return true
	case <-c.life.Done():
		return false
	}
}

// commit applies an entry; it runs in the loop.
func (c *Control) commit(e crstate.Entry) crstate.Reply {
	e.Time = time.Now()
	reply := c.state.Apply(e)
	if reply.Delta != nil {
		if err := c.source.Add(reply.Delta); err != nil {
			c.source.Reset(c.state.View())
		}
	}
	return reply
}

// expire removes agents whose lease has ended.
func (c *Control) expire(now time.Time) {
	var gone []crwire.Member
	for name, l := range c.leases {
		if now.After(l.until) {
			delete(c.leases, name)
			l.member.State = crwire.MemberGone
			gone = append(gone, l.member)
			c.Logf("agent %s has not renewed its lease", name)
		}
	}
	if len(gone) > 0 {
		c.commit(crstate.Entry{Kind: crwire.KindMembers, Members: gone})
	}
}
