package cragent

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// trackingListener is a listener that remembers the trackingListener it has accepted
// until they end. It is safe for concurrent use.
type trackingListener struct {
	*quic.EarlyListener

	mu    sync.Mutex
	conns map[*quic.Conn]struct{}
}

// newTrackingListener wraps a listener.
func newTrackingListener(l *quic.EarlyListener) *trackingListener {
	return &trackingListener{EarlyListener: l, conns: map[*quic.Conn]struct{}{}}
}

// Accept returns the next connection.
func (c *trackingListener) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := c.EarlyListener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.conns[conn] = struct{}{}
	c.mu.Unlock()
	context.AfterFunc(conn.Context(), func() { c.remove(conn) })
	return conn, nil
}

// remove drops a connection that has ended.
func (c *trackingListener) remove(conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// closeAll ends every connection and tells its caller so. It returns how many
// there were.
func (c *trackingListener) closeAll() int {
	c.mu.Lock()
	open := make([]*quic.Conn, 0, len(c.conns))
	for conn := range c.conns {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeInternalError), "availability zone out of service")
	}
	return len(open)
}
