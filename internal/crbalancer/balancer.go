// Package crbalancer is the balancer role: a thin entry instance that holds
// nothing that is lost with it.
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
	// stopGrace bounds a graceful stop.
	stopGrace = 10 * time.Second
	// stopPoll is how often a stop looks for requests under way.
	stopPoll = 10 * time.Millisecond
)

// Balancer is one balancer. Set the exported fields before Run.
type Balancer struct {
	// Settings are checked settings with a Balancer section.
	Settings *crdoc.Settings
	// Ready is called with the bound HTTP address once the balancer listens.
	Ready func(addr string)
	// Registry takes the role's metrics.
	Registry *prometheus.Registry
	// Logf writes a log line for a change of state.
	Logf func(format string, args ...any)

	client  *crnet.Client
	caller  *crrun.Client
	view    atomic.Pointer[crwire.View]
	running atomic.Int64
	loops   sync.WaitGroup
	// forwarder passes datagrams; nil when the settings ask for none.
	forwarder *forwarder
	// hint asks for the feed where a later revision was seen.
	hint func(source string, rev uint64)
}

// Run serves until ctx ends; then it finishes the requests under way.
func (b *Balancer) Run(ctx context.Context) error {
	calling, err := crnet.ClientTLS(b.Settings.TLS)
	if err != nil {
		return err
	}
	b.client = &crnet.Client{TLS: calling}
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
		// Blocking: the poller's mode answered some requests that carry
		// "Connection: close" with an early end of the connection.
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
		OnView: b.took, OnConnectivity: b.cut,
	}
	b.hint = follower.Hint
	loopCtx, cancel := context.WithCancel(context.Background())
	if err := b.openDatagrams(loopCtx.Done()); err != nil {
		cancel()
		engine.Stop()
		return err
	}
	b.loops.Go(func() { follower.Run(loopCtx) })
	b.Ready(addr)
	<-ctx.Done()
	err = listener.Pause()
	b.drain()
	cancel()
	b.loops.Wait()
	engine.Stop()
	return errors.Join(err, b.closeDatagrams())
}

// drain waits for the requests under way, at most stopGrace.
func (b *Balancer) drain() {
	end := time.Now().Add(stopGrace)
	for b.running.Load() > 0 && time.Now().Before(end) {
		time.Sleep(stopPoll)
	}
}

// took stores a later view.
func (b *Balancer) took(v *crwire.View) {
	b.view.Store(v)
	if b.forwarder != nil {
		b.forwarder.took(v)
	}
}

// cut notes that no source of the feed answers, or that one does again.
func (b *Balancer) cut(err error) {
	if err != nil {
		b.Logf("no feed from control: %v", err)
		return
	}
	b.Logf("the feed is back")
}
