package crnet

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// answerMax is the largest JSON answer that a client reads, in bytes.
	answerMax = 256 << 20
	// dialTimeout bounds the opening of a connection: dozens of round trips
	// within a region. A machine without power doesn't refuse, it is silent, and
	// TCP asks it again after a second only.
	dialTimeout = 100 * time.Millisecond
	// idlePerHost is how many idle connections stay open to one process.
	idlePerHost = 64
	// idleTimeout closes a connection that nothing has used.
	idleTimeout = 60 * time.Second
)

// Client calls our own processes.
type Client struct {
	// TLS is the client's side of mutual TLS; nil calls plain HTTP.
	TLS *tls.Config

	http *http.Client
	// once opens a connection for each request.
	once *http.Client
}

// Open makes the client ready; call it once before use.
func (c *Client) Open() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{CheckRedirect: keepRedirect, Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     c.TLS,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
	}}
	c.once = &http.Client{CheckRedirect: keepRedirect, Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		TLSClientConfig:    c.TLS,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}
}

// keepRedirect returns a redirect as the answer; following one would send the
// request again.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// URL returns the URL of a path on a process.
func (c *Client) URL(addr, path string) string {
	if c.TLS != nil {
		return "https://" + addr + path
	}
	return "http://" + addr + path
}

// PlainURL returns the URL of a path on a process that isn't ours, which
// speaks plain HTTP.
func PlainURL(addr, path string) string { return "http://" + addr + path }

// Do sends a request.
func (c *Client) Do(r *http.Request) (*http.Response, error) { return c.http.Do(r) }

// DoOnNewConn sends a request on a connection of its own. net/http repeats some
// requests by itself when a reused connection breaks; it never repeats these.
func (c *Client) DoOnNewConn(r *http.Request) (*http.Response, error) { return c.once.Do(r) }

// StatusError is an answer other than 200 to a JSON call.
type StatusError struct {
	Status int
	Body   string
}

// Error says the status and the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// JSON posts in to a path, or gets the path when in is nil, and decodes the
// answer into out.
func (c *Client) JSON(ctx context.Context, addr, path string, in, out any) error {
	method, body := http.MethodGet, io.Reader(nil)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %T: %w", in, err)
		}
		method, body = http.MethodPost, bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.URL(addr, path), body)
	if err != nil {
		return fmt.Errorf("request to %s: %w", addr, err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("call %s%s: %w", addr, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerMax))
	if err != nil {
		return fmt.Errorf("answer of %s%s: %w", addr, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s%s: %w", addr, path, &StatusError{Status: resp.StatusCode, Body: string(data)})
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("answer of %s%s: %w", addr, path, err)
	}
	return nil
}

// WriteJSON answers a request with a status and a JSON value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ReadJSON decodes a request's body of at most limit bytes; on failure it
// answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	if err := json.Unmarshal(data, v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
