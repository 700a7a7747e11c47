// Package crrun carries one request of a caller between a balancer, agents
// and a backend server, as an HTTP/1.1 call with the headers of crwire.
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

// BodyMax is the largest request body, in bytes.
const BodyMax = 8 << 20

// Request is one request of a caller, held whole.
type Request struct {
	// Service is the service that the caller addressed.
	Service string
	// ID is unique; the answer repeats it.
	ID string
	// Method and Target are those of the caller's HTTP request; Target is
	// the path with its query.
	Method string
	Target string
	// Header holds the caller's headers without hop-by-hop ones and without
	// those of crwire.
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, empty for none.
	Key string
	// Hops is how many agents have passed the request on.
	Hops int
}

// hopHeaders concern one connection and are never passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are set by the system and never taken from a caller.
var ownHeaders = []string{
	crwire.HeaderService, crwire.HeaderID, crwire.HeaderDeadline, crwire.HeaderHops,
	crwire.HeaderOutcome, crwire.HeaderLoad, crwire.HeaderRevision, crwire.HeaderReason,
}

// FromCaller reads a caller's HTTP request, under a fresh ID.
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
	drop(req.Header)
	return req, nil
}

// FromPeer reads a run call, and the deadline that it carries.
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

// peerRequest writes the run call to an agent.
func (req *Request) peerRequest(ctx context.Context, url string) (*http.Request, error) {
	r, err := req.plain(ctx, url)
	if err != nil {
		return nil, err
	}
	r.Header.Set(crwire.HeaderService, req.Service)
	r.Header.Set(crwire.HeaderHops, strconv.Itoa(req.Hops))
	return r, nil
}

// readBody reads a body of at most BodyMax bytes.
func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, BodyMax+1))
	if err != nil {
		return nil, fmt.Errorf("read the body: %w", err)
	}
	if len(data) > BodyMax {
		return nil, fmt.Errorf("the body is over %d bytes", BodyMax)
	}
	return data, nil
}

// drop removes the headers that are not passed on.
func drop(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for _, name := range ownHeaders {
		h.Del(name)
	}
}
