// Package crnet provides the HTTP servers and clients, and the UDP sockets, that
// all roles use. HTTP runs on net/http, as a run call must be cancelled at once
// when its caller disconnects; nbio's HTTP server detects a closed connection
// only after the handler has returned.
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

// headerTimeout is the timeout for reading the header of a request.
const headerTimeout = 5 * time.Second

// Server is one HTTP listener.
type Server struct {
	// Addr is the host:port to listen on; port 0 selects a free port.
	Addr string
	// Handler serves the requests.
	Handler http.Handler
	// TLS is the server configuration of TLS; nil selects plain HTTP.
	TLS *tls.Config

	listener net.Listener
	server   *http.Server
	done     chan error
}

// Start opens the listener and serves it in a new goroutine.
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
		// Invalid requests and failed handshakes do not change the state of the
		// process, so they are not logged.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	s.done = make(chan error, 1)
	go s.run()
	return nil
}

// Bound returns the address that the server listens on.
func (s *Server) Bound() string { return s.listener.Addr().String() }

// Stop closes the listener and waits for the requests in progress. When ctx is
// cancelled, it closes the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.server.Close())
	}
	return errors.Join(err, <-s.done)
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	err := s.server.Close()
	return errors.Join(err, <-s.done)
}

// run serves requests until the server is stopped or closed.
func (s *Server) run() {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	s.done <- err
}
