package main

import (
	"context"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/pkg/crcall"
)

// Range of the recorded latencies in microseconds, and their significant digits.
const (
	latencyMin    = 1
	latencyMax    = 60_000_000
	latencyDigits = 3
)

// requestTimeout limits one request with all its tries.
const requestTimeout = 8 * time.Second

// demoClass is one class of requests to a service.
type demoClass struct {
	service, name string
	method, path  string
	repeatable    bool
	// callers is the number of callers, each with its own connection.
	callers int
	// pause is the time that a caller waits between two requests.
	pause time.Duration
	// burstOnly means that the callers send only from burstStart to burstEnd.
	burstOnly bool
}

// demoClasses are the request classes of both customers.
var demoClasses = []demoClass{
	{"loftbook", "clocking", http.MethodPost, "/clockings", false, 12, 10 * time.Millisecond, true},
	{"loftbook", "lookup", http.MethodGet, "/bands/7", true, 12, 5 * time.Millisecond, false},
	{"pedigree-press", "sheet", http.MethodGet, "/sheets/7", true, 4, 20 * time.Millisecond, false},
	{"spaarpot-core", "balance", http.MethodGet, "/balances/3", true, 8, 20 * time.Millisecond, false},
	{"spaarpot-core", "deposit", http.MethodPost, "/deposits", false, 4, 40 * time.Millisecond, false},
	{"afschrift", "statement", http.MethodGet, "/statements/11", true, 4, 30 * time.Millisecond, false},
}

// demoCaller sends requests of one class.
type demoCaller struct {
	demo   *demo
	class  int
	number int
	client *crcall.Client
}

// demoTally counts the outcomes of requests by class.
type demoTally struct {
	mu      sync.Mutex
	classes []demoCount
	// answeredKeys are the idempotency keys of answered requests. Each such request
	// has its key as the body.
	answeredKeys []string
}

// demoCount holds the counts and latencies of one class, for the whole demo and for
// the window since the last progress report.
type demoCount struct {
	outcomes        [crcall.OutcomeUnknown + 1]int
	windowOutcomes  [crcall.OutcomeUnknown + 1]int
	latencies       *hdrhistogram.Histogram
	windowLatencies *hdrhistogram.Histogram
}

// newDemoTally returns an empty tally.
func newDemoTally() *demoTally {
	t := &demoTally{classes: make([]demoCount, len(demoClasses))}
	for i := range t.classes {
		t.classes[i].latencies = hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
		t.classes[i].windowLatencies = hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	}
	return t
}

// newCallers returns the callers. They trust the demo's certificate authority.
func (d *demo) newCallers(dir string) ([]*demoCaller, error) {
	data, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(data)
	var out []*demoCaller
	for i := range demoClasses {
		for n := range demoClasses[i].callers {
			out = append(out, &demoCaller{demo: d, class: i, number: n, client: &crcall.Client{Roots: roots}})
		}
	}
	return out, nil
}

// run sends one request after another until ctx ends. It finishes a request that is
// in progress at that time.
func (c *demoCaller) run(ctx context.Context) {
	c.client.Open()
	defer func() { _ = c.client.Close() }()
	class := &demoClasses[c.class]
	if class.burstOnly {
		crnet.Pause(ctx, c.demo.timeOf(burstStart)-time.Since(c.demo.startTime))
	}
	for i := 0; ctx.Err() == nil; i++ {
		if class.burstOnly && time.Since(c.demo.startTime) > c.demo.timeOf(burstEnd) {
			return
		}
		c.send(i)
		crnet.Pause(ctx, class.pause)
	}
}

// send sends request number i.
func (c *demoCaller) send(i int) {
	class := &demoClasses[c.class]
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req := &crcall.Request{
		Method: class.method, Repeatable: class.repeatable,
		URL: "https://" + c.demo.deployment.ServiceAddr(class.service) + class.path,
	}
	if !class.repeatable {
		req.Key = fmt.Sprintf("%s-%d-%d", class.name, c.number, i)
		req.Body = []byte(req.Key)
	}
	start := time.Now()
	answer := c.client.Do(ctx, req)
	c.demo.tally.record(c.class, answer.Outcome, time.Since(start), req.Key)
}

// record counts an answer. The key is empty for a request without one.
func (t *demoTally) record(class int, outcome crcall.Outcome, latency time.Duration, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.classes[class]
	c.outcomes[outcome]++
	c.windowOutcomes[outcome]++
	_ = c.latencies.RecordValue(min(latency.Microseconds(), latencyMax))
	_ = c.windowLatencies.RecordValue(min(latency.Microseconds(), latencyMax))
	if key != "" && outcome == crcall.OutcomeDone {
		t.answeredKeys = append(t.answeredKeys, key)
	}
}
