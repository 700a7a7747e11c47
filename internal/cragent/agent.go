// Package cragent implements the agent, which runs beside each backend server.
// The agent announces its backend server to control, terminates callers' HTTP/3
// flows and runs their requests within the backend server's concurrency limit.
package cragent

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// announceInterval is the interval at which the agent renews its lease.
	announceInterval = time.Second
	// announceTimeout bounds one announcement to one control instance.
	announceTimeout = time.Second
	// drainDelay is how long a draining agent keeps serving before it stops, so
	// that balancers and other agents receive its new state before its listener
	// closes.
	drainDelay = 2 * time.Second
	// stopGrace bounds the shutdown of the run server. It also bounds the drain
	// of the flows if the service document has no grace period.
	stopGrace = 10 * time.Second
)

// Agent runs beside one backend server. Set the exported fields before Run.
type Agent struct {
	// Settings must have been validated and have an Agent section.
	Settings *crdoc.Settings
	// Ready is called with the bound run address when the agent starts to
	// listen.
	Ready func(run string)
	// Registry is where the agent registers its metrics.
	Registry *prometheus.Registry
	// Logf logs a change of state.
	Logf func(format string, args ...any)

	client *crnet.Client
	caller *crrun.Client
	view   atomic.Pointer[crwire.View]
	member crwire.Member
	state  atomic.Int64
	loops  sync.WaitGroup
	// num is the number that control assigned to the agent, 0 before that.
	num atomic.Uint32
	// flows serves callers' flows; nil without a datagram address.
	flows *callerFlows
	// source serves the view to processes that have no connection to control.
	source *crfeed.Source
	// hint notifies the feed's follower that a source has the revision rev.
	hint func(source string, rev uint64)
	// limiter admits requests to the backend server.
	limiter *limiter
	// peers tracks the load and failures of the service's other agents.
	peers *peerSet
	// metrics counts requests.
	metrics *requestMetrics
}

// Run serves until ctx ends, then drains the agent and stops it.
func (a *Agent) Run(ctx context.Context) error {
	cfg := a.Settings.Agent
	clientTLS, err := crnet.ClientTLS(a.Settings.TLS)
	if err != nil {
		return err
	}
	serverTLS, err := crnet.ServerTLS(a.Settings.TLS, true)
	if err != nil {
		return err
	}
	a.client = &crnet.Client{TLS: clientTLS}
	a.client.Open()
	defer a.client.Close()
	a.caller = &crrun.Client{HTTP: a.client}
	a.view.Store(crfeed.EmptyView())
	a.source = crfeed.NewSource(crfeed.EmptyView())
	follower := &crfeed.Follower{
		Name: a.Settings.Name, Client: a.client, Sources: a.Settings.Control,
		OnView: a.onView, OnConnectivity: a.onFeedStatus, Downstream: a.source,
	}
	a.hint = follower.Hint
	a.initRequests()
	if err := a.openFlows(); err != nil {
		return err
	}
	server := &crnet.Server{Addr: cfg.Listen, Handler: http.HandlerFunc(a.serve), TLS: serverTLS}
	if err := server.Start(); err != nil {
		return errors.Join(err, a.closeFlows())
	}
	a.member = crwire.Member{
		Name: a.Settings.Name, Service: cfg.Service, Zone: a.Settings.Zone, Host: cfg.Host,
		RunAddr: server.Bound(), DatagramAddr: a.datagramAddr(), Weight: cfg.Weight,
	}
	loopCtx, cancel := context.WithCancel(context.Background())
	a.start(loopCtx, follower)
	a.Ready(server.Bound())
	<-ctx.Done()
	err = a.drain(server)
	cancel()
	a.loops.Wait()
	return err
}

// start runs the agent's loops until ctx ends.
func (a *Agent) start(ctx context.Context, follower *crfeed.Follower) {
	a.loops.Go(func() { follower.Run(ctx) })
	a.loops.Go(func() { a.loop(ctx) })
	a.loops.Go(func() { a.limiter.loop(ctx) })
}

// drain announces that the agent is draining, waits for pending requests and
// flows, and announces that the agent is gone.
func (a *Agent) drain(server *crnet.Server) error {
	a.setState(crwire.MemberDraining)
	a.announce(context.Background())
	crnet.Pause(context.Background(), drainDelay)
	flowErr := a.drainFlows()
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	err := errors.Join(flowErr, server.Stop(ctx), a.closeFlows())
	a.setState(crwire.MemberGone)
	a.announce(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		a.Logf("stopped with requests still pending after %s", stopGrace)
	}
	return err
}

// onView applies a new view.
func (a *Agent) onView(v *crwire.View) {
	if doc := v.Services[a.member.Service]; doc != nil {
		a.limiter.configure(doc)
	}
	a.view.Store(v)
	if a.flows != nil {
		a.flows.datagrams.setView(v)
		a.flows.setZoneOut(slices.Contains(v.ZonesOut, a.member.Zone))
	}
}

// onFeedStatus logs a change in the feed's availability. err is the last error
// if all sources fail, and nil if a source answers again.
func (a *Agent) onFeedStatus(err error) {
	if err != nil {
		a.Logf("feed from control unavailable: %v", err)
		return
	}
	a.Logf("feed from control available again")
}

// setState sets the agent's state, which the next announcement contains.
func (a *Agent) setState(s crwire.MemberState) { a.state.Store(int64(s)) }

// loop announces the agent at each interval until ctx ends.
func (a *Agent) loop(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		a.announce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce renews the lease at the first control instance that responds.
func (a *Agent) announce(ctx context.Context) {
	m := a.member
	m.State = crwire.MemberState(a.state.Load())
	for _, addr := range a.Settings.Control {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		var answer crwire.AnnounceResponse
		err := a.client.JSON(callCtx, addr, "/announce", crwire.Announce{Member: m}, &answer)
		cancel()
		if err == nil {
			a.setNum(answer.Num)
			return
		}
	}
}

// setNum stores the number that control assigned. Control sends 0 while
// membership is frozen; the agent then keeps its number.
func (a *Agent) setNum(num uint32) {
	if num != 0 {
		a.num.Store(num)
	}
}
