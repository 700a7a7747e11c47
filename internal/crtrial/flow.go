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

// Flow is a caller with one long-lived HTTP/3 connection. It reconnects only
// after the connection was closed.
type Flow struct {
	// Connections counts the connections opened. It stays 1 when the flow never
	// broke.
	Connections atomic.Int64

	baseURL   string
	transport *http3.Transport
}

// Request is a caller's request. Key is its idempotency key and may be empty.
type Request struct {
	Method, Path, Key string
	Body              []byte
}

// Response is the result of a request as seen by the caller.
type Response struct {
	Status  int
	Outcome crwire.Outcome
	// Agent is the agent that owns the flow, empty without a response.
	Agent string
	// Broken is true when the connection failed during the request.
	Broken bool
	// Latency is the time from sending the request until its whole response was
	// read.
	Latency time.Duration
	Body    []byte
	// Err is the error of a request without a complete response.
	Err error
}

// Reason returns why a request was refused. It is empty for other responses.
func (r Response) Reason() string {
	var problem crwire.Problem
	if err := json.Unmarshal(r.Body, &problem); err != nil {
		return ""
	}
	return problem.Reason
}

// NewFlow returns a caller of a service. It connects on its first request.
func (d *Deployment) NewFlow(service string) (*Flow, error) {
	pool := x509.NewCertPool()
	data, err := os.ReadFile(filepath.Join(d.Dir, "ca.pem"))
	if err != nil {
		return nil, fmt.Errorf("read CA certificate: %w", err)
	}
	pool.AppendCertsFromPEM(data)
	f := &Flow{baseURL: "https://" + d.ServiceAddr(service)}
	f.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
		Dial: func(ctx context.Context, addr string, conf *tls.Config, quicConf *quic.Config) (*quic.Conn, error) {
			f.Connections.Add(1)
			return quic.DialAddrEarly(ctx, addr, conf, quicConf)
		},
	}
	return f, nil
}

// Do sends one request and reads its whole response.
func (f *Flow) Do(ctx context.Context, req Request) Response {
	start := time.Now()
	resp := f.do(ctx, req)
	resp.Latency = time.Since(start)
	return resp
}

// do sends one request without measuring its latency.
func (f *Flow) do(ctx context.Context, req Request) Response {
	r, err := http.NewRequestWithContext(ctx, req.Method, f.baseURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return Response{Err: err}
	}
	if req.Key != "" {
		r.Header.Set(crwire.HeaderKey, req.Key)
	}
	httpResp, err := f.transport.RoundTrip(r)
	if err != nil {
		return Response{Broken: true, Err: err}
	}
	defer httpResp.Body.Close()
	resp := Response{Status: httpResp.StatusCode, Agent: httpResp.Header.Get(crwire.HeaderAgent)}
	if resp.Body, err = io.ReadAll(httpResp.Body); err != nil {
		return Response{Broken: true, Err: err}
	}
	if err := resp.Outcome.UnmarshalText([]byte(httpResp.Header.Get(crwire.HeaderOutcome))); err != nil {
		return Response{Broken: true, Err: err}
	}
	return resp
}

// Close closes the connection.
func (f *Flow) Close() error { return f.transport.Close() }
