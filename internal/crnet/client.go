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
	// responseMax is the maximum size of a JSON response, in bytes.
	responseMax = 256 << 20
	// dialTimeout is the timeout for opening a connection: dozens of round trips
	// within a region. A machine without power does not refuse connections but
	// never responds, and TCP retries only after one second.
	dialTimeout = 100 * time.Millisecond
	// idleConnsPerHost is the maximum number of idle connections per process.
	idleConnsPerHost = 64
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 60 * time.Second
)

// Client sends HTTP requests to processes of this system and to backend servers.
type Client struct {
	// TLS is the client configuration of mutual TLS; nil selects plain HTTP.
	TLS *tls.Config

	pooled *http.Client
	// unpooled opens a new connection for each request; pooled reuses idle ones.
	unpooled *http.Client
}

// Open initializes the client. It must be called once before use.
func (c *Client) Open() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.pooled = &http.Client{CheckRedirect: returnRedirect, Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     c.TLS,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
	}}
	c.unpooled = &http.Client{CheckRedirect: returnRedirect, Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		TLSClientConfig:    c.TLS,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}
}

// returnRedirect makes the client return redirects. Following them would send the
// request again.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// URL returns the URL of a path on a process of this system.
func (c *Client) URL(addr, path string) string {
	if c.TLS != nil {
		return "https://" + addr + path
	}
	return "http://" + addr + path
}

// PlainURL returns the URL of a path on a server outside this system, over plain
// HTTP.
func PlainURL(addr, path string) string { return "http://" + addr + path }

// Do sends a request on a new or an idle connection.
func (c *Client) Do(r *http.Request) (*http.Response, error) { return c.pooled.Do(r) }

// DoOnNewConn sends a request on a new connection. net/http retries some requests
// on its own when a reused connection fails, but never those on a new connection.
func (c *Client) DoOnNewConn(r *http.Request) (*http.Response, error) { return c.unpooled.Do(r) }

// StatusError is a response to a JSON call with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// JSON posts in to a path, or gets the path if in is nil, and decodes the response
// into out.
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
		return fmt.Errorf("create request to %s: %w", addr, err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.pooled.Do(r)
	if err != nil {
		return fmt.Errorf("call %s%s: %w", addr, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, responseMax))
	if err != nil {
		return fmt.Errorf("read response of %s%s: %w", addr, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s%s: %w", addr, path, &StatusError{Status: resp.StatusCode, Body: string(data)})
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response of %s%s: %w", addr, path, err)
	}
	return nil
}

// WriteJSON writes a response with a status and a JSON value.
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

// ReadJSON decodes a request body of at most limit bytes into v. On failure it
// responds with status 400 and returns false.
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
