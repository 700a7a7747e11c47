package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// operator sends orders to the daemons that serve control_plane. It moves on to
// another one after a failure, a 5xx or a second without a response, and closes the
// connection of a call that it has given up.
type operator struct{ s *site }

// call sends one order once and returns the status, 0 without a response.
func (o *operator) call(m *machine, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(o.s.ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, portControl, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// order sends an order to daemons in turn, at first to the given ones, until it is
// acknowledged or ackLimit has passed. It returns when the acknowledgement came.
func (o *operator) order(method, path, body string, first ...*machine) (time.Time, bool) {
	list := append([]*machine{}, first...)
	for _, m := range o.s.controls {
		if !slices.Contains(first, m) {
			list = append(list, m)
		}
	}
	begun, pause := time.Now(), 100*time.Millisecond
	for i := 0; time.Since(begun) < ackLimit; i++ {
		m := list[i%len(list)]
		o.s.record("operator sends %s %s to %s", method, path, m.name)
		status, text := o.call(m, method, path, body)
		o.s.record("operator: %s %s at %s: %d %.120s", method, path, m.name, status, text)
		switch {
		case status/100 == 2:
			return time.Now(), true
		case status/100 == 4 && status != 408 && status != 429:
			return time.Time{}, false
		}
		time.Sleep(pause)
		pause *= 2
	}
	return time.Time{}, false
}
