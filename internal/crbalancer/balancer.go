// Package crbalancer implements the balancer role. A balancer is an entry
// instance that keeps no state of flows, so that losing a balancer breaks no
// flow.
package crbalancer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// drainTimeout limits how long a stopping balancer waits for requests in
	// progress.
	drainTimeout = 10 * time.Second
	// drainPollInterval is the time between two checks for requests in
	// progress.
	drainPollInterval = 10 * time.Millisecond
)

// Balancer forwards datagrams and plain HTTP requests of callers to agents. Set
// the exported fields before Run.
type Balancer struct {
	// Settings are validated settings with a Balancer section.
	Settings *crdoc.Settings
	// Ready is called with the bound HTTP address when the balancer listens.
	Ready func(addr string)
	// Registry receives the metrics.
	Registry *prometheus.Registry
	// Logf logs changes of state.
	Logf func(format string, args ...any)

	client   *crnet.Client
	caller   *crrun.Client
	view     atomic.Pointer[crwire.View]
	follower atomic.Pointer[crfeed.Follower]
	inFlight atomic.Int64
	wg       sync.WaitGroup
	// forwarder passes datagrams. It is nil if the settings disable datagrams.
	forwarder *forwarder
	// pullFrom requests the feed from a source that has a newer revision.
	pullFrom func(source string, rev uint64)
}

// Run serves until ctx ends, then waits for requests in progress.
func (b *Balancer) Run(ctx context.Context) error {
	clientTLS, err := crnet.ClientTLS(b.Settings.TLS)
	if err != nil {
		return err
	}
	b.client = &crnet.Client{TLS: clientTLS}
	b.client.Open()
	defer b.client.Close()
	b.caller = &crrun.Client{HTTP: b.client}
	b.view.Store(crfeed.EmptyView())
	tcp, err := net.Listen("tcp", b.Settings.Balancer.HTTP)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", b.Settings.Balancer.HTTP, err)
	}
	listener := newPausedListener(tcp)
	addr := listener.Addr().String()
	logging.SetLevel(logging.LevelNone)
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp",
		// The engine's non-blocking mode closed the connection too early for
		// some requests with "Connection: close".
		IOMod:   nbhttp.IOModBlocking,
		Addrs:   []string{addr},
		Listen:  func(string, string) (net.Listener, error) { return listener, nil },
		Handler: http.HandlerFunc(b.serveHTTP),
	})
	if err := engine.Start(); err != nil {
		return fmt.Errorf("start the HTTP engine: %w", err)
	}
	follower := &crfeed.Follower{
		Name: b.Settings.Name, Client: b.client, Sources: b.Settings.Control,
		OnView: b.setView, OnConnectivity: b.logFeedState,
	}
	b.pullFrom = follower.Hint
	b.follower.Store(follower)
	loopCtx, cancel := context.WithCancel(context.Background())
	if err := b.openDatagrams(loopCtx.Done()); err != nil {
		cancel()
		engine.Stop()
		return err
	}
	b.wg.Go(func() { follower.Run(loopCtx) })
	b.Ready(addr)
	<-ctx.Done()
	err = listener.Pause()
	b.drain()
	cancel()
	b.wg.Wait()
	engine.Stop()
	return errors.Join(err, b.closeDatagrams())
}

// drain waits for requests in progress, at most drainTimeout.
func (b *Balancer) drain() {
	deadline := time.Now().Add(drainTimeout)
	for b.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// setView applies a new view.
func (b *Balancer) setView(v *crwire.View) {
	b.view.Store(v)
	if b.forwarder != nil {
		b.forwarder.setView(v)
	}
}

// logFeedState logs a change in the feed's availability. err is the last error
// if no source answers, and nil if a source answers again.
func (b *Balancer) logFeedState(err error) {
	if err != nil {
		b.Logf("feed from control unavailable: %v", err)
		return
	}
	b.Logf("feed from control available again")
}
