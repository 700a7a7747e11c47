package cragent

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// trackingListener is a QUIC listener that tracks the accepted connections
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
func (l *trackingListener) Accept(ctx context.Context) (*quic.Conn, error) {
	conn, err := l.EarlyListener.Accept(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	context.AfterFunc(conn.Context(), func() { l.remove(conn) })
	return conn, nil
}

// remove stops tracking a connection that has ended.
func (l *trackingListener) remove(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// closeAll closes every tracked connection with an error and returns their
// number.
func (l *trackingListener) closeAll() int {
	l.mu.Lock()
	conns := make([]*quic.Conn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeInternalError), "availability zone out of service")
	}
	return len(conns)
}
