package crbalancer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// load runs flows that send requests continuously, and counts failures.
type load struct {
	c     *cluster
	flows []*busyFlow
	stop  chan struct{}
	// allowFailures is true if requests may fail.
	allowFailures bool
	once          sync.Once
	wg            sync.WaitGroup
}

// busyFlow is a caller that sends one request after another.
type busyFlow struct {
	caller   *caller
	size     int
	complete atomic.Int64
	failed   atomic.Int64
	dials    atomic.Int64
	// aborted counts connections that ended with an error.
	aborted atomic.Int64
	// transport carries all connections of the flow on one socket. If it is
	// nil, each connection opens its own socket.
	transport *quic.Transport
}

// startLoad starts n flows and waits until each has received answers.
func startLoad(c *cluster, n, size int, allowFailures bool) *load {
	l := &load{c: c, stop: make(chan struct{}), allowFailures: allowFailures}
	for i := range n {
		f := &busyFlow{caller: c.newCaller(), size: size}
		if i%2 == 1 {
			f.transport = c.newTransport()
		}
		tr, ok := f.caller.client.Transport.(*http3.Transport)
		if !ok {
			c.t.Fatal("the client's transport is not HTTP/3")
		}
		tr.Dial = f.dial
		l.flows = append(l.flows, f)
		l.wg.Go(func() { f.run(l) })
	}
	c.t.Cleanup(l.stopFlows)
	l.awaitProgress("each flow has answers")
	return l
}

// dial opens a connection and counts it as aborted if it ends with an error.
func (f *busyFlow) dial(
	ctx context.Context, addr string, tlsConf *tls.Config, conf *quic.Config,
) (*quic.Conn, error) {
	f.dials.Add(1)
	conn, err := f.connect(ctx, addr, tlsConf, conf)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(conn.Context(), func() {
		var app *quic.ApplicationError
		if !errors.As(context.Cause(conn.Context()), &app) ||
			app.ErrorCode != quic.ApplicationErrorCode(http3.ErrCodeNoError) {
			f.aborted.Add(1)
		}
	})
	return conn, nil
}

// connect opens a connection on the flow's transport or on a new socket.
func (f *busyFlow) connect(
	ctx context.Context, addr string, tlsConf *tls.Config, conf *quic.Config,
) (*quic.Conn, error) {
	if f.transport == nil {
		return quic.DialAddrEarly(ctx, addr, tlsConf, conf)
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return f.transport.DialEarly(ctx, udp, tlsConf, conf)
}

// newTransport returns a QUIC transport on a new socket.
func (c *cluster) newTransport() *quic.Transport {
	c.t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		c.t.Fatal(err)
	}
	tr := &quic.Transport{Conn: conn}
	c.t.Cleanup(func() { _ = tr.Close(); _ = conn.Close() })
	return tr
}

// run sends requests until the load is stopped.
func (f *busyFlow) run(l *load) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		if err := f.caller.get(f.size); err != nil {
			f.failed.Add(1)
			if !l.allowFailures {
				l.c.t.Errorf("%s: request failed: %v", time.Now().Format("05.000"), err)
			}
			continue
		}
		f.complete.Add(1)
	}
}

// awaitProgress waits until every flow has received two more answers.
func (l *load) awaitProgress(what string) {
	l.c.t.Helper()
	l.c.t.Logf("%s: %s", time.Now().Format("05.000"), what)
	want := make([]int64, len(l.flows))
	for i, f := range l.flows {
		want[i] = f.complete.Load() + 2
	}
	for i, f := range l.flows {
		l.c.eventually(what, func() bool { return f.complete.Load() >= want[i] })
	}
}

// completeAnswers returns the number of complete answers.
func (l *load) completeAnswers() int64 {
	sum := int64(0)
	for _, f := range l.flows {
		sum += f.complete.Load()
	}
	return sum
}

// stopFlows stops the flows and waits for them. It may be called more than
// once.
func (l *load) stopFlows() {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
}

// finish stops the flows, closes their connections and returns the sums of
// their counts.
func (l *load) finish() (complete, failed, dials, aborted int64) {
	l.c.t.Helper()
	l.stopFlows()
	for _, f := range l.flows {
		failed += f.failed.Load()
		dials += f.dials.Load()
		aborted += f.aborted.Load()
		f.caller.client.CloseIdleConnections()
	}
	return l.completeAnswers(), failed, dials, aborted
}
