package cropaqueio

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	// minTickInterval and maxTickInterval limit the time between two ticks of
	// the timers.
	minTickInterval = 5 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond
)

// errNoView means that the balancer has no agent to send flows to yet.
var errNoView = errors.New("no catalog or no agent received from control yet")

// Balancer forwards packets of callers to agents. It runs on the entry
// instances. Set the exported fields before Run.
type Balancer struct {
	// Name identifies the process, Zone its availability zone.
	Name, Zone string
	// CallerAddr is the host:port that receives datagrams from callers,
	// FrameAddr the host:port that receives frames from agents.
	CallerAddr, FrameAddr string
	// Sources are the host:port of control instances.
	Sources []string
	// Codec reads and writes packets.
	Codec Codec
	// ControlFrames limits the frames that are sent in a second to look up owners
	// of flows and to test agents; 0 means without limit.
	ControlFrames float64
	// LinkBytes is what the instance's link carries in a second, in bytes; 0 means
	// unknown.
	LinkBytes float64
	// EvenLoad spreads new flows for even load among agents that report flows which
	// callers keep open for many requests.
	EvenLoad bool
	// DrainTime is how long a stopping balancer keeps forwarding. The fabric
	// must have moved the callers' packets to other balancers by then.
	DrainTime time.Duration
	// Client calls control.
	Client *crnet.Client
	// Registry receives the metrics, Logger the log lines.
	Registry *prometheus.Registry
	Logger   *log.Logger

	decisions    *decisionLog
	follower     *crfeed.Follower
	callerSocket *crnet.Socket
	frameSocket  *crnet.Socket
	// callerPort is the port on which callers receive datagrams.
	callerPort    uint16
	datagramCount *prometheus.CounterVec
	placementWait prometheus.Histogram
	uplink        uplinkMetrics
	choices       *choiceMetrics

	mu       sync.Mutex
	steering *cropaque.Steering
	buf      []byte
	wake     chan struct{}
	idle     bool
	// tickAt is when loop runs the timers next.
	tickAt time.Time
	// viewFresh is true if control has confirmed the view within viewFreshFor.
	// It is a copy, because the follower must not be called with mu held: it
	// calls setView, which takes mu, with its own lock held.
	viewFresh bool
	stopping  bool
}

// Run forwards until ctx ends and for DrainTime after that.
func (b *Balancer) Run(ctx context.Context) error {
	if err := b.open(); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { b.follower.Run(runCtx) })
	wg.Go(func() { b.loop(runCtx) })
	<-ctx.Done()
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	b.Logger.WithField("linger", b.DrainTime.String()).Info("stopping; forwarding until callers' packets go to other balancers")
	crnet.Pause(runCtx, b.DrainTime)
	cancel()
	wg.Wait()
	return errors.Join(b.callerSocket.Close(), b.frameSocket.Close())
}

// open creates the balancer's components and opens its sockets.
func (b *Balancer) open() error {
	b.decisions = newDecisionLog(b.Logger, b.Registry)
	b.datagramCount = newDatagramCounter()
	b.placementWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "cardamomring", Subsystem: "opaque", Name: "wait_seconds",
		Help:    "Time from a flow's first packet to the agent that took it.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
	})
	b.Registry.MustRegister(b.datagramCount, b.placementWait)
	if b.LinkBytes > 0 {
		b.registerUplinkMetrics()
	}
	b.choices = newChoiceMetrics(b.Registry)
	b.wake = make(chan struct{}, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steering = &cropaque.Steering{
		Zone: b.Zone, ControlFrames: b.ControlFrames, Send: b.send, ResetFlow: b.resetFlow, Random: rand.Float64, ViewFresh: func() bool { return b.viewFresh }, LogDecision: b.decisions.record,
		EvenLoad: b.EvenLoad, ObserveChoice: b.choices.observe,
		ObservePlacement: func(d time.Duration) { b.placementWait.Observe(d.Seconds()) },
		LinkBytes:        b.LinkBytes, ObserveTurnWait: b.observeTurnWait, ObserveUplinkWait: b.observeUplinkWait,
	}
	b.steering.Init()
	b.follower = newFollower(b.Name, b.Client, b.Sources, b.Logger, b.setView)
	b.frameSocket = &crnet.Socket{Addr: b.FrameAddr, Receive: b.handleFrame}
	b.callerSocket = &crnet.Socket{Addr: b.CallerAddr, Receive: b.handleCallerPacket}
	addr, err := netip.ParseAddrPort(b.CallerAddr)
	if err != nil {
		return fmt.Errorf("address for callers: %w", err)
	}
	b.callerPort = addr.Port()
	if err := b.frameSocket.Start(); err != nil {
		return err
	}
	return b.callerSocket.Start()
}

// Serving returns nil if the balancer should get callers' packets, and the
// reason as an error otherwise. It may be called before Run.
func (b *Balancer) Serving() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.stopping:
		return errors.New("stopping")
	case b.steering == nil || !b.steering.Ready():
		return errNoView
	}
	return nil
}

// SetSources replaces the control instances from the settings.
func (b *Balancer) SetSources(sources []string) { b.follower.SetSources(sources) }

// setView applies a new view.
func (b *Balancer) setView(v *crwire.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steering.SetView(time.Now(), v)
	b.Logger.WithFields(log.Fields{
		"rev": v.Revision, "agents": len(v.Members), "out": v.ZonesOut, "catalog": catalogVersion(v),
	}).Info("view in force")
}

// catalogVersion returns the version of a view's catalog, or 0 if it has none.
func catalogVersion(v *crwire.View) uint64 {
	if v.Catalog == nil {
		return 0
	}
	return v.Catalog.Version
}

// handleCallerPacket handles a datagram from a caller.
func (b *Balancer) handleCallerPacket(data []byte, _ netip.AddrPort) {
	p, ok := b.Codec.Decode(data)
	if !ok {
		b.datagramCount.WithLabelValues("unreadable").Inc()
		return
	}
	b.datagramCount.WithLabelValues("caller").Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steering.HandlePacket(time.Now(), p, data)
	b.wakeTimers()
}

// handleFrame handles a datagram from an agent.
func (b *Balancer) handleFrame(data []byte, from netip.AddrPort) {
	f, err := cropaque.ParseFrame(data)
	if err != nil {
		b.datagramCount.WithLabelValues("unreadable").Inc()
		return
	}
	b.datagramCount.WithLabelValues("agent").Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steering.HandleFrame(time.Now(), from, &f)
	b.wakeTimers()
}

// send sends a frame to an agent. A datagram that can't be sent is lost. Call
// send with mu held.
func (b *Balancer) send(to netip.AddrPort, f *cropaque.Frame) {
	b.buf = f.Append(b.buf[:0])
	if b.uplink.bytes != nil {
		b.uplink.bytes.WithLabelValues(f.Kind.String()).Add(float64(len(b.buf)))
	}
	if b.frameSocket.Send(b.buf, to) != nil {
		b.datagramCount.WithLabelValues("unsent").Inc()
	}
}

// resetFlow resets a flow towards its caller.
func (b *Balancer) resetFlow(key cropaque.Key, seq uint32) {
	if b.callerSocket.Send(b.Codec.EncodeReset(key, seq), netip.AddrPortFrom(key.Caller.Addr(), b.callerPort)) != nil {
		b.datagramCount.WithLabelValues("unsent").Inc()
	}
}

// wakeTimers wakes loop if it is idle and there are timers now, or if something waits
// for the link that is due well before the next tick. Call it with mu held.
func (b *Balancer) wakeTimers() {
	wanted := b.idle && b.steering.HasTimers()
	if !wanted && !b.steering.UplinkDue(b.tickAt.Add(-minTickInterval)) {
		return
	}
	b.idle, b.tickAt = false, time.Now()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// loop runs the timers of the steering until ctx ends.
func (b *Balancer) loop(ctx context.Context) {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		fresh := b.follower.ConfirmedWithin(viewFreshFor)
		b.mu.Lock()
		b.viewFresh = fresh
		now := time.Now()
		b.steering.Tick(now)
		interval := max(minTickInterval, min(maxTickInterval, b.steering.UntilNextTick(now)))
		b.idle, b.tickAt = !b.steering.HasTimers(), now.Add(interval)
		b.mu.Unlock()
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-b.wake:
		case <-ctx.Done():
			return
		}
	}
}
