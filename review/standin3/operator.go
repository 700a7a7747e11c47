package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// route is a route of a configuration.
type route struct {
	name, host string
	port       int
	kind       string
	service    string
}

// configText returns a configuration in the platform's form.
func configText(version int, routes []route, services ...string) string {
	var rs, ss []string
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%d/","type":%q,"timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":%q,"max_attempts":2}`,
			r.name, r.host, r.port, r.kind, r.service))
	}
	for _, s := range services {
		ss = append(ss, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":2000,"protocol":"h1","tls":false,"cold_start_s":2.0,"cold_per_s":0.0}`, s))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, strings.Join(rs, ","), strings.Join(ss, ","))
}

// operator sends orders as PROTOCOL.md says: to one daemon, and after a failure, a 5xx or a
// second without a response unchanged to another one, with increasing pauses.
type operator struct {
	f      *fleet
	name   string
	client http.Client
}

func newOperator(f *fleet, name string) *operator {
	o := &operator{f: f, name: name, client: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	o.client.CheckRedirect = func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}
	return o
}

// call makes one call; status is 0 without a response.
func (o *operator) call(method, ip, path, body string) (status int, text string) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, portControl, path), strings.NewReader(body))
	if err != nil {
		cannotRun("%v", err)
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// order sends an order until it is acknowledged, at most for d, first to the first control
// instance of the list. It returns when it was acknowledged.
func (o *operator) order(what, method, path, body string, d time.Duration, controls ...*proc) (time.Time, bool) {
	end := time.Now().Add(d)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		c := controls[i%len(controls)]
		o.f.rec.logf("%s sends %s to %s", o.name, what, c.name)
		status, text := o.call(method, c.ip, path, body)
		o.f.rec.logf("%s: %s at %s: status %d %s", o.name, what, c.name, status, strings.TrimSpace(text[:min(len(text), 90)]))
		if status/100 == 2 {
			return time.Now(), true
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return time.Now(), false
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return time.Time{}, false
}
