package crbalancer

import (
	"net"
	"sync"
)

// pausedListener can stop taking connections before it is closed. nbio's
// accept loop spins on the error of a closed listener; here Accept blocks
// after Pause until Close.
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

// Pause closes the socket; Accept then blocks until Close.
func (l *pausedListener) Pause() error {
	close(l.paused)
	return l.Listener.Close()
}

// Close ends Accept.
func (l *pausedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
