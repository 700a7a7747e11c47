package cropaqueio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
)

const (
	// probeTimeout limits the connection attempt to a backend server that
	// doesn't answer.
	probeTimeout = 200 * time.Millisecond
	// drainPollInterval is the time between two checks whether a stopping agent
	// still has flows.
	drainPollInterval = 50 * time.Millisecond
)

// Agent runs beside a backend server. It passes flows from balancers to the
// backend server and announces the backend server to control. Set the exported
// fields before Run.
type Agent struct {
	// Name identifies the process, Zone its availability zone, Host its
	// machine.
	Name, Zone, Host string
	// Backend is the host:port of the backend server.
	Backend string
	// FrameAddr is the host:port that receives frames from balancers,
	// OutboundAddr the host:port that receives packets from the backend server.
	FrameAddr, OutboundAddr string
	// CallerPort is the port on which callers receive datagrams.
	CallerPort uint16
	// Sources are the host:port of control instances.
	Sources []string
	// Codec reads and writes packets.
	Codec Codec
	// AnnounceInterval is the time between two announcements of the backend
	// server.
	AnnounceInterval time.Duration
	// ColdFactor and ColdExtra limit the requests that a cold backend server
	// gets in any second: its cold rate times ColdFactor, plus ColdExtra.
	ColdFactor float64
	ColdExtra  int
	// ShareWindow is the time over which the work of client accounts and routes is
	// compared when flows wait for a slot; 0 means that flows wait without regard to
	// it. RouteReserve is the share of the work, 0 to 1, that is divided between the
	// routes in use as their minimum.
	ShareWindow  time.Duration
	RouteReserve float64
	// DrainTimeout limits how long a stopping agent waits for its flows to end.
	DrainTimeout time.Duration
	// Client calls control.
	Client *crnet.Client
	// Registry receives the metrics, Logger the log lines.
	Registry *prometheus.Registry
	Logger   *log.Logger

	decisions      *decisionLog
	follower       *crfeed.Follower
	frameSocket    *crnet.Socket
	outboundSocket *crnet.Socket
	backendAddr    netip.AddrPort
	datagramCount  *prometheus.CounterVec
	announcer      *announcer

	mu   sync.Mutex
	gate *cropaque.Gate
	buf  []byte
	// probing is true while a probe of the backend server is in progress.
	probing bool
	wg      sync.WaitGroup
	runCtx  context.Context
}

// Run serves until ctx ends, then waits up to DrainTimeout for its flows to
// end.
func (a *Agent) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.runCtx = runCtx
	if err := a.open(); err != nil {
		return err
	}
	a.wg.Go(func() { a.follower.Run(runCtx) })
	a.wg.Go(func() { a.loop(runCtx) })
	a.wg.Go(func() { a.announcer.run(runCtx) })
	<-ctx.Done()
	a.drain()
	cancel()
	a.wg.Wait()
	return errors.Join(a.frameSocket.Close(), a.outboundSocket.Close())
}

// open creates the agent's components and opens its sockets.
func (a *Agent) open() error {
	a.decisions = newDecisionLog(a.Logger, a.Registry)
	a.datagramCount = newDatagramCounter()
	a.Registry.MustRegister(a.datagramCount, &routeShares{agent: a})
	backend, err := netip.ParseAddrPort(a.Backend)
	if err != nil {
		return fmt.Errorf("address of the backend server: %w", err)
	}
	a.backendAddr = backend
	a.frameSocket = &crnet.Socket{Addr: a.FrameAddr, Receive: a.handleFrame}
	a.outboundSocket = &crnet.Socket{Addr: a.OutboundAddr, Receive: a.handleServerPacket}
	a.follower = newFollower(a.Name, a.Client, a.Sources, a.Logger, a.setView)
	a.announcer = newAnnouncer(a.Client, a.follower.ControlAddrs, a.Logger)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate = &cropaque.Gate{
		Name: a.Name, Zone: a.Zone, AnnounceInterval: a.AnnounceInterval, ColdFactor: a.ColdFactor, ColdExtra: a.ColdExtra, StartedAt: time.Now(),
		ShareWindow: a.ShareWindow, RouteReserve: a.RouteReserve, ToServer: a.sendToServer, ToCaller: a.sendToCaller, Reply: a.reply, ResetFlow: a.resetFlow,
		ClearReturned: a.Codec.ClearReturned, ProbeServer: a.startProbe, LogDecision: a.decisions.record,
	}
	a.gate.Init()
	registerLoadMetrics(a.Registry, a.load)
	if err := a.frameSocket.Start(); err != nil {
		return err
	}
	return a.outboundSocket.Start()
}

// load returns the load that the agent reports.
func (a *Agent) load() cropaque.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Load(time.Now())
}

// Serving returns nil if the agent can serve, and the reason as an error
// otherwise.
func (a *Agent) Serving() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate == nil {
		return errors.New("starting")
	}
	return nil
}

// SetSources replaces the control instances from the settings.
func (a *Agent) SetSources(sources []string) { a.follower.SetSources(sources) }

// HandleAnnouncement handles an announcement of the backend server.
func (a *Agent) HandleAnnouncement(s cropaque.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate == nil {
		return
	}
	if a.gate.HandleAnnouncement(time.Now(), s) {
		state := crwire.MemberActive
		if s.Draining {
			state = crwire.MemberDraining
		}
		a.announcer.set(a.member(s, state))
	}
}

// HandleWithdrawal handles the announcement that the backend server with this
// ID leaves.
func (a *Agent) HandleWithdrawal(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate != nil && a.gate.HandleWithdrawal(time.Now(), id) {
		a.announcer.withdraw()
	}
}

// member returns the membership that the agent announces to control.
func (a *Agent) member(s cropaque.Server, state crwire.MemberState) crwire.Member {
	return crwire.Member{
		Name: a.Name, Service: s.Service, Zone: a.Zone, Host: a.Host, DatagramAddr: a.FrameAddr,
		Weight: max(1, s.Slots), State: state,
	}
}

// drain stops accepting new flows and waits up to DrainTimeout for open flows
// to end.
func (a *Agent) drain() {
	a.Logger.WithField("linger", a.DrainTimeout.String()).Info("stopping; waiting for open flows to end")
	a.mu.Lock()
	a.gate.Drain()
	a.mu.Unlock()
	// The member stays registered, because the backend server may continue
	// under the next process of this agent. If there is none, the lease at
	// control expires.
	a.announcer.drain()
	deadline := time.Now().Add(a.DrainTimeout)
	for time.Now().Before(deadline) {
		a.mu.Lock()
		flows := a.gate.OpenFlows()
		a.mu.Unlock()
		if flows == 0 && a.announcer.upToDate() {
			return
		}
		crnet.Pause(a.runCtx, drainPollInterval)
	}
}

// setView applies a new view.
func (a *Agent) setView(v *crwire.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetView(v)
	a.Logger.WithFields(log.Fields{"rev": v.Revision, "out": v.ZonesOut, "catalog": catalogVersion(v)}).Info("view in force")
}

// handleFrame handles a datagram from a balancer.
func (a *Agent) handleFrame(data []byte, from netip.AddrPort) {
	f, err := cropaque.ParseFrame(data)
	if err != nil {
		a.datagramCount.WithLabelValues("unreadable").Inc()
		return
	}
	var p cropaque.Packet
	if len(f.Data) > 0 {
		var ok bool
		if p, ok = a.Codec.Decode(f.Data); !ok {
			a.datagramCount.WithLabelValues("unreadable").Inc()
			return
		}
	}
	a.datagramCount.WithLabelValues("balancer").Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.HandleFrame(time.Now(), from, &f, p)
}

// handleServerPacket handles a datagram from the backend server.
func (a *Agent) handleServerPacket(data []byte, _ netip.AddrPort) {
	p, ok := a.Codec.Decode(data)
	if !ok {
		a.datagramCount.WithLabelValues("unreadable").Inc()
		return
	}
	a.datagramCount.WithLabelValues("server").Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.HandleServerPacket(time.Now(), p, data)
}

// sendToServer sends a packet to the backend server. Call it with mu held.
func (a *Agent) sendToServer(data []byte) {
	a.countSendError(a.outboundSocket.Send(data, a.backendAddr))
}

// sendToCaller sends a packet to the caller of a flow. Call it with mu held.
func (a *Agent) sendToCaller(key cropaque.Key, data []byte) {
	a.countSendError(a.outboundSocket.Send(data, netip.AddrPortFrom(key.Caller.Addr(), a.CallerPort)))
}

// resetFlow resets a flow towards its caller. Call it with mu held.
func (a *Agent) resetFlow(key cropaque.Key, seq uint32) {
	a.sendToCaller(key, a.Codec.EncodeReset(key, seq))
}

// reply sends a frame to a balancer. Call it with mu held.
func (a *Agent) reply(to netip.AddrPort, f *cropaque.Frame) {
	a.buf = f.Append(a.buf[:0])
	a.countSendError(a.frameSocket.Send(a.buf, to))
}

// countSendError counts a datagram that couldn't be sent and is lost.
func (a *Agent) countSendError(err error) {
	if err != nil {
		a.datagramCount.WithLabelValues("unsent").Inc()
	}
}

// startProbe checks in the background whether the backend server still accepts
// connections, unless a check is in progress. Call it with mu held.
func (a *Agent) startProbe() {
	if a.probing {
		return
	}
	a.probing = true
	a.wg.Go(a.probe)
}

// probe tries to connect to the backend server. A refused connection means that
// no process listens there. Any other error may be this process's own.
func (a *Agent) probe() {
	conn, err := net.DialTimeout("tcp", a.Backend, probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probing = false
	switch {
	case err == nil:
		a.gate.ProbeSucceeded(time.Now())
	case refused:
		a.gate.ProbeRefused(time.Now())
	}
}

// loop runs the timers of the gate until ctx ends.
func (a *Agent) loop(ctx context.Context) {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		a.mu.Lock()
		now := time.Now()
		a.gate.Tick(now)
		interval := max(minTickInterval, min(maxTickInterval, a.gate.UntilNextTick(now)))
		a.mu.Unlock()
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}
