package crrun

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

// AnswerMax is the maximum size of an answer body, in bytes.
const AnswerMax = 64 << 20

// Client sends requests to agents and backend servers.
type Client struct {
	HTTP *crnet.Client
}

// SendToAgent sends a request to an agent. If it fails before a connection is
// open, the outcome is that the request has not run; if it fails later, the
// outcome is unknown.
func (c *Client) SendToAgent(ctx context.Context, addr string, req *Request) Answer {
	r, err := req.newRunCall(ctx, c.HTTP.URL(addr, req.Target))
	if err != nil {
		return newUnsentFailure(err)
	}
	r.Body = nonReplayableBody{r.Body}
	resp, failure := send(c.HTTP.Do, r)
	if resp == nil {
		return failure
	}
	defer resp.Body.Close()
	// The body of an answer to another request is not read. This closes the
	// connection, on which the next answer would be mismatched too.
	if resp.Header.Get(crwire.HeaderID) != req.ID {
		return NewFailure(crwire.OutcomeUnknown, ReasonCrossed)
	}
	answer, err := readAnswer(resp, req.Method)
	if err != nil {
		return NewFailure(crwire.OutcomeUnknown, readFailureReason(ctx))
	}
	if err := answer.Outcome.UnmarshalText([]byte(resp.Header.Get(crwire.HeaderOutcome))); err != nil {
		return NewFailure(crwire.OutcomeUnknown, ReasonOutcome)
	}
	answer.Reason = resp.Header.Get(crwire.HeaderReason)
	answer.Load = parseLoad(resp.Header)
	return answer
}

// SendToBackend sends a request to a backend server. A status 503 with
// Retry-After means that the server sheds load and that the request has not run.
// The caller sets onNewConn for a request that must not run twice, because the
// server might be closing a reused idle connection.
func (c *Client) SendToBackend(ctx context.Context, addr string, req *Request, onNewConn bool) Answer {
	r, err := req.newHTTPRequest(ctx, crnet.PlainURL(addr, req.Target))
	if err != nil {
		return newUnsentFailure(err)
	}
	do := c.HTTP.Do
	if onNewConn {
		do = c.HTTP.DoOnNewConn
	}
	resp, failure := send(do, r)
	if resp == nil {
		return failure
	}
	defer resp.Body.Close()
	if id := resp.Header.Get(crwire.HeaderID); id != "" && id != req.ID {
		return NewFailure(crwire.OutcomeUnknown, ReasonCrossed)
	}
	answer, err := readAnswer(resp, req.Method)
	if err != nil {
		return NewFailure(crwire.OutcomeUnknown, readFailureReason(ctx))
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
		return NewFailure(crwire.OutcomeNotrun, ReasonShed)
	}
	answer.Outcome = crwire.OutcomeDone
	return answer
}

// nonReplayableBody is a body that net/http does not resend. When a reused
// connection fails, net/http retries requests without a body and those with an
// idempotency key, and returns the error of the second attempt.
type nonReplayableBody struct{ io.ReadCloser }

// send sends a request with the function do. It returns the response, or nil and a failure
// answer. Only a request that never got a connection is known not to have run.
func send(do func(*http.Request) (*http.Response, error), r *http.Request) (*http.Response, Answer) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx := r.Context()
	resp, err := do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return resp, Answer{}
	}
	outcome := crwire.OutcomeUnknown
	if !connected.Load() {
		outcome = crwire.OutcomeNotrun
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return nil, NewFailure(outcome, ReasonTimeout)
	case errors.Is(err, context.Canceled):
		return nil, NewFailure(outcome, ReasonCancelled)
	case outcome == crwire.OutcomeNotrun:
		return nil, NewFailure(outcome, ReasonUnreachable)
	default:
		return nil, NewFailure(outcome, ReasonBroken)
	}
}

// newUnsentFailure returns the answer for a request that was not sent, because its
// deadline had passed or it could not be built.
func newUnsentFailure(err error) Answer {
	if errors.Is(err, context.DeadlineExceeded) {
		return NewFailure(crwire.OutcomeNotrun, ReasonTimeout)
	}
	return NewFailure(crwire.OutcomeNotrun, ReasonRequest)
}

// readFailureReason returns why an answer could not be read completely.
func readFailureReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonTimeout
	case ctx.Err() != nil:
		return ReasonCancelled
	default:
		return ReasonTruncated
	}
}

// newHTTPRequest builds the HTTP request, with its ID and the time remaining
// until the deadline.
func (req *Request) newHTTPRequest(ctx context.Context, url string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, url, bytes.NewReader(req.Body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	r.Header = req.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	// Without GetBody, net/http cannot resend the body on its own.
	r.GetBody = nil
	r.Header.Set(crwire.HeaderID, req.ID)
	deadline, ok := ctx.Deadline()
	if !ok {
		return r, nil
	}
	remaining := time.Until(deadline).Milliseconds()
	if remaining <= 0 {
		return nil, context.DeadlineExceeded
	}
	r.Header.Set(crwire.HeaderDeadline, strconv.FormatInt(remaining, 10))
	return r, nil
}

// readAnswer reads a complete answer. It returns an error if the body is
// truncated, or if it is delimited only by the end of the connection, as then a
// truncation could not be detected.
func readAnswer(resp *http.Response, method string) (Answer, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead {
		return Answer{}, errors.New("answer has neither a length nor chunked encoding")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, AnswerMax+1))
	if err != nil {
		return Answer{}, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > AnswerMax {
		return Answer{}, fmt.Errorf("answer exceeds %d bytes", AnswerMax)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header.Clone(), Body: body, Load: -1}, nil
}

// parseLoad returns the load that an answer states; -1 if unknown.
func parseLoad(h http.Header) int {
	n, err := strconv.Atoi(h.Get(crwire.HeaderLoad))
	if err != nil {
		return -1
	}
	return n
}
