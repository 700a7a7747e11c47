package crcall

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// idleTimeout ends a connection whose other side is silent.
	idleTimeout = 10 * time.Second
	// keepAlive keeps a connection open while a request runs for long.
	keepAlive = 3 * time.Second
	// pauseMin and pauseMax bound the wait before a request is sent again.
	pauseMin = 50 * time.Millisecond
	pauseMax = 2 * time.Second
	// answerMax is the largest answer body, in bytes.
	answerMax = 64 << 20
)

// Client sends requests to services. Set the exported fields before Open.
type Client struct {
	// Roots are the authorities that services' certificates must be signed
	// by; nil trusts none.
	Roots *x509.CertPool
	// Plain sends HTTP/1.1 to a balancer's plain listener.
	Plain bool
	// Jitter draws a number below 1 for the waits; nil draws at random.
	Jitter func() float64
	// Sleep waits; nil waits by the clock. It returns early when ctx ends.
	Sleep func(ctx context.Context, d time.Duration)

	transport http.RoundTripper
	close     func() error
}

// Open makes the client ready; call it once before Do.
func (c *Client) Open() {
	if c.Jitter == nil {
		c.Jitter = rand.Float64
	}
	if c.Sleep == nil {
		c.Sleep = sleep
	}
	if c.Roots == nil {
		c.Roots = x509.NewCertPool()
	}
	trust := &tls.Config{RootCAs: c.Roots, MinVersion: tls.VersionTLS13}
	if c.Plain {
		t := &http.Transport{TLSClientConfig: trust, DisableCompression: true}
		c.transport, c.close = t, func() error { t.CloseIdleConnections(); return nil }
		return
	}
	t := &http3.Transport{
		TLSClientConfig:    trust,
		QUICConfig:         &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive},
		DisableCompression: true,
		// Each connection has its own socket: the service tells an opening
		// flow by the caller's address, and a new connection must not be
		// taken for a part of one that its agent is about to end.
		Dial: quic.DialAddrEarly,
	}
	c.transport, c.close = t, t.Close
}

// Close ends every connection.
func (c *Client) Close() error { return c.close() }

// Do sends a request until it is done, its outcome can't be improved, or ctx
// ends. What has not run is sent again; what may have run is sent again only
// under its key or when it may be repeated.
func (c *Client) Do(ctx context.Context, req *Request) Answer {
	var answer Answer
	doubt := ""
	for tries := 1; ; tries++ {
		last := answer
		answer = c.try(ctx, req)
		answer.Tries = tries
		if ctx.Err() != nil && answer.Outcome == OutcomeNotrun && tries > 1 {
			// The deadline cut this try short; the one before says why.
			answer.Reason = last.Reason
		}
		switch answer.Outcome {
		case OutcomeDone:
			return answer
		case OutcomeUnknown:
			doubt = answer.Reason
			if !req.repeatable() {
				return answer
			}
		case OutcomeNotrun:
			if !answer.retriable() {
				return answer.inDoubt(doubt)
			}
		}
		c.Sleep(ctx, c.pause(tries, answer.wait))
		if ctx.Err() != nil {
			return answer.inDoubt(doubt)
		}
	}
}

// inDoubt returns the answer after an earlier try whose outcome is unknown: a
// later refusal says nothing about that try.
func (a Answer) inDoubt(reason string) Answer {
	if reason != "" {
		a.Outcome, a.Reason = OutcomeUnknown, reason
	}
	return a
}

// pause returns the wait before the next try: doubled each time, drawn from
// its upper half, and at least what the service asked for.
func (c *Client) pause(tries int, asked time.Duration) time.Duration {
	d := pauseMax
	if tries < 16 {
		d = min(pauseMin<<tries, pauseMax)
	}
	d = d/2 + time.Duration(c.Jitter()*float64(d/2))
	return max(d, min(asked, pauseMax))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
