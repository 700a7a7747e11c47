// Package crcontrol implements the control role. A control instance accepts
// operators' changes, serves the feed of configurations, decides claims of
// idempotency keys, renews the leases of agents and admits further instances. The
// state is replicated; only the goroutine of the replica accesses it.
package crcontrol

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// defaultLease is how long an agent stays a member after its last announcement.
	defaultLease = 3 * time.Second
	// leaseCheckInterval is the time between two checks for expired leases.
	leaseCheckInterval = 250 * time.Millisecond
	// commitTimeout bounds the wait for a commit by the quorum.
	commitTimeout = 2 * time.Second
	// forwardTimeout bounds a call that is forwarded to the leader.
	forwardTimeout = 3 * time.Second
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 8 << 20
	// stopTimeout bounds a graceful stop. An instance may take another second to give
	// up its vote, and a leader one to hand over leadership. The sum is 5 s, which is
	// less than platforms allow for a stop.
	stopTimeout = 3 * time.Second
)

// Control is one control instance. Set the exported fields before Run.
type Control struct {
	// Settings must be valid and have a Replica section.
	Settings *crdoc.Settings
	// Ready is called with the bound address once the instance listens.
	Ready func(addr string)
	// Registry is where the metrics are registered.
	Registry *prometheus.Registry
	// Logf writes a log line.
	Logf func(format string, args ...any)
	// Peers returns the host:port of instances that may know the group. An
	// instance that is not a voter requests admission from them.
	Peers func() []string
	// FirstStart is true only when the whole system starts for the first time, with
	// empty disks. The members of Settings.Replica found the group then, of which a
	// majority is enough. All of them must name the same members.
	FirstStart bool
	// FaultTolerance is how many disks may be lost at once. The first
	// change waits for 2*FaultTolerance+1 voters. The vote of an instance that is silent or
	// stops is taken only while that many others, and at least three, vote.
	FaultTolerance int
	// FlowLifetime is the greatest age of an open flow of opaque services; 0 means an
	// hour. For this long the state keeps which services a route led to and when agents
	// joined, so that the owners of flows are found.
	FlowLifetime time.Duration
	// TickInterval and ElectionTicks are passed to the replica; 0 means the
	// default.
	TickInterval  time.Duration
	ElectionTicks uint64

	replica *crreplica.Replica
	client  *crnet.Client
	source  *crfeed.Source
	metrics *metrics
	// followers are the daemons that poll the feed of this instance.
	followers *followers
	// state, leases, prevStatus and resignedAt are accessed only in the replica's
	// goroutine.
	state      *crstate.State
	leases     *crstate.Leases
	prevStatus crreplica.Status
	// resignedAt is when instances said that they stop, on the clock of crclock. The
	// leader uses it.
	resignedAt map[uint64]time.Duration
	// loggedVoters is the number of voters in the last line about a new group that has
	// too few.
	loggedVoters atomic.Int64
	// resigning is set when this instance begins a planned stop.
	resigning atomic.Bool

	announces *batcher[crwire.Member, crwire.AnnounceResponse]
	claims    *batcher[crwire.Claim, crwire.ClaimResponse]
	settles   *batcher[crwire.Settle, settleResponse]

	// runCtx is cancelled when the instance begins to stop.
	runCtx context.Context
	loops  sync.WaitGroup
	// listening is set once the instance serves calls.
	listening atomic.Bool
	// replicaErr receives the error with which the replica stopped.
	replicaErr chan error
}

// Run serves until ctx is cancelled, then stops gracefully. It returns early if
// the replica's disk fails.
func (c *Control) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.runCtx = runCtx
	if err := c.setup(); err != nil {
		return err
	}
	defer c.client.Close()
	if err := c.replica.Open(runCtx); err != nil {
		return err
	}
	tlsConfig, err := crnet.ServerTLS(c.Settings.TLS, false)
	if err != nil {
		return err
	}
	server := &crnet.Server{Addr: c.Settings.Replica.Listen, Handler: c.routes(), TLS: tlsConfig}
	if err := server.Start(); err != nil {
		return err
	}
	c.startLoops()
	c.listening.Store(true)
	c.Ready(server.Bound())
	var replicaErr error
	select {
	case <-ctx.Done():
		c.resign()
	case replicaErr = <-c.replicaErr:
	}
	cancel()
	<-c.replica.Stopped()
	stopCtx, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	err = server.Stop(stopCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		// Connections on which no request was sent count as busy for 5 s.
		c.Logf("graceful stop timed out after %s; open calls were aborted", stopTimeout)
		err = nil
	}
	c.loops.Wait()
	return errors.Join(replicaErr, err)
}

// setup creates the instance's components.
func (c *Control) setup() error {
	tlsConfig, err := crnet.ClientTLS(c.Settings.TLS)
	if err != nil {
		return err
	}
	c.state = crstate.New()
	c.source = crfeed.NewSource(crfeed.EmptyView())
	c.metrics = newMetrics(c.Registry)
	c.followers = newFollowers()
	c.leases = crstate.NewLeases(c.leaseDuration())
	c.resignedAt = map[uint64]time.Duration{}
	c.client = &crnet.Client{TLS: tlsConfig}
	c.client.Open()
	c.replicaErr = make(chan error, 1)
	c.announces = newBatcher(c.renewLeases)
	c.claims = newBatcher(c.claimKeys)
	c.settles = newBatcher(c.recordOutcomes)
	c.replica = &crreplica.Replica{
		Settings: c.Settings.Replica, FirstStart: c.FirstStart, Client: c.client,
		Apply: c.apply, Snapshot: c.snapshot, Restore: c.restore, StatusChanged: c.statusChanged,
		Registry: c.Registry, Logf: c.Logf, TickInterval: c.TickInterval, ElectionTicks: c.ElectionTicks,
	}
	return nil
}

// startLoops starts the goroutines that run until runCtx is cancelled.
func (c *Control) startLoops() {
	c.loops.Go(c.run)
	c.loops.Go(c.loop)
	c.loops.Go(func() { c.announces.loop(c.runCtx) })
	c.loops.Go(func() { c.claims.loop(c.runCtx) })
	c.loops.Go(func() { c.settles.loop(c.runCtx) })
	if c.Settings.Replica.Address != "" {
		c.loops.Go(c.admissionLoop)
		c.loops.Go(c.voterLoop)
	}
}

// run runs the replica and reports its error to Run.
func (c *Control) run() {
	if err := c.replica.Run(); err != nil {
		c.replicaErr <- err
	}
}

// loop removes agents with expired leases and history whose time has passed until the
// instance stops.
func (c *Control) loop() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.expireLeases()
			c.expireHistory()
		case <-c.runCtx.Done():
			return
		}
	}
}

// routes returns the HTTP handler of the instance.
func (c *Control) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /change", c.serveChange)
	for path, serve := range map[string]http.HandlerFunc{
		"GET /feed":   c.feed().ServeHTTP,
		"GET /view":   c.serveView,
		"GET /latest": c.serveLatest,
		"GET /audit":  c.serveAudit,
		"GET /status": c.serveStatus,
	} {
		mux.HandleFunc(path, c.forReaders(serve))
	}
	for path, serve := range map[string]http.HandlerFunc{
		"POST /announce":            c.serveAnnounce,
		"POST /claim":               c.serveClaim,
		"POST /settle":              c.serveSettle,
		"POST " + pathAnnounceBatch: c.serveAnnounceBatch,
		"POST " + pathClaimBatch:    c.serveClaimBatch,
		"POST " + pathSettleBatch:   c.serveSettleBatch,
		"POST " + PathAdmit:         c.serveAdmit,
		"POST " + pathResign:        c.serveResign,
		"POST " + PathCatalog:       c.serveCatalog,
		"/quorum/":                  c.replica.Routes().ServeHTTP,
	} {
		mux.HandleFunc(path, c.forProcesses(serve))
	}
	return mux
}

// leaseDuration returns how long an agent stays a member after its last
// announcement.
func (c *Control) leaseDuration() time.Duration {
	if d := c.Settings.Replica.Lease.D(); d > 0 {
		return d
	}
	return defaultLease
}
