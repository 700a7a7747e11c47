package croper

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"cardamomring.dev/internal/crnet"
)

const (
	// callTimeout is the timeout of one call to one instance.
	callTimeout = 5 * time.Second
	// retryWait is the wait between rounds over all instances.
	retryWait = 200 * time.Millisecond
	// maxAnswerLen is the largest response that is read, in bytes.
	maxAnswerLen = 64 << 20
)

// ErrUnreachable means that no instance responded on behalf of the quorum. A
// change may or may not be in force.
var ErrUnreachable = errors.New("no control instance answered for the quorum")

// Client calls the control instances. Set the exported fields before Open.
type Client struct {
	// Control lists the host:port of each control instance. Not empty.
	Control []string
	// Token authenticates the operator; empty sends none.
	Token string
	// Operator is the operator's name. Control uses it only if it admits every
	// operator, and records it as unverified.
	Operator string
	// TLS is the client's TLS configuration; nil means plain HTTP.
	TLS *tls.Config
	// NewID returns a unique ID for a change; nil means random IDs.
	NewID func() string
	// Pause waits for a duration or until ctx ends; nil means by the clock.
	Pause func(ctx context.Context, d time.Duration)

	http *http.Client
}

// Open prepares the client. Call it once before any call.
func (c *Client) Open() {
	c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS}}
	if c.NewID == nil {
		c.NewID = rand.Text
	}
	if c.Pause == nil {
		c.Pause = crnet.Pause
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call makes one call to one instance and decodes its JSON response into out,
// whatever its status is. It returns the HTTP status, or 0 without a response.
func (c *Client) call(ctx context.Context, addr, path string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.request(ctx, addr, path, in)
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, fmt.Errorf("call control: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerLen))
	if err != nil {
		return 0, fmt.Errorf("answer of %s: %w", addr, err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return resp.StatusCode, fmt.Errorf("answer of %s: status %d: %s", addr, resp.StatusCode, bytes.TrimSpace(data))
	}
	return resp.StatusCode, nil
}

// request returns a POST request with in as its JSON body, or a GET request when
// in is nil.
func (c *Client) request(ctx context.Context, addr, path string, in any) (*http.Request, error) {
	scheme, method, body := "http://", http.MethodGet, io.Reader(nil)
	if c.TLS != nil {
		scheme = "https://"
	}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("encode %T: %w", in, err)
		}
		method, body = http.MethodPost, bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, scheme+addr+path, body)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Cr-Operator", c.Operator)
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return r, nil
}

// tryInstances calls try for one instance after the other until try returns true
// or ctx ends. If try returns the address of another instance as next, that instance
// is tried next, unless it was tried in this round. tryInstances waits for retryWait
// after each round over all instances. It returns the error that try returned with
// done, or ErrUnreachable joined with the latest error once ctx has ended.
func (c *Client) tryInstances(ctx context.Context, try func(addr string) (done bool, next string, err error)) error {
	addrs := slices.Clone(c.Control)
	var lastErr error
	for ctx.Err() == nil {
		tried := map[string]bool{}
		for queue := slices.Clone(addrs); len(queue) > 0 && ctx.Err() == nil; {
			addr := queue[0]
			queue = queue[1:]
			if tried[addr] {
				continue
			}
			tried[addr] = true
			done, next, err := try(addr)
			if done {
				return err
			}
			if err != nil {
				lastErr = err
			}
			if next != "" && !tried[next] {
				queue = slices.Insert(queue, 0, next)
				addrs = slices.Insert(slices.DeleteFunc(addrs, func(a string) bool { return a == next }), 0, next)
			}
		}
		c.Pause(ctx, retryWait)
	}
	return errors.Join(ErrUnreachable, lastErr)
}
