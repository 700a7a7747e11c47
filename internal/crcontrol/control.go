// Package crcontrol is the control role: it serves operators, agents and the
// feed from the replicated state. The replica's goroutine owns the state.
package crcontrol

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crclock"
	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// leaseDefault is how long a silent agent stays a member.
	leaseDefault = 3 * time.Second
	// leaseTick is how often leases are looked at.
	leaseTick = 250 * time.Millisecond
	// commitTimeout bounds the wait for a quorum.
	commitTimeout = 2 * time.Second
	// forwardTimeout bounds a call that is handed to the leader.
	forwardTimeout = 3 * time.Second
	// bodyMax bounds the body of a call, in bytes.
	bodyMax = 8 << 20
	// stopGrace bounds a graceful stop: with the second that a leader may take
	// to hand over it stays under 5 s, which is less than platforms grant.
	stopGrace = 3 * time.Second
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
	// Peers are the host:port of instances that may know the group, for an
	// instance that asks to be admitted.
	Peers func() []string
	// FaultTolerance is how many disks may be lost at once; it bounds which silent
	// instances are dropped from the group.
	FaultTolerance int
	// TickInterval and ElectionTicks time the replicated log; 0 takes its defaults.
	TickInterval  time.Duration
	ElectionTicks uint64

	replica *crreplica.Replica
	client  *crnet.Client
	source  *crfeed.Source
	metrics *metrics
	// followers are the daemons that poll the feed here.
	followers *followers
	// state and leases are touched in the replica's goroutine only.
	state  *crstate.State
	leases *crstate.Leases
	status crreplica.Status
	// opened is when the instance started, by crclock.
	opened time.Duration
	// early is the view of the last state on disk at the start, with entries
	// that may not be committed; nil for none. It doesn't change.
	early *crwire.View

	announces *batcher[crwire.Member, crwire.AnnounceResponse]
	claims    *batcher[crwire.Claim, crwire.ClaimResponse]
	settles   *batcher[crwire.Settle, settled]

	// life ends when the instance begins to stop.
	life  context.Context
	loops sync.WaitGroup
	// failed takes the replica's error.
	failed chan error
}

// Run serves until ctx ends, then stops gracefully. It returns early when
// the replica's disk fails.
func (c *Control) Run(ctx context.Context) error {
	life, cancel := context.WithCancel(ctx)
	defer cancel()
	c.life = life
	if err := c.open(); err != nil {
		return err
	}
	defer c.client.Close()
	if err := c.replica.Open(life); err != nil {
		return err
	}
	c.preview()
	protection, err := crnet.ServerTLS(c.Settings.TLS, false)
	if err != nil {
		return err
	}
	server := &crnet.Server{Addr: c.Settings.Replica.Listen, Handler: c.routes(), TLS: protection}
	if err := server.Start(); err != nil {
		return err
	}
	c.start()
	c.Ready(server.Bound())
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-c.failed:
	}
	cancel()
	<-c.replica.Stopped()
	stopCtx, stop := context.WithTimeout(context.Background(), stopGrace)
	defer stop()
	err = server.Stop(stopCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		// Connections that never sent a request count as busy for 5 s.
		c.Logf("calls under way were cut after %s", stopGrace)
		err = nil
	}
	c.loops.Wait()
	return errors.Join(failure, err)
}

// open makes the instance's parts.
func (c *Control) open() error {
	protection, err := crnet.ClientTLS(c.Settings.TLS)
	if err != nil {
		return err
	}
	c.opened = crclock.Now()
	c.state = crstate.New()
	c.source = crfeed.NewSource(crfeed.EmptyView())
	c.metrics = newMetrics(c.Registry)
	c.followers = newFollowers()
	c.leases = crstate.NewLeases(c.leaseTime())
	c.client = &crnet.Client{TLS: protection}
	c.client.Open()
	c.failed = make(chan error, 1)
	c.announces = newBatcher(c.commitMembers)
	c.claims = newBatcher(c.commitClaims)
	c.settles = newBatcher(c.commitSettles)
	c.replica = &crreplica.Replica{
		Settings: c.Settings.Replica, Client: c.client,
		Apply: c.apply, Snapshot: c.snapshot, Restore: c.restore, StatusChanged: c.changed,
		Registry: c.Registry, Logf: c.Logf, TickInterval: c.TickInterval, ElectionTicks: c.ElectionTicks,
	}
	return nil
}

// start runs the instance's loops until its life ends.
func (c *Control) start() {
	c.loops.Go(c.run)
	c.loops.Go(c.loop)
	c.loops.Go(func() { c.announces.loop(c.life) })
	c.loops.Go(func() { c.claims.loop(c.life) })
	c.loops.Go(func() { c.settles.loop(c.life) })
	if c.Settings.Replica.Address != "" {
		c.loops.Go(c.admission)
	}
}

// run takes part in the replicated log.
func (c *Control) run() {
	if err := c.replica.Run(); err != nil {
		c.failed <- err
	}
}

// loop ends leases until the instance stops.
func (c *Control) loop() {
	tick := time.NewTicker(leaseTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.expire()
			if c.Settings.Replica.Address != "" {
				c.dropSilent()
			}
		case <-c.life.Done():
			return
		}
	}
}

// routes returns the instance's HTTP calls.
func (c *Control) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /change", c.serveChange)
	for path, serve := range map[string]http.HandlerFunc{
		"GET /feed":   c.feed().ServeHTTP,
		"GET /view":   c.serveView,
		"GET /audit":  c.serveAudit,
		"GET /status": c.serveStatus,
	} {
		mux.HandleFunc(path, c.forReaders(serve))
	}
	for path, serve := range map[string]http.HandlerFunc{
		"POST /announce":        c.serveAnnounce,
		"POST /claim":           c.serveClaim,
		"POST /settle":          c.serveSettle,
		"POST " + pathAnnounces: c.serveAnnounces,
		"POST " + pathClaims:    c.serveClaims,
		"POST " + pathSettles:   c.serveSettles,
		"POST " + PathAdmit:     c.serveAdmit,
		"POST " + PathCatalog:   c.serveCatalog,
		"/quorum/":              c.replica.Routes().ServeHTTP,
	} {
		mux.HandleFunc(path, c.forProcesses(serve))
	}
	return mux
}

// leaseTime returns how long a silent agent stays a member.
func (c *Control) leaseTime() time.Duration {
	if d := c.Settings.Replica.Lease.D(); d > 0 {
		return d
	}
	return leaseDefault
}
