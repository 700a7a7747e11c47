package crtrial

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"cardamomring.dev/internal/crwire"
)

// Flow is one caller with one long HTTP/3 connection, which it opens again
// only after it was closed.
type Flow struct {
	// Connections counts the connections: 1 for a flow that lived throughout.
	Connections atomic.Int64

	base      string
	transport *http3.Transport
}

// Request is one request of a caller.
type Request struct {
	Method, Path, Key string
	Body              []byte
}

// Response is what a caller knows afterwards.
type Response struct {
	Status  int
	Outcome crwire.Outcome
	// Agent is the agent that holds the flow, empty when nothing came back.
	Agent string
	// Broken says that the connection failed under the request.
	Broken bool
	// Latency is the time from the request to its whole answer.
	Latency time.Duration
	Body    []byte
	// Err is the transport's error of a broken request.
	Err error
}

// Reason returns why a request was refused, empty for other answers.
func (a Response) Reason() string {
	var problem crwire.Problem
	if err := json.Unmarshal(a.Body, &problem); err != nil {
		return ""
	}
	return problem.Reason
}

// NewFlow returns a caller of a service. It connects at its first request.
func (d *Deployment) NewFlow(service string) (*Flow, error) {
	pool := x509.NewCertPool()
	data, err := os.ReadFile(filepath.Join(d.Dir, "ca.pem"))
	if err != nil {
		return nil, fmt.Errorf("read the authority: %w", err)
	}
	pool.AppendCertsFromPEM(data)
	f := &Flow{base: "https://" + d.ServiceAddr(service)}
	f.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
		Dial: func(ctx context.Context, addr string, conf *tls.Config, quicConf *quic.Config) (*quic.Conn, error) {
			f.Connections.Add(1)
			return quic.DialAddrEarly(ctx, addr, conf, quicConf)
		},
	}
	return f, nil
}

// Do sends one request and reads its whole answer.
func (f *Flow) Do(ctx context.Context, req Request) Response {
	started := time.Now()
	answer := f.do(ctx, req)
	answer.Latency = time.Since(started)
	return answer
}

// do sends one request.
func (f *Flow) do(ctx context.Context, req Request) Response {
	r, err := http.NewRequestWithContext(ctx, req.Method, f.base+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return Response{Err: err}
	}
	if req.Key != "" {
		r.Header.Set(crwire.HeaderKey, req.Key)
	}
	resp, err := f.transport.RoundTrip(r)
	if err != nil {
		return Response{Broken: true, Err: err}
	}
	defer resp.Body.Close()
	answer := Response{Status: resp.StatusCode, Agent: resp.Header.Get(crwire.HeaderAgent)}
	if answer.Body, err = io.ReadAll(resp.Body); err != nil {
		return Response{Broken: true, Err: err}
	}
	if err := answer.Outcome.UnmarshalText([]byte(resp.Header.Get(crwire.HeaderOutcome))); err != nil {
		return Response{Broken: true, Err: err}
	}
	return answer
}

// Close ends the connection.
func (f *Flow) Close() error { return f.transport.Close() }
