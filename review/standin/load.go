package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ledgerAddr and feedAddr are the addresses of the routes. No process binds them.
var (
	ledgerAddr = netip.MustParseAddrPort("198.18.0.1:8080")
	feedAddr   = netip.MustParseAddrPort("198.18.0.2:8443")
)

// configText returns a configuration with the route of the service ledger, and with that
// of the service feed if withFeed is set.
func configText(version int, withFeed bool) string {
	target := ""
	if withFeed {
		target = "feed"
	}
	return configWith(version, target)
}

// movedConfigText returns a configuration in which the service ledger gets the flows of
// both routes.
func movedConfigText(version int) string { return configWith(version, "ledger") }

// configWith returns a configuration whose second route leads to a service; it has one
// route only if that is empty.
func configWith(version int, target string) string {
	routes := `{"name":"r-1","host":"198.18.0.1","path_prefix":"/8080/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"ledger","max_attempts":2}`
	if target != "" {
		routes += `,{"name":"r-2","host":"198.18.0.2","path_prefix":"/8443/","type":"non_idempotent","timeout_ms":1200,"target_latency_ms":200,"priority":2,"service":"` + target + `","max_attempts":2}`
	}
	const service = `{"name":%q,"health_path":"/health","max_conns":2000,"protocol":"h1","tls":false,"cold_start_s":2.0,"cold_per_s":0.0}`
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s,%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":%d}}`,
		version, routes, fmt.Sprintf(service, "ledger"), fmt.Sprintf(service, "feed"), idleTimeout.Milliseconds())
}

// idleTimeout is idle_timeout_ms of the configuration.
const idleTimeout = 4 * time.Second

// load counts the requests of all clients.
type load struct {
	served, reset, failed atomic.Int64

	mu sync.Mutex
	// sentAt is when each request was sent.
	sentAt map[string]time.Time
}

// startLoad lets the clients of each zone send a request every interval until the site
// stops.
func (s *site) startLoad(interval time.Duration) *load {
	l := &load{sentAt: map[string]time.Time{}}
	for _, c := range s.groups {
		go func() {
			for s.ctx.Err() == nil {
				go l.send(c)
				time.Sleep(interval)
			}
		}()
	}
	return l
}

func (l *load) send(c *clients) {
	at := time.Now()
	id, res := c.request(ledgerAddr)
	l.mu.Lock()
	l.sentAt[id] = at
	l.mu.Unlock()
	switch res {
	case resultServed:
		l.served.Add(1)
	case resultReset:
		l.reset.Add(1)
	default:
		l.failed.Add(1)
	}
}

// firstVersion is the version of the first configuration.
const firstVersion = 7

// ready sends the first configuration and waits until clients of all zones are served.
func (s *site) ready() error {
	o := &operator{s}
	acked := false
	for begun := time.Now(); !acked && time.Since(begun) < 25*time.Second; {
		_, acked = o.order(http.MethodPut, "/-/config", configText(firstVersion, true))
	}
	if !acked {
		return fmt.Errorf("the first configuration wasn't acknowledged")
	}
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		served := 0
		for _, c := range s.groups {
			if _, res := c.request(ledgerAddr); res == resultServed {
				served++
			}
		}
		if served == len(s.groups) {
			return nil
		}
	}
	return fmt.Errorf("clients aren't served")
}

// leader returns the machine whose control process leads, by its metrics, and another
// one.
func (s *site) leader() (leader, follower *machine) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for _, m := range s.controls {
		resp, err := client.Get(fmt.Sprintf("http://%s:9401/metrics", m.ip))
		if err != nil {
			continue
		}
		leads := false
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			leads = leads || strings.HasPrefix(lines.Text(), "cardamomring_control_leading 1") || strings.HasSuffix(lines.Text(), "_leading 1")
		}
		_ = resp.Body.Close()
		if leads {
			leader = m
		} else {
			follower = m
		}
	}
	return leader, follower
}

// runsIn returns the runs in a zone of requests whose flows were opened and that were
// sent after a moment.
func (s *site) runsIn(zone string, after time.Time, l *load) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range s.runs {
		if r.zone == zone && r.openedAt.After(after) && l.sentAt[r.id].After(after) {
			out = append(out, r)
		}
	}
	return out
}
