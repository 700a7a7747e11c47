// Package crnet opens the sockets that the roles share: HTTP servers and
// clients between our processes. They run on net/http, because a run call
// must be cancelled at once when its caller goes away; nbio's HTTP server
// notices a closed connection only after the handler has returned.
package crnet

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// Server is one HTTP listener.
type Server struct {
	// Addr is the host:port to listen on; port 0 takes a free one.
	Addr string
	// Handler serves the requests.
	Handler http.Handler
	// TLS protects the listener; nil leaves it plain.
	TLS *tls.Config

	listener net.Listener
	server   *http.Server
	done     chan error
}

// Start listens and serves in its own goroutine.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Addr, err)
	}
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	s.listener = listener
	s.server = &http.Server{
		Handler: s.Handler, ReadHeaderTimeout: headerTimeout,
		// What a stranger sends is no change of state, so it makes no line.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	s.done = make(chan error, 1)
	go s.run()
	return nil
}

// Bound returns the address that the server listens on.
func (s *Server) Bound() string { return s.listener.Addr().String() }

// Stop takes no new connections and waits for the requests under way until
// ctx ends; then it closes what remains.
func (s *Server) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.server.Close())
	}
	return errors.Join(err, <-s.done)
}

// Close closes the listener and every connection at once.
func (s *Server) Close() error {
	err := s.server.Close()
	return errors.Join(err, <-s.done)
}

// run serves until the server is stopped.
func (s *Server) run() {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	s.done <- err
}
