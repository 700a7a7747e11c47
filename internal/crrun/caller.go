package crrun

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

// AnswerMax is the largest answer body, in bytes.
const AnswerMax = 64 << 20

// Caller sends requests to agents and backend servers.
type Caller struct {
	Client *crnet.Client
}

// Peer runs a request at an agent. Whatever fails before the request has
// been sent is not run; what fails later is unknown.
func (c *Caller) Peer(ctx context.Context, addr string, req *Request) Answer {
	r, err := req.peerRequest(ctx, c.Client.URL(addr, req.Target))
	if err != nil {
		return Refuse(crwire.OutcomeNotrun, "request")
	}
	resp, err := c.Client.Do(r)
	if err != nil {
		return failed(err)
	}
	defer resp.Body.Close()
	answer, err := readAnswer(resp)
	if err != nil {
		return Refuse(crwire.OutcomeUnknown, "truncated")
	}
	if resp.Header.Get(crwire.HeaderID) != req.ID {
		return Refuse(crwire.OutcomeUnknown, "crossed")
	}
	if err := answer.Outcome.UnmarshalText([]byte(resp.Header.Get(crwire.HeaderOutcome))); err != nil {
		return Refuse(crwire.OutcomeUnknown, "outcome")
	}
	answer.Reason = resp.Header.Get(crwire.HeaderReason)
	answer.Load = loadOf(resp.Header)
	return answer
}

// Backend runs a request on a backend server. A 503 with Retry-After is the
// server shedding load: the request has not run.
func (c *Caller) Backend(ctx context.Context, addr string, req *Request) Answer {
	r, err := req.plain(ctx, c.Client.URL(addr, req.Target))
	if err != nil {
		return Refuse(crwire.OutcomeNotrun, "request")
	}
	resp, err := c.Client.Do(r)
	if err != nil {
		return failed(err)
	}
	defer resp.Body.Close()
	answer, err := readAnswer(resp)
	if err != nil {
		return Refuse(crwire.OutcomeUnknown, "truncated")
	}
	if id := resp.Header.Get(crwire.HeaderID); id != "" && id != req.ID {
		return Refuse(crwire.OutcomeUnknown, "crossed")
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
		return Refuse(crwire.OutcomeNotrun, "shed")
	}
	answer.Outcome = crwire.OutcomeDone
	return answer
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
	// No GetBody: net/http must not send a request again by itself.
	r.GetBody = nil
	r.Header.Set(crwire.HeaderID, req.ID)
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(crwire.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return r, nil
}

// readAnswer reads a whole answer; a body that ends early is an error.
func readAnswer(resp *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, AnswerMax+1))
	if err != nil {
		return Answer{}, fmt.Errorf("read the answer: %w", err)
	}
	if len(body) > AnswerMax {
		return Answer{}, fmt.Errorf("the answer is over %d bytes", AnswerMax)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header.Clone(), Body: body, Load: -1}, nil
}

// failed tells a connection that never opened from one that broke later.
func failed(err error) Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Refuse(crwire.OutcomeNotrun, "unreachable")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Refuse(crwire.OutcomeUnknown, "timeout")
	}
	return Refuse(crwire.OutcomeUnknown, "broken")
}

// loadOf returns the load of an answer, -1 when unknown.
func loadOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(crwire.HeaderLoad))
	if err != nil {
		return -1
	}
	return n
}
