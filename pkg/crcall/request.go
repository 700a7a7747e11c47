package crcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	headerKey     = "Idempotency-Key"
	headerOutcome = "Cr-Outcome"
	problemType   = "application/problem+json"
)

// Request is a request to a service.
type Request struct {
	// Method is the HTTP method; empty means GET.
	Method string
	// URL contains the service's address and path. Its scheme is https for
	// HTTP/3, and http or https for a plain listener.
	URL string
	// Host selects the service on a plain listener; empty means the URL's host.
	Host string
	// Header and Body are sent with each attempt.
	Header http.Header
	Body   []byte
	// Key is an idempotency key: requests with the same key run at most once.
	// Empty sends none.
	Key string
	// Repeatable reports whether the request may run more than once without harm.
	Repeatable bool
}

// repeatable reports whether a request that may have run may be sent again.
func (req *Request) repeatable() bool { return req.Repeatable || req.Key != "" }

// send makes one attempt.
func (c *Client) send(ctx context.Context, req *Request) Answer {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	if !c.Plain {
		// The HTTP/3 transport gets another connection by itself only if the
		// request was not processed on the previous one.
		trace.GetConn = func(string) { sent.Store(false) }
	}
	r, err := req.build(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return Answer{Outcome: OutcomeNotrun, Reason: err.Error(), Status: http.StatusBadRequest}
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return errorAnswer(err, sent.Load())
	}
	defer resp.Body.Close()
	answer, err := readAnswer(resp)
	if err != nil {
		return Answer{Outcome: OutcomeUnknown, Reason: err.Error(), Status: resp.StatusCode}
	}
	return answer
}

// build returns the HTTP request for one attempt, with the same key each time.
func (req *Request) build(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, req.URL, bytes.NewReader(req.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if req.Header != nil {
		r.Header = req.Header.Clone()
	}
	if req.Host != "" {
		r.Host = req.Host
	}
	if req.Key != "" {
		r.Header.Set(headerKey, req.Key)
	}
	return r, nil
}

// errorAnswer returns the answer for an error. sent reports whether the request
// may have been sent.
func errorAnswer(err error, sent bool) Answer {
	if !sent || isRejected(err) {
		return Answer{Outcome: OutcomeNotrun, Reason: err.Error()}
	}
	return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}
}

// isRejected reports whether err shows that the server didn't process the
// request: it rejected the request (RFC 9114, section 4.1.1) or refused the
// connection for it (RFC 9000, section 20.1).
func isRejected(err error) bool {
	var h3 *http3.Error
	if errors.As(err, &h3) {
		return h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
	}
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.Remote && transport.ErrorCode == quic.ConnectionRefused
}

// readAnswer reads a whole answer and determines its outcome. Its error means
// that the answer is incomplete or over maxBodyLen.
func readAnswer(resp *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyLen+1))
	if err != nil {
		return Answer{}, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxBodyLen {
		return Answer{}, fmt.Errorf("answer is larger than %d bytes", maxBodyLen)
	}
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if err := a.Outcome.UnmarshalText([]byte(resp.Header.Get(headerOutcome))); err != nil {
		a.Outcome = defaultOutcome(resp.StatusCode)
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	if a.Outcome != OutcomeDone {
		a.Reason = refusalReason(resp, body)
	}
	return a, nil
}

// defaultOutcome returns the outcome of an answer without an outcome header.
// After a gateway error, the request may or may not have run.
func defaultOutcome(status int) Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return OutcomeUnknown
	default:
		return OutcomeDone
	}
}

// refusalReason returns the reason in a refusal's problem document, or else the
// HTTP status.
func refusalReason(resp *http.Response, body []byte) string {
	var problem struct {
		Reason string `json:"reason"`
	}
	if resp.Header.Get("Content-Type") == problemType && json.Unmarshal(body, &problem) == nil && problem.Reason != "" {
		return problem.Reason
	}
	return resp.Status
}
