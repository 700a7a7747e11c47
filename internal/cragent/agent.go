// Package cragent is the agent role: one process beside each backend server.
// It announces the backend server, holds the flows of callers and runs their
// requests within the backend server's limit.
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
	// announceInterval is how often the lease is renewed.
	announceInterval = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// drainDelay is how long a leaving agent still serves, so that everyone
	// has heard of it before its listener closes.
	drainDelay = 2 * time.Second
	// stopGrace bounds a graceful stop when no document names one.
	stopGrace = 10 * time.Second
)

// Agent is one agent. Set the exported fields before Run.
type Agent struct {
	// Settings are checked settings with an Agent section.
	Settings *crdoc.Settings
	// Ready is called with the bound run address once the agent listens.
	Ready func(run string)
	// Registry takes the role's metrics.
	Registry *prometheus.Registry
	// Logf writes a log line for a change of state.
	Logf func(format string, args ...any)

	client *crnet.Client
	caller *crrun.Client
	view   atomic.Pointer[crwire.View]
	member crwire.Member
	state  atomic.Int64
	loops  sync.WaitGroup
	// num is the agent's number, 0 before control has given one.
	num atomic.Uint32
	// flows holds callers' flows; nil without a datagram address.
	flows *callerFlows
	// source serves the view to processes that control can't reach.
	source *crfeed.Source
	// hint asks for the feed where a later revision was seen.
	hint func(source string, rev uint64)
	// limiter admits requests to the backend server.
	limiter *limiter
	// peers are the other agents of the service.
	peers *peerSet
	// metrics counts metrics.
	metrics *requestMetrics
}

// Run serves until ctx ends; then it drains and stops.
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
	a.loops.Go(func() { a.announceLoop(ctx) })
	a.loops.Go(func() { a.limiter.loop(ctx) })
}

// drain tells control that the agent leaves and finishes what is under way.
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
		a.Logf("stopped with requests under way after %s", stopGrace)
	}
	return err
}

// onView stores a later view.
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

// onFeedStatus notes that no source of the feed answers, or that one does again.
func (a *Agent) onFeedStatus(err error) {
	if err != nil {
		a.Logf("no feed from control: %v", err)
		return
	}
	a.Logf("the feed is back")
}

// setState changes the state that is announced.
func (a *Agent) setState(s crwire.MemberState) { a.state.Store(int64(s)) }

// announceLoop announces the agent until ctx ends.
func (a *Agent) announceLoop(ctx context.Context) {
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

// announce renews the lease at the first control instance that answers.
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

// setNum keeps the number that control gave; 0 means that membership is
// frozen, and the agent keeps what it has.
func (a *Agent) setNum(num uint32) {
	if num != 0 {
		a.num.Store(num)
	}
}
