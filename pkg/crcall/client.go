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
	// idleTimeout closes a connection on which no packets arrive.
	idleTimeout = 10 * time.Second
	// keepAlivePeriod keeps a connection open during a long request.
	keepAlivePeriod = 3 * time.Second
	// minBackoff and maxBackoff bound the wait before a retry.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxBodyLen is the largest body of an answer, in bytes.
	maxBodyLen = 64 << 20
)

// Client sends requests to services and retries them. Set the exported fields
// before Open.
type Client struct {
	// Roots holds the authorities that may sign services' certificates; nil
	// trusts none.
	Roots *x509.CertPool
	// Plain sends HTTP/1.1 to a balancer's plain listener instead of HTTP/3.
	Plain bool
	// Jitter returns a number of at least 0 and below 1 that varies the backoff;
	// nil means random numbers.
	Jitter func() float64
	// Sleep waits for d or until ctx ends; nil means the system clock.
	Sleep func(ctx context.Context, d time.Duration)

	transport http.RoundTripper
	close     func() error
}

// Open prepares the client. Call it once before Do.
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
	tlsCfg := &tls.Config{RootCAs: c.Roots, MinVersion: tls.VersionTLS13}
	if c.Plain {
		t := &http.Transport{TLSClientConfig: tlsCfg, DisableCompression: true}
		c.transport, c.close = t, func() error { t.CloseIdleConnections(); return nil }
		return
	}
	t := &http3.Transport{
		TLSClientConfig:    tlsCfg,
		QUICConfig:         &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlivePeriod},
		DisableCompression: true,
		// Each connection has its own socket: the service identifies an
		// opening flow by the caller's address. On a shared socket, it could
		// assign a new connection to a flow that its agent is about to end.
		Dial: quic.DialAddrEarly,
	}
	c.transport, c.close = t, t.Close
}

// Close closes the client's connections. It returns the transport's error.
func (c *Client) Close() error { return c.close() }

// Do sends a request and retries it until it is done, a retry can't help or ctx
// ends. It retries a request that has not run. It retries a request that may
// have run only if req has a key or is repeatable. Do returns no error: the
// answer's Outcome and Reason describe failures too.
func (c *Client) Do(ctx context.Context, req *Request) Answer {
	var answer Answer
	unknownReason := ""
	for tries := 1; ; tries++ {
		prev := answer
		answer = c.send(ctx, req)
		answer.Tries = tries
		if ctx.Err() != nil && answer.Outcome == OutcomeNotrun && tries > 1 {
			// The deadline interrupted this attempt, so the reason of the
			// previous attempt is more useful.
			answer.Reason = prev.Reason
		}
		switch answer.Outcome {
		case OutcomeDone:
			return answer
		case OutcomeUnknown:
			unknownReason = answer.Reason
			if !req.repeatable() {
				return answer
			}
		case OutcomeNotrun:
			if !answer.retriable() {
				return answer.orUnknown(unknownReason)
			}
		}
		c.Sleep(ctx, c.backoff(tries, answer.retryAfter))
		if ctx.Err() != nil {
			return answer.orUnknown(unknownReason)
		}
	}
}

// orUnknown returns a as it is if unknownReason is empty. Otherwise unknownReason
// is the reason of an earlier attempt with an unknown outcome, and orUnknown
// replaces the outcome and reason of a: a later refusal doesn't tell whether the
// earlier attempt ran.
func (a Answer) orUnknown(unknownReason string) Answer {
	if unknownReason != "" {
		a.Outcome, a.Reason = OutcomeUnknown, unknownReason
	}
	return a
}

// backoff returns the wait before the next attempt. It doubles with each attempt
// up to maxBackoff, varies at random between half and all of that, and is at
// least retryAfter, up to maxBackoff.
func (c *Client) backoff(tries int, retryAfter time.Duration) time.Duration {
	d := maxBackoff
	if tries < 16 {
		d = min(minBackoff<<tries, maxBackoff)
	}
	d = d/2 + time.Duration(c.Jitter()*float64(d/2))
	return max(d, min(retryAfter, maxBackoff))
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
