package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// callTimeout is after which time without a response the operator moves on.
	callTimeout = time.Second
	// patientTimeout is that of the last read, which waits longer than any caller.
	patientTimeout = 8 * time.Second
	// firstBackoff and maxBackoff bound the pause between two calls.
	firstBackoff, maxBackoff = 100 * time.Millisecond, 400 * time.Millisecond
)

// serviceIP is the address of the service that the route names. Nothing listens there:
// it stands in the heads of packets only.
const serviceIP = "127.99.0.1"

// operator calls the machines that serve control in turn, as PROTOCOL.md describes.
type operator struct {
	f    *fleet
	list []*machine
	next int
}

// config returns a configuration with one service and two routes.
func config(version int, routeType string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"path_prefix":"/8443/","type":%q,"timeout_ms":%d,"target_latency_ms":500,"priority":1,"service":"ledger","max_attempts":2}],"services":[{"name":"ledger","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, serviceIP, routeType, 6000+version)
}

// call sends a call to one machine and returns the status and the body; 0 without a
// response.
func (o *operator) call(m *machine, method, path, body string) (int, string) {
	return o.callFor(callTimeout, m, method, path, body)
}

// callFor is call with another timeout.
func (o *operator) callFor(d time.Duration, m *machine, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.addr(o.f.ports.control)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "no response"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "no response"
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// put sends a configuration until it is acknowledged, at most for d. It returns the
// machine that acknowledged it, nil if none did.
func (o *operator) put(version int, body string, d time.Duration) *machine {
	deadline, backoff := time.Now().Add(d), firstBackoff
	for time.Now().Before(deadline) {
		m := o.list[o.next%len(o.list)]
		status, text := o.call(m, http.MethodPut, "/-/config", body)
		o.f.note("operator: PUT version %d at %s: %d %.90s", version, m.name, status, text)
		if status == http.StatusOK {
			return m
		}
		o.next++
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// read reads the configuration until a machine answers with 200, at most for d. It
// returns the version, 0 if it doesn't come.
func (o *operator) read(d time.Duration) int {
	deadline, backoff := time.Now().Add(d), firstBackoff
	for time.Now().Before(deadline) {
		m := o.list[o.next%len(o.list)]
		status, text := o.call(m, http.MethodGet, "/-/config", "")
		o.next++
		if status != http.StatusOK {
			o.f.note("operator: GET at %s: %d %.90s", m.name, status, text)
			time.Sleep(backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		var c struct {
			Version int `json:"version"`
		}
		err := json.Unmarshal([]byte(text), &c)
		o.f.note("operator: GET at %s: 200, version %d, error %v", m.name, c.Version, err)
		return c.Version
	}
	for _, m := range o.list {
		status, text := o.callFor(patientTimeout, m, http.MethodGet, "/-/config", "")
		o.f.note("operator: GET at %s with a timeout of %s: %d %.90s", m.name, patientTimeout, status, text)
	}
	return 0
}
