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
	// tickMin and tickMax bound the pause between two looks at what is due.
	tickMin = 5 * time.Millisecond
	tickMax = 250 * time.Millisecond
)

// errNoView says that a balancer doesn't know where to send flows yet.
var errNoView = errors.New("no catalog or no agent is known yet")

// Balancer is the role on the entry instances. Set the exported fields before
// Run.
type Balancer struct {
	// Name is the process, Zone its availability zone.
	Name, Zone string
	// CallerAddr is the host:port for callers' datagrams, FrameAddr the one for
	// frames of agents.
	CallerAddr, FrameAddr string
	// Sources are the host:port of control instances.
	Sources []string
	// Codec reads the packets.
	Codec Codec
	// DrainTime is how long a balancer that stops goes on forwarding, so that the
	// fabric sends its callers' packets elsewhere by then.
	DrainTime time.Duration
	// Client calls control.
	Client *crnet.Client
	// Registry takes the metrics, Logger the log.
	Registry *prometheus.Registry
	Logger   *log.Logger

	journal  *journal
	follower *crfeed.Follower
	callers  *crnet.Socket
	frames   *crnet.Socket
	// port is where callers take datagrams.
	port    uint16
	packets *prometheus.CounterVec
	waits   prometheus.Histogram

	mu       sync.Mutex
	steering *cropaque.Steering
	buf      []byte
	wake     chan struct{}
	asleep   bool
	// fresh says that control has lately proven the view. It is kept here
	// because the follower calls took under its own lock.
	fresh    bool
	stopping bool
}

// Run forwards until ctx ends, and for the linger time after it.
func (b *Balancer) Run(ctx context.Context) error {
	if err := b.open(); err != nil {
		return err
	}
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	loops.Go(func() { b.follower.Run(life) })
	loops.Go(func() { b.loop(life) })
	<-ctx.Done()
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	b.Logger.WithField("linger", b.DrainTime.String()).Info("stopping; forwarding goes on until callers' packets go elsewhere")
	crnet.Pause(life, b.DrainTime)
	cancel()
	loops.Wait()
	return errors.Join(b.callers.Close(), b.frames.Close())
}

// open makes the balancer's parts and opens its sockets.
func (b *Balancer) open() error {
	b.journal = newJournal(b.Logger, b.Registry)
	b.packets = newDatagrams()
	b.waits = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "cardamomring", Subsystem: "opaque", Name: "wait_seconds",
		Help:    "Time from a flow's first packet to the agent that took it.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
	})
	b.Registry.MustRegister(b.packets, b.waits)
	b.wake = make(chan struct{}, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steering = &cropaque.Steering{
		Zone: b.Zone, Send: b.send, ResetFlow: b.reset, Random: rand.Float64, ViewFresh: func() bool { return b.fresh }, LogDecision: b.journal.note,
		ObservePlacement: func(d time.Duration) { b.waits.Observe(d.Seconds()) },
	}
	b.steering.Init()
	b.follower = newFollower(b.Name, b.Client, b.Sources, b.Logger, b.took)
	b.frames = &crnet.Socket{Addr: b.FrameAddr, Receive: b.fromAgent}
	b.callers = &crnet.Socket{Addr: b.CallerAddr, Receive: b.fromCaller}
	addr, err := netip.ParseAddrPort(b.CallerAddr)
	if err != nil {
		return fmt.Errorf("address for callers: %w", err)
	}
	b.port = addr.Port()
	if err := b.frames.Start(); err != nil {
		return err
	}
	return b.callers.Start()
}

// Serving says why the balancer shouldn't get callers' packets, nil when it
// should. It may be called before Run.
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

// SetSources replaces the control instances that the settings name.
func (b *Balancer) SetSources(sources []string) { b.follower.SetSources(sources) }

// took takes a later view.
func (b *Balancer) took(v *crwire.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steering.SetView(time.Now(), v)
	b.Logger.WithFields(log.Fields{
		"rev": v.Revision, "agents": len(v.Members), "out": v.ZonesOut, "catalog": catalogVersion(v),
	}).Info("view in force")
}

// catalogVersion returns the version of a view's catalog, 0 for none.
func catalogVersion(v *crwire.View) uint64 {
	if v.Catalog == nil {
		return 0
	}
	return v.Catalog.Version
}

// fromCaller takes a datagram of a caller.
func (b *Balancer) fromCaller(data []byte, _ netip.AddrPort) {
	p, ok := b.Codec.Decode(data)
	if !ok {
		b.packets.WithLabelValues("unreadable").Inc()
		return
	}
	b.packets.WithLabelValues("caller").Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steering.HandlePacket(time.Now(), p, data)
	b.rouse()
}

// fromAgent takes a frame.
func (b *Balancer) fromAgent(data []byte, from netip.AddrPort) {
	f, err := cropaque.ParseFrame(data)
	if err != nil {
		b.packets.WithLabelValues("unreadable").Inc()
		return
	}
	b.packets.WithLabelValues("agent").Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steering.HandleFrame(time.Now(), from, &f)
	b.rouse()
}

// send sends a frame; the caller holds mu. A datagram that can't be sent is a
// lost one.
func (b *Balancer) send(to netip.AddrPort, f *cropaque.Frame) {
	b.buf = f.Append(b.buf[:0])
	if b.frames.Send(b.buf, to) != nil {
		b.packets.WithLabelValues("unsent").Inc()
	}
}

// reset tells a caller that its flow is lost.
func (b *Balancer) reset(key cropaque.Key, seq uint32) {
	if b.callers.Send(b.Codec.EncodeReset(key, seq), netip.AddrPortFrom(key.Caller.Addr(), b.port)) != nil {
		b.packets.WithLabelValues("unsent").Inc()
	}
}

// rouse wakes the loop if it sleeps for long; the caller holds mu.
func (b *Balancer) rouse() {
	if !b.asleep || !b.steering.HasTimers() {
		return
	}
	b.asleep = false
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// loop looks at what is due until ctx ends.
func (b *Balancer) loop(ctx context.Context) {
	timer := time.NewTimer(tickMax)
	defer timer.Stop()
	for {
		fresh := b.follower.ConfirmedWithin(freshFor)
		b.mu.Lock()
		b.fresh = fresh
		now := time.Now()
		b.steering.Tick(now)
		pause := max(tickMin, min(tickMax, b.steering.UntilNextTick(now)))
		b.asleep = !b.steering.HasTimers()
		b.mu.Unlock()
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-b.wake:
		case <-ctx.Done():
			return
		}
	}
}
