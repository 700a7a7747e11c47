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

// AnswerMax is the largest answer body, in bytes.
const AnswerMax = 64 << 20

// Client sends requests to agents and backend servers.
type Client struct {
	HTTP *crnet.Client
}

// SendToAgent runs a request at an agent. What fails before a connection is there
// is not run; what fails later is unknown.
func (c *Client) SendToAgent(ctx context.Context, addr string, req *Request) Answer {
	r, err := req.peerRequest(ctx, c.HTTP.URL(addr, req.Target))
	if err != nil {
		return unsent(err)
	}
	r.Body = unreplayable{r.Body}
	resp, failure := send(c.HTTP.Do, r)
	if resp == nil {
		return failure
	}
	defer resp.Body.Close()
	// The body of a crossed answer stays unread: that closes its connection,
	// where the next answer would be crossed too.
	if resp.Header.Get(crwire.HeaderID) != req.ID {
		return NewFailure(crwire.OutcomeUnknown, ReasonCrossed)
	}
	answer, err := readAnswer(resp, req.Method)
	if err != nil {
		return NewFailure(crwire.OutcomeUnknown, unread(ctx))
	}
	if err := answer.Outcome.UnmarshalText([]byte(resp.Header.Get(crwire.HeaderOutcome))); err != nil {
		return NewFailure(crwire.OutcomeUnknown, ReasonOutcome)
	}
	answer.Reason = resp.Header.Get(crwire.HeaderReason)
	answer.Load = loadOf(resp.Header)
	return answer
}

// SendToBackend runs a request on a backend server. A 503 with Retry-After is the
// server shedding load: the request has not run. A request that may not run
// twice goes on a connection of its own: it can't meet an idle connection
// that the server is closing.
func (c *Client) SendToBackend(ctx context.Context, addr string, req *Request, once bool) Answer {
	r, err := req.plain(ctx, crnet.PlainURL(addr, req.Target))
	if err != nil {
		return unsent(err)
	}
	do := c.HTTP.Do
	if once {
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
		return NewFailure(crwire.OutcomeUnknown, unread(ctx))
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
		return NewFailure(crwire.OutcomeNotrun, ReasonShed)
	}
	answer.Outcome = crwire.OutcomeDone
	return answer
}

// unreplayable is a body that net/http doesn't send again: by itself it
// repeats requests without a body, and those with an idempotency key, when a
// reused connection breaks, and the error is then that of the second try.
type unreplayable struct{ io.ReadCloser }

// send sends a request and returns its response, or the answer when there
// is none. Only a request that never had a connection has not run.
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

// unsent answers for a request that could not be written.
func unsent(err error) Answer {
	if errors.Is(err, context.DeadlineExceeded) {
		return NewFailure(crwire.OutcomeNotrun, ReasonTimeout)
	}
	return NewFailure(crwire.OutcomeNotrun, ReasonRequest)
}

// unread says why an answer was not read whole.
func unread(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ReasonTimeout
	case ctx.Err() != nil:
		return ReasonCancelled
	default:
		return ReasonTruncated
	}
}

// plain writes the request with its ID and the time that remains.
func (req *Request) plain(ctx context.Context, url string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, url, bytes.NewReader(req.Body))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	r.Header = req.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	// No GetBody: net/http must not send a body again by itself.
	r.GetBody = nil
	r.Header.Set(crwire.HeaderID, req.ID)
	deadline, ok := ctx.Deadline()
	if !ok {
		return r, nil
	}
	remain := time.Until(deadline).Milliseconds()
	if remain <= 0 {
		return nil, context.DeadlineExceeded
	}
	r.Header.Set(crwire.HeaderDeadline, strconv.FormatInt(remain, 10))
	return r, nil
}

// readAnswer reads a whole answer. A body that ends early is an error, and
// so is one whose end only the closed connection tells.
func readAnswer(resp *http.Response, method string) (Answer, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead {
		return Answer{}, errors.New("the answer has no length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, AnswerMax+1))
	if err != nil {
		return Answer{}, fmt.Errorf("read the answer: %w", err)
	}
	if len(body) > AnswerMax {
		return Answer{}, fmt.Errorf("the answer is over %d bytes", AnswerMax)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header.Clone(), Body: body, Load: -1}, nil
}

// loadOf returns the load of an answer, -1 when unknown.
func loadOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(crwire.HeaderLoad))
	if err != nil {
		return -1
	}
	return n
}
