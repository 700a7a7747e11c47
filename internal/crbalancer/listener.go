package crbalancer

import (
	"net"
	"sync"
)

// pausedListener can stop accepting connections before it is closed. The accept
// loop of nbio spins on the error of a closed listener. With pausedListener,
// Accept blocks between Pause and Close instead.
type pausedListener struct {
	net.Listener

	once   sync.Once
	paused chan struct{}
	closed chan struct{}
}

// newPausedListener wraps a listener.
func newPausedListener(l net.Listener) *pausedListener {
	return &pausedListener{Listener: l, paused: make(chan struct{}), closed: make(chan struct{})}
}

// Accept returns the next connection.
func (l *pausedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-l.paused:
		<-l.closed
	default:
	}
	return nil, err
}

// Pause closes the socket. Accept then blocks until Close.
func (l *pausedListener) Pause() error {
	close(l.paused)
	return l.Listener.Close()
}

// Close unblocks Accept. It doesn't close the socket.
func (l *pausedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
