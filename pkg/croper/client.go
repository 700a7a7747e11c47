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
	// callTimeout bounds one call to one instance.
	callTimeout = 5 * time.Second
	// retryWait is the pause after a round over all instances.
	retryWait = 200 * time.Millisecond
	// answerMax bounds an answer, in bytes.
	answerMax = 64 << 20
)

// ErrUnreachable says that no instance gave an answer that counts. A change
// may or may not be in force.
var ErrUnreachable = errors.New("no control instance answered for the quorum")

// Client talks to the control instances. Set the exported fields before use.
type Client struct {
	// Control lists the host:port of each control instance. Not empty.
	Control []string
	// Token proves the operator; empty sends none.
	Token string
	// Operator is the name to show where control admits every operator.
	Operator string
	// TLS is the client's side of TLS; nil calls plain HTTP.
	TLS *tls.Config
	// NewID returns IDs of changes; nil takes random ones.
	NewID func() string

	http *http.Client
}

// Open makes the client ready; call it once before use.
func (c *Client) Open() {
	c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS}}
	if c.NewID == nil {
		c.NewID = rand.Text
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call makes one call to one instance and decodes its JSON answer of any
// status into out.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerMax))
	if err != nil {
		return 0, fmt.Errorf("answer of %s: %w", addr, err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return resp.StatusCode, fmt.Errorf("answer of %s: status %d: %s", addr, resp.StatusCode, bytes.TrimSpace(data))
	}
	return resp.StatusCode, nil
}

// request builds a request: a POST of in, or a GET when it is nil.
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

// each calls try with one instance after the other until it returns true or
// ctx ends. An instance that try names goes next.
func (c *Client) each(ctx context.Context, try func(addr string) (done bool, next string, err error)) error {
	order := slices.Clone(c.Control)
	var last error
	for i := 0; ; i++ {
		done, next, err := try(order[i%len(order)])
		if done {
			return err
		}
		if err != nil {
			last = err
		}
		if next != "" && next != order[i%len(order)] {
			order = slices.Insert(slices.DeleteFunc(order, func(a string) bool { return a == next }), 0, next)
			i = -1
		}
		if (i+1)%len(order) == 0 {
			crnet.Pause(ctx, retryWait)
		}
		if ctx.Err() != nil {
			return errors.Join(ErrUnreachable, last)
		}
	}
}
