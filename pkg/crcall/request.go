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

// Request is one request to a service.
type Request struct {
	Method string
	// URL is the service's address and path: https for HTTP/3, http or
	// https for a plain listener.
	URL string
	// Host selects the service on a plain listener; empty takes the URL's.
	Host   string
	Header http.Header
	Body   []byte
	// Key makes the request idempotent: under one key it runs at most once.
	Key string
	// Repeatable says that the request may run more than once without harm.
	Repeatable bool
}

// repeatable says whether a request that may have run may be sent again.
func (req *Request) repeatable() bool { return req.Repeatable || req.Key != "" }

// try sends the request once.
func (c *Client) try(ctx context.Context, req *Request) Answer {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	if !c.Plain {
		// The HTTP/3 transport starts over by itself only after a
		// connection on which the request was not looked at.
		trace.GetConn = func(string) { sent.Store(false) }
	}
	r, err := req.build(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return Answer{Outcome: OutcomeNotrun, Reason: err.Error(), Status: http.StatusBadRequest}
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return failed(err, sent.Load())
	}
	defer resp.Body.Close()
	answer, err := read(resp)
	if err != nil {
		return Answer{Outcome: OutcomeUnknown, Reason: err.Error(), Status: resp.StatusCode}
	}
	return answer
}

// build writes the request. A key goes with it on every try.
func (req *Request) build(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, req.URL, bytes.NewReader(req.Body))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
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

// failed says what an error leaves open.
func failed(err error, sent bool) Answer {
	if !sent || rejected(err) {
		return Answer{Outcome: OutcomeNotrun, Reason: err.Error()}
	}
	return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}
}

// rejected says whether the server has told that it didn't look at the
// request: it rejected the request (RFC 9114, 4.1.1) or refused the
// connection (RFC 9000, 20.1) that carried it.
func rejected(err error) bool {
	var h3 *http3.Error
	if errors.As(err, &h3) {
		return h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
	}
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.Remote && transport.ErrorCode == quic.ConnectionRefused
}

// read reads a whole answer and its outcome.
func read(resp *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerMax+1))
	if err != nil {
		return Answer{}, fmt.Errorf("read the answer: %w", err)
	}
	if len(body) > answerMax {
		return Answer{}, fmt.Errorf("the answer is over %d bytes", answerMax)
	}
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if err := a.Outcome.UnmarshalText([]byte(resp.Header.Get(headerOutcome))); err != nil {
		a.Outcome = guess(resp.StatusCode)
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.wait = time.Duration(seconds) * time.Second
	}
	if a.Outcome != OutcomeDone {
		a.Reason = reason(resp, body)
	}
	return a, nil
}

// guess returns the outcome of an answer that names none: a gateway's error
// leaves it open whether the request ran.
func guess(status int) Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return OutcomeUnknown
	default:
		return OutcomeDone
	}
}

// reason returns why a request was refused.
func reason(resp *http.Response, body []byte) string {
	var problem struct {
		Reason string `json:"reason"`
	}
	if resp.Header.Get("Content-Type") == problemType && json.Unmarshal(body, &problem) == nil && problem.Reason != "" {
		return problem.Reason
	}
	return resp.Status
}
