package cragent

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// connections is a listener that remembers the connections it has accepted
// until they end. It is safe for concurrent use.
type connections struct {
	*quic.EarlyListener

	mu   sync.Mutex
	open map[*quic.Conn]struct{}
}

// newConnections wraps a listener.
func newConnections(l *quic.EarlyListener) *connections {
	return &connections{EarlyListener: l, open: map[*quic.Conn]struct{}{}}
}

// Accept returns the next connection.
func (c *connections) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := c.EarlyListener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.open[conn] = struct{}{}
	c.mu.Unlock()
	context.AfterFunc(conn.Context(), func() { c.forget(conn) })
	return conn, nil
}

// forget drops a connection that has ended.
func (c *connections) forget(conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// giveUp ends every connection and tells its caller so. It returns how many
// there were.
func (c *connections) giveUp() int {
	c.mu.Lock()
	open := make([]*quic.Conn, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeInternalError), "availability zone out of service")
	}
	return len(open)
}
