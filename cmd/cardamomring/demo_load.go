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

// Bounds of the recorded times, in microseconds, and their digits.
const (
	tookLow    = 1
	tookHigh   = 60_000_000
	tookDigits = 3
)

// callDeadline bounds one request with all its tries.
const callDeadline = 8 * time.Second

// demoClass is one kind of request that callers of a service send.
type demoClass struct {
	service, name string
	method, path  string
	repeat        bool
	// callers is how many callers send it, each with its own connection.
	callers int
	// pause is what a caller waits between two requests.
	pause time.Duration
	// burst says that the callers send in the middle of the demo only.
	burst bool
}

// demoClasses are the callers of both customers.
var demoClasses = []demoClass{
	{"loftbook", "clocking", http.MethodPost, "/clockings", false, 12, 10 * time.Millisecond, true},
	{"loftbook", "lookup", http.MethodGet, "/bands/7", true, 12, 5 * time.Millisecond, false},
	{"pedigree-press", "sheet", http.MethodGet, "/sheets/7", true, 4, 20 * time.Millisecond, false},
	{"spaarpot-core", "balance", http.MethodGet, "/balances/3", true, 8, 20 * time.Millisecond, false},
	{"spaarpot-core", "deposit", http.MethodPost, "/deposits", false, 4, 40 * time.Millisecond, false},
	{"afschrift", "statement", http.MethodGet, "/statements/11", true, 4, 30 * time.Millisecond, false},
}

// demoCaller is one caller.
type demoCaller struct {
	demo   *demo
	class  int
	number int
	client *crcall.Client
}

// demoTally counts what callers saw, by class.
type demoTally struct {
	mu      sync.Mutex
	classes []demoCount
	// done are the bodies of keyed requests that were answered.
	done []string
}

// demoCount counts one class. The window is what the next line prints.
type demoCount struct {
	outcomes [crcall.OutcomeUnknown + 1]int
	window   [crcall.OutcomeUnknown + 1]int
	took     *hdrhistogram.Histogram
	recent   *hdrhistogram.Histogram
}

// newDemoTally returns an empty tally.
func newDemoTally() *demoTally {
	t := &demoTally{classes: make([]demoCount, len(demoClasses))}
	for i := range t.classes {
		t.classes[i].took = hdrhistogram.New(tookLow, tookHigh, tookDigits)
		t.classes[i].recent = hdrhistogram.New(tookLow, tookHigh, tookDigits)
	}
	return t
}

// newCallers makes the callers, which trust the demo's authority.
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

// run sends one request after the other until ctx ends; a request under way
// then is finished.
func (c *demoCaller) run(ctx context.Context) {
	c.client.Open()
	defer func() { _ = c.client.Close() }()
	class := &demoClasses[c.class]
	if class.burst {
		crnet.Pause(ctx, c.demo.part(burstBegins)-time.Since(c.demo.begun))
	}
	for i := 0; ctx.Err() == nil; i++ {
		if class.burst && time.Since(c.demo.begun) > c.demo.part(burstEnds) {
			return
		}
		c.send(i)
		crnet.Pause(ctx, class.pause)
	}
}

// send sends request number i.
func (c *demoCaller) send(i int) {
	class := &demoClasses[c.class]
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	req := &crcall.Request{
		Method: class.method, Repeat: class.repeat,
		URL: "https://" + c.demo.deployment.ServiceAddr(class.service) + class.path,
	}
	if !class.repeat {
		req.Key = fmt.Sprintf("%s-%d-%d", class.name, c.number, i)
		req.Body = []byte(req.Key)
	}
	begin := time.Now()
	answer := c.client.Do(ctx, req)
	c.demo.tally.note(c.class, answer.Outcome, time.Since(begin), req.Key)
}

// note counts an answer.
func (t *demoTally) note(class int, outcome crcall.Outcome, took time.Duration, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.classes[class]
	c.outcomes[outcome]++
	c.window[outcome]++
	_ = c.took.RecordValue(min(took.Microseconds(), tookHigh))
	_ = c.recent.RecordValue(min(took.Microseconds(), tookHigh))
	if key != "" && outcome == crcall.OutcomeDone {
		t.done = append(t.done, key)
	}
}
