package cragent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"cardamomring.dev/internal/crroute"
)

const (
	// connIdleTimeout closes a connection without traffic.
	connIdleTimeout = 60 * time.Second
	// maxStreams bounds the concurrent requests of one connection.
	maxStreams = 256
	// retryFraction is the fraction of maxProbationFlows above which callers
	// must validate their address by a QUIC Retry.
	retryFraction = 0.25
)

// Labels for deriving the keys that all agents share.
const (
	labelReset  = "cardamomring stateless reset"
	labelToken  = "cardamomring address token"
	labelTicket = "cardamomring session ticket"
)

// errStarting means that no connection ID can be generated yet.
var errStarting = errors.New("agent has no number yet")

// connIDGenerator generates connection IDs that contain this agent's number. It
// is safe for concurrent use.
type connIDGenerator struct {
	num        func() uint32
	serviceTag uint32

	mu     sync.Mutex
	sealer *crroute.Sealer
	// startNonce precedes the first nonce used; lastNonce is the last one used.
	startNonce, lastNonce uint64
}

// newConnIDGenerator returns a generator with a random start nonce.
func newConnIDGenerator(num func() uint32, service string, keys *crroute.Keyring) *connIDGenerator {
	start := crroute.NextNonce(mathrand.Uint64())
	return &connIDGenerator{
		num: num, serviceTag: crroute.ServiceTag(service), sealer: crroute.NewSealer(keys), startNonce: start, lastNonce: start,
	}
}

// issued reports whether this generator has generated an ID.
func (g *connIDGenerator) issued(id crroute.ConnID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	issued := crroute.NonceDistance(g.startNonce, g.lastNonce)
	offset := crroute.NonceDistance(g.startNonce, id.Nonce)
	return id.Agent == g.num() && id.ServiceTag == g.serviceTag && offset > 0 && offset <= issued
}

// GenerateConnectionID returns the next connection ID.
func (g *connIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	num := g.num()
	if num == 0 {
		return quic.ConnectionID{}, errStarting
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNonce = crroute.NextNonce(g.lastNonce)
	var b [crroute.ConnIDLen]byte
	id := crroute.ConnID{Agent: num, ServiceTag: g.serviceTag, Nonce: g.lastNonce}
	return quic.ConnectionIDFromBytes(g.sealer.AppendConnID(b[:0], id)), nil
}

// ConnectionIDLen returns the length of all connection IDs.
func (g *connIDGenerator) ConnectionIDLen() int { return crroute.ConnIDLen }

// flowServer terminates callers' QUIC connections and serves HTTP/3 on them.
type flowServer struct {
	// handler serves the requests.
	handler http.Handler

	transport *quic.Transport
	listener  *trackingListener
	server    *http3.Server
	done      chan error
}

// start serves HTTP/3 on the datagrams delivered to d.conn. All agents derive
// the same keys for stateless resets, address tokens and session tickets, so
// that any agent can answer for one that is gone. 0-RTT is disabled because its
// data can be replayed.
func (s *flowServer) start(d *datagramServer, keys *crroute.Keyring, cert *certificate) error {
	reset, resetErr := keys.Derive(labelReset)
	token, tokenErr := keys.Derive(labelToken)
	ticket, ticketErr := keys.Derive(labelTicket)
	if err := errors.Join(resetErr, tokenErr, ticketErr); err != nil {
		return err
	}
	resetKey, tokenKey := quic.StatelessResetKey(reset), quic.TokenGeneratorKey(token)
	s.transport = &quic.Transport{
		Conn:                  d.conn,
		ConnectionIDGenerator: d.generator,
		StatelessResetKey:     &resetKey,
		TokenGeneratorKey:     &tokenKey,
		VerifySourceAddress: func(net.Addr) bool {
			_, probation := d.flows.Len()
			return float64(probation) > retryFraction*maxProbationFlows
		},
	}
	tlsConf := &tls.Config{GetCertificate: cert.get, MinVersion: tls.VersionTLS13}
	tlsConf.SetSessionTicketKeys([][32]byte{ticket})
	listener, err := s.transport.ListenEarly(http3.ConfigureTLSConfig(tlsConf), &quic.Config{
		MaxIdleTimeout: connIdleTimeout, MaxIncomingStreams: maxStreams,
	})
	if err != nil {
		return fmt.Errorf("listen for QUIC: %w", err)
	}
	s.listener = newTrackingListener(listener)
	s.server = &http3.Server{Handler: s.handler}
	s.done = make(chan error, 1)
	go s.run()
	return nil
}

// run serves until the listener is closed.
func (s *flowServer) run() {
	err := s.server.ServeListener(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, quic.ErrServerClosed) {
		err = nil
	}
	s.done <- err
}

// stop announces the shutdown to callers, waits for their connections to end
// until ctx ends, and closes the remaining ones. It reports whether any
// remained.
func (s *flowServer) stop(ctx context.Context) (remained bool, err error) {
	err = s.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		remained, err = true, nil
	}
	return remained, errors.Join(err, s.listener.Close(), s.transport.Close(), <-s.done)
}
