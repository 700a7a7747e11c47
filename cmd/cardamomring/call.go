package main

import (
	"context"
	"crypto/rand"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamomring.dev/pkg/crcall"
)

// exitUnknownOutcome is the exit code when at least one request may or may not have
// run.
const exitUnknownOutcome = 3

// keyPerRequest is the value of --key that generates a new idempotency key for each
// request.
const keyPerRequest = "new"

// callArgs are the arguments of call.
type callArgs struct {
	URL      string        `arg:"positional,required" placeholder:"URL" help:"https://IP:PORT/PATH of a service, or of a plain listener with --plain"`
	Method   string        `arg:"-X,--method" placeholder:"METHOD" help:"GET, or POST with --data, when absent"`
	Data     string        `arg:"-d,--data" placeholder:"TEXT" help:"body; @FILE reads a file; %d stands for the request's number"`
	Header   []string      `arg:"-H,--header,separate" placeholder:"NAME:VALUE" help:"header; may stand more than once"`
	Key      string        `arg:"-k,--key" placeholder:"KEY" help:"idempotency key; \"new\" draws a fresh one for each request"`
	Repeat   bool          `arg:"--repeat" help:"the request may run more than once without harm"`
	CA       string        `arg:"--ca" placeholder:"FILE" help:"PEM file of the authorities to trust; none are trusted without it"`
	Plain    bool          `arg:"--plain" help:"HTTP/1.1 to a balancer's plain listener in place of HTTP/3"`
	Service  string        `arg:"--service" placeholder:"NAME" help:"service to select on a plain listener"`
	Deadline time.Duration `arg:"--deadline" default:"10s" help:"time for each request, with all its tries"`
	Count    int           `arg:"-n,--count" default:"1" placeholder:"N" help:"number of requests; more than one prints a summary"`
	Parallel int           `arg:"-p,--parallel" default:"1" placeholder:"N" help:"callers at once, each with its own connection"`
}

// callRun sends the requests of one call command and counts their outcomes.
type callRun struct {
	args   *callArgs
	body   []byte
	roots  *x509.CertPool
	out    io.Writer
	errOut io.Writer

	lastNumber    atomic.Int64
	mu            sync.Mutex
	outcomeCounts [crcall.OutcomeUnknown + 1]int
	maxLatency    time.Duration
	// reasonCounts counts requests that were not done, by outcome and reason.
	reasonCounts map[string]int
}

// runCall sends requests and prints their outcomes.
func runCall(ctx context.Context, a *callArgs, out, errOut io.Writer) int {
	c := &callRun{args: a, out: out, errOut: errOut, reasonCounts: map[string]int{}}
	if err := c.readFiles(); err != nil {
		fmt.Fprintf(errOut, "call: %v\n", err)
		return exitUsage
	}
	var workers sync.WaitGroup
	for range max(a.Parallel, 1) {
		workers.Go(func() { c.run(ctx) })
	}
	workers.Wait()
	return c.printSummary()
}

// readFiles reads the body and the authorities to trust, and sets the default
// method.
func (c *callRun) readFiles() error {
	c.body = []byte(c.args.Data)
	if file, ok := strings.CutPrefix(c.args.Data, "@"); ok {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		c.body = data
	}
	if c.args.Method == "" {
		c.args.Method = http.MethodGet
		if c.args.Data != "" {
			c.args.Method = http.MethodPost
		}
	}
	roots := x509.NewCertPool()
	if c.args.CA != "" {
		data, err := os.ReadFile(c.args.CA)
		if err != nil {
			return err
		}
		if !roots.AppendCertsFromPEM(data) {
			return fmt.Errorf("%s holds no certificate", c.args.CA)
		}
	}
	if !c.args.Plain && c.args.CA == "" {
		return errors.New("name the authorities to trust with --ca, or use --plain")
	}
	c.roots = roots
	return nil
}

// run sends requests over its own connection until no request number is left.
func (c *callRun) run(ctx context.Context) {
	client := &crcall.Client{Roots: c.roots, Plain: c.args.Plain}
	client.Open()
	defer func() { _ = client.Close() }()
	for i := int(c.lastNumber.Add(1)); i <= c.args.Count && ctx.Err() == nil; i = int(c.lastNumber.Add(1)) {
		start := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, c.args.Deadline)
		answer := client.Do(callCtx, c.newRequest(i))
		cancel()
		c.record(answer, time.Since(start))
	}
}

// newRequest returns the request with number i.
func (c *callRun) newRequest(i int) *crcall.Request {
	req := &crcall.Request{
		Method: c.args.Method, URL: c.args.URL, Host: c.args.Service, Header: http.Header{},
		Body: []byte(strings.ReplaceAll(string(c.body), "%d", fmt.Sprint(i))),
		Key:  c.args.Key, Repeatable: c.args.Repeat || c.args.Method == http.MethodGet,
	}
	if req.Key == keyPerRequest {
		req.Key = rand.Text()
	}
	for _, line := range c.args.Header {
		name, value, _ := strings.Cut(line, ":")
		req.Header.Add(name, strings.TrimSpace(value))
	}
	return req
}

// record counts an answer. It prints the answer if there is only one request.
func (c *callRun) record(a crcall.Answer, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomeCounts[a.Outcome]++
	c.maxLatency = max(c.maxLatency, latency)
	if a.Outcome != crcall.OutcomeDone {
		c.reasonCounts[fmt.Sprintf("%s: %s", a.Outcome, a.Reason)]++
	}
	if c.args.Count > 1 {
		return
	}
	_, _ = c.out.Write(a.Body)
	fmt.Fprintf(c.errOut, "%s", a.Outcome)
	if a.Reason != "" {
		fmt.Fprintf(c.errOut, " (%s)", a.Reason)
	}
	fmt.Fprintf(c.errOut, ", status %d, tries %d\n", a.Status, a.Tries)
}

// printSummary prints a summary if there were several requests, and returns the exit
// code.
func (c *callRun) printSummary() int {
	done, notrun, unknown := c.outcomeCounts[crcall.OutcomeDone], c.outcomeCounts[crcall.OutcomeNotrun], c.outcomeCounts[crcall.OutcomeUnknown]
	if c.args.Count > 1 {
		fmt.Fprintf(c.out, "done %d, notrun %d, unknown %d, longest %s\n",
			done, notrun, unknown, c.maxLatency.Round(time.Millisecond))
		for _, reason := range slices.Sorted(maps.Keys(c.reasonCounts)) {
			fmt.Fprintf(c.errOut, "%d %s\n", c.reasonCounts[reason], reason)
		}
	}
	switch {
	case unknown > 0:
		return exitUnknownOutcome
	case notrun > 0 || done == 0:
		return exitFailed
	default:
		return exitOK
	}
}
