// Package crrun sends a caller's request from a balancer to an agent, between
// agents, and to a backend server, as an HTTP/1.1 call with the headers of
// crwire.
package crrun

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cardamomring.dev/internal/crwire"
)

// BodyMax is the maximum size of a request body, in bytes.
const BodyMax = 8 << 20

// Request is a complete request of a caller.
type Request struct {
	// Service is the name of the requested service.
	Service string
	// ID is unique. The answer repeats it.
	ID string
	// Method and Target are taken from the caller's HTTP request. Target is the
	// path with the query.
	Method string
	Target string
	// Header contains the caller's headers, except hop-by-hop headers and
	// internal ones.
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key; empty for none.
	Key string
	// Hops is the number of agents that have forwarded the request.
	Hops int
}

// hopHeaders apply to a single connection and are never forwarded (RFC 9110,
// 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalHeaders are set by balancers and agents, and never accepted from a
// caller.
var internalHeaders = []string{
	crwire.HeaderService, crwire.HeaderID, crwire.HeaderDeadline, crwire.HeaderHops,
	crwire.HeaderOutcome, crwire.HeaderLoad, crwire.HeaderRevision, crwire.HeaderReason,
}

// FromCaller reads a caller's HTTP request. The id must be unique.
func FromCaller(r *http.Request, service, id string) (*Request, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	req := &Request{
		Service: service,
		ID:      id,
		Method:  r.Method,
		Target:  r.URL.RequestURI(),
		Header:  r.Header.Clone(),
		Body:    body,
		Key:     r.Header.Get(crwire.HeaderKey),
	}
	removeUnforwardedHeaders(req.Header)
	return req, nil
}

// FromPeer reads a run call and returns the request and the time remaining until
// its deadline.
func FromPeer(r *http.Request) (*Request, time.Duration, error) {
	req, err := FromCaller(r, r.Header.Get(crwire.HeaderService), r.Header.Get(crwire.HeaderID))
	if err != nil {
		return nil, 0, err
	}
	hops, err := strconv.Atoi(r.Header.Get(crwire.HeaderHops))
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", crwire.HeaderHops, err)
	}
	ms, err := strconv.ParseInt(r.Header.Get(crwire.HeaderDeadline), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", crwire.HeaderDeadline, err)
	}
	req.Hops = hops
	return req, time.Duration(ms) * time.Millisecond, nil
}

// newRunCall builds the run call to an agent.
func (req *Request) newRunCall(ctx context.Context, url string) (*http.Request, error) {
	r, err := req.newHTTPRequest(ctx, url)
	if err != nil {
		return nil, err
	}
	r.Header.Set(crwire.HeaderService, req.Service)
	r.Header.Set(crwire.HeaderHops, strconv.Itoa(req.Hops))
	return r, nil
}

// readBody reads the body. It returns an error if the body exceeds BodyMax.
func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, BodyMax+1))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if len(data) > BodyMax {
		return nil, fmt.Errorf("request body exceeds %d bytes", BodyMax)
	}
	return data, nil
}

// removeUnforwardedHeaders removes the hop-by-hop headers and the internal
// ones.
func removeUnforwardedHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for _, name := range internalHeaders {
		h.Del(name)
	}
}
