package cropaqueio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/crwire"
)

const (
	// doubtTimeout bounds the look whether a silent backend server exists.
	doubtTimeout = 200 * time.Millisecond
	// leavePoll is the time between two looks whether a stopping agent still
	// has flows.
	leavePoll = 50 * time.Millisecond
)

// Agent is the role beside a backend server. Set the exported fields before
// Run.
type Agent struct {
	// Name is the process, Zone its availability zone, Host its machine.
	Name, Zone, Host string
	// Backend is the host:port of the backend server.
	Backend string
	// FrameAddr is the host:port for frames of balancers, OutboundAddr the one that
	// the backend server sends its packets to.
	FrameAddr, OutboundAddr string
	// CallerPort is where callers take datagrams.
	CallerPort uint16
	// Sources are the host:port of control instances.
	Sources []string
	// Codec reads the packets.
	Codec Codec
	// AnnounceInterval is the time between two announcements of the backend server.
	AnnounceInterval time.Duration
	// ColdFactor and ColdExtra bound what a cold backend server gets.
	ColdFactor float64
	ColdExtra  int
	// DrainTimeout bounds how long an agent that stops waits for its flows to end.
	DrainTimeout time.Duration
	// Client calls control.
	Client *crnet.Client
	// Registry takes the metrics, Logger the log.
	Registry *prometheus.Registry
	Logger   *log.Logger

	journal  *journal
	follower *crfeed.Follower
	frames   *crnet.Socket
	outbound *crnet.Socket
	backend  netip.AddrPort
	packets  *prometheus.CounterVec
	announce *announcer

	mu   sync.Mutex
	gate *cropaque.Gate
	buf  []byte
	// doubting is true while a look at the backend server is under way.
	doubting bool
	loops    sync.WaitGroup
	life     context.Context
}

// Run serves until ctx ends, then waits for its flows.
func (a *Agent) Run(ctx context.Context) error {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.life = life
	if err := a.open(); err != nil {
		return err
	}
	a.loops.Go(func() { a.follower.Run(life) })
	a.loops.Go(func() { a.loop(life) })
	a.loops.Go(func() { a.announce.run(life) })
	<-ctx.Done()
	a.leave()
	cancel()
	a.loops.Wait()
	return errors.Join(a.frames.Close(), a.outbound.Close())
}

// open makes the agent's parts and opens its sockets.
func (a *Agent) open() error {
	a.journal = newJournal(a.Logger, a.Registry)
	a.packets = newDatagrams()
	a.Registry.MustRegister(a.packets)
	backend, err := netip.ParseAddrPort(a.Backend)
	if err != nil {
		return fmt.Errorf("address of the backend server: %w", err)
	}
	a.backend = backend
	a.frames = &crnet.Socket{Addr: a.FrameAddr, Receive: a.fromBalancer}
	a.outbound = &crnet.Socket{Addr: a.OutboundAddr, Receive: a.fromServer}
	a.follower = newFollower(a.Name, a.Client, a.Sources, a.Logger, a.took)
	a.announce = newAnnouncer(a.Client, a.follower.ControlAddrs, a.Logger)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate = &cropaque.Gate{
		Zone: a.Zone, AnnounceInterval: a.AnnounceInterval, ColdFactor: a.ColdFactor, ColdExtra: a.ColdExtra, StartedAt: time.Now(),
		ToServer: a.toServer, ToCaller: a.toCaller, Reply: a.reply, ResetFlow: a.reset,
		ClearReturned: a.Codec.ClearReturned, ProbeServer: a.doubt, LogDecision: a.journal.note,
	}
	a.gate.Init()
	if err := a.frames.Start(); err != nil {
		return err
	}
	return a.outbound.Start()
}

// Serving says why the agent can't serve, nil when it can.
func (a *Agent) Serving() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate == nil {
		return errors.New("starting")
	}
	return nil
}

// SetSources replaces the control instances that the settings name.
func (a *Agent) SetSources(sources []string) { a.follower.SetSources(sources) }

// HandleAnnouncement takes an announcement of the backend server.
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
		a.announce.set(a.member(s, state))
	}
}

// HandleWithdrawal takes the goodbye of a backend server.
func (a *Agent) HandleWithdrawal(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate != nil && a.gate.HandleWithdrawal(time.Now(), id) {
		a.announce.leave()
	}
}

// member describes the agent to control.
func (a *Agent) member(s cropaque.Server, state crwire.MemberState) crwire.Member {
	return crwire.Member{
		Name: a.Name, Service: s.Service, Zone: a.Zone, Host: a.Host, DatagramAddr: a.FrameAddr,
		Weight: max(1, s.Slots), State: state,
	}
}

// leave stops taking flows and waits for those that run.
func (a *Agent) leave() {
	a.Logger.WithField("linger", a.DrainTimeout.String()).Info("stopping; flows that run go on for a while")
	a.mu.Lock()
	a.gate.Drain()
	a.mu.Unlock()
	// The backend server may live on beside the next process of this agent, so
	// the member stays; control ends its lease if there is none.
	a.announce.drain()
	end := time.Now().Add(a.DrainTimeout)
	for time.Now().Before(end) {
		a.mu.Lock()
		under := a.gate.OpenFlows()
		a.mu.Unlock()
		if under == 0 && a.announce.done() {
			return
		}
		crnet.Pause(a.life, leavePoll)
	}
}

// took takes a later view.
func (a *Agent) took(v *crwire.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetView(v)
	a.Logger.WithFields(log.Fields{"rev": v.Revision, "out": v.ZonesOut, "catalog": catalogVersion(v)}).Info("view in force")
}

// fromBalancer takes a frame.
func (a *Agent) fromBalancer(data []byte, from netip.AddrPort) {
	f, err := cropaque.ParseFrame(data)
	if err != nil {
		a.packets.WithLabelValues("unreadable").Inc()
		return
	}
	var p cropaque.Packet
	if len(f.Data) > 0 {
		var ok bool
		if p, ok = a.Codec.Decode(f.Data); !ok {
			a.packets.WithLabelValues("unreadable").Inc()
			return
		}
	}
	a.packets.WithLabelValues("balancer").Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.HandleFrame(time.Now(), from, &f, p)
}

// fromServer takes a packet of the backend server.
func (a *Agent) fromServer(data []byte, _ netip.AddrPort) {
	p, ok := a.Codec.Decode(data)
	if !ok {
		a.packets.WithLabelValues("unreadable").Inc()
		return
	}
	a.packets.WithLabelValues("server").Inc()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.HandleServerPacket(time.Now(), p, data)
}

// toServer hands a packet to the backend server; the caller holds mu.
func (a *Agent) toServer(data []byte) { a.count(a.outbound.Send(data, a.backend)) }

// toCaller sends a packet to a caller; the caller holds mu.
func (a *Agent) toCaller(key cropaque.Key, data []byte) {
	a.count(a.outbound.Send(data, netip.AddrPortFrom(key.Caller.Addr(), a.CallerPort)))
}

// reset tells a caller that its flow is lost; the caller holds mu.
func (a *Agent) reset(key cropaque.Key, seq uint32) { a.toCaller(key, a.Codec.EncodeReset(key, seq)) }

// reply sends a frame to a balancer; the caller holds mu.
func (a *Agent) reply(to netip.AddrPort, f *cropaque.Frame) {
	a.buf = f.Append(a.buf[:0])
	a.count(a.frames.Send(a.buf, to))
}

// count counts a datagram that couldn't be sent, which is a lost one.
func (a *Agent) count(err error) {
	if err != nil {
		a.packets.WithLabelValues("unsent").Inc()
	}
}

// doubt looks whether the backend server still takes connections; the caller
// holds mu.
func (a *Agent) doubt() {
	if a.doubting {
		return
	}
	a.doubting = true
	a.loops.Go(a.look)
}

// look tries to connect to the backend server. Refused means that no process
// listens there; a time-out says nothing.
func (a *Agent) look() {
	conn, err := net.DialTimeout("tcp", a.Backend, doubtTimeout)
	if err == nil {
		_ = conn.Close()
	}
	var op *net.OpError
	refused := errors.As(err, &op) && !op.Timeout()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.doubting = false
	switch {
	case err == nil:
		a.gate.ProbeSucceeded(time.Now())
	case refused:
		a.gate.ProbeRefused(time.Now())
	}
}

// loop looks at what is due until ctx ends.
func (a *Agent) loop(ctx context.Context) {
	timer := time.NewTimer(tickMax)
	defer timer.Stop()
	for {
		a.mu.Lock()
		now := time.Now()
		a.gate.Tick(now)
		pause := max(tickMin, min(tickMax, a.gate.UntilNextTick(now)))
		a.mu.Unlock()
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}
