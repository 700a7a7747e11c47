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

// load keeps flows busy with requests and counts what breaks.
type load struct {
	c     *cluster
	flows []*busyFlow
	stop  chan struct{}
	// lossy says that some requests may fail.
	lossy bool
	once  sync.Once
	wg    sync.WaitGroup
}

// busyFlow is one caller that sends requests one after another.
type busyFlow struct {
	caller *caller
	size   int
	whole  atomic.Int64
	failed atomic.Int64
	dials  atomic.Int64
	// cut counts connections that ended by an error.
	cut atomic.Int64
	// shared carries all connections of the flow by one socket; nil opens
	// a socket for each.
	shared *quic.Transport
}

// startLoad starts n flows, and returns when each has had an answer.
func startLoad(c *cluster, n, size int, lossy bool) *load {
	l := &load{c: c, stop: make(chan struct{}), lossy: lossy}
	for i := range n {
		f := &busyFlow{caller: c.caller(), size: size}
		if i%2 == 1 {
			f.shared = c.socket()
		}
		tr, ok := f.caller.client.Transport.(*http3.Transport)
		if !ok {
			c.t.Fatal("the client's transport is not HTTP/3")
		}
		tr.Dial = f.dial
		l.flows = append(l.flows, f)
		l.wg.Go(func() { f.run(l) })
	}
	c.t.Cleanup(l.halt)
	l.progress("each flow has an answer")
	return l
}

// dial opens a connection and watches how it ends.
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
			f.cut.Add(1)
		}
	})
	return conn, nil
}

// connect opens a connection by the flow's own socket or by a new one.
func (f *busyFlow) connect(
	ctx context.Context, addr string, tlsConf *tls.Config, conf *quic.Config,
) (*quic.Conn, error) {
	if f.shared == nil {
		return quic.DialAddrEarly(ctx, addr, tlsConf, conf)
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	return f.shared.DialEarly(ctx, udp, tlsConf, conf)
}

// socket returns a QUIC client's side on a new socket.
func (c *cluster) socket() *quic.Transport {
	c.t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		c.t.Fatal(err)
	}
	tr := &quic.Transport{Conn: conn}
	c.t.Cleanup(func() { _ = tr.Close(); _ = conn.Close() })
	return tr
}

// run sends requests until the load is halted.
func (f *busyFlow) run(l *load) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		if err := f.caller.get(f.size); err != nil {
			f.failed.Add(1)
			if !l.lossy {
				l.c.t.Errorf("%s: request: %v", time.Now().Format("05.000"), err)
			}
			continue
		}
		f.whole.Add(1)
	}
}

// progress waits until every flow has had two more answers.
func (l *load) progress(what string) {
	l.c.t.Helper()
	l.c.t.Logf("%s: %s", time.Now().Format("05.000"), what)
	marks := make([]int64, len(l.flows))
	for i, f := range l.flows {
		marks[i] = f.whole.Load() + 2
	}
	for i, f := range l.flows {
		l.c.eventually(what, func() bool { return f.whole.Load() >= marks[i] })
	}
}

// whole returns how many answers came whole.
func (l *load) whole() int64 {
	sum := int64(0)
	for _, f := range l.flows {
		sum += f.whole.Load()
	}
	return sum
}

// halt stops the flows; calling it again does nothing.
func (l *load) halt() {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
}

// end stops the flows, closes them and returns the sums of their counts.
func (l *load) end() (whole, failed, dials, cut int64) {
	l.c.t.Helper()
	l.halt()
	for _, f := range l.flows {
		failed += f.failed.Load()
		dials += f.dials.Load()
		cut += f.cut.Load()
		f.caller.client.CloseIdleConnections()
	}
	return l.whole(), failed, dials, cut
}
