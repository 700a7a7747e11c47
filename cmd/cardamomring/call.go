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

// exitUnknown says that a request may or may not have run.
const exitUnknown = 3

// keyFresh as a key draws a fresh one for each request.
const keyFresh = "new"

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

// calls sends the requests of one command.
type calls struct {
	args   *callArgs
	body   []byte
	roots  *x509.CertPool
	out    io.Writer
	errOut io.Writer

	next    atomic.Int64
	mu      sync.Mutex
	counts  [crcall.OutcomeUnknown + 1]int
	longest time.Duration
	// reasons counts why requests were not done.
	reasons map[string]int
}

// runCall sends requests and says what became of them.
func runCall(ctx context.Context, a *callArgs, out, errOut io.Writer) int {
	c := &calls{args: a, out: out, errOut: errOut, reasons: map[string]int{}}
	if err := c.open(); err != nil {
		fmt.Fprintf(errOut, "call: %v\n", err)
		return exitUsage
	}
	var workers sync.WaitGroup
	for range max(a.Parallel, 1) {
		workers.Go(func() { c.run(ctx) })
	}
	workers.Wait()
	return c.report()
}

// open reads the files that the arguments name.
func (c *calls) open() error {
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

// run sends requests over a connection of its own until all are taken.
func (c *calls) run(ctx context.Context) {
	client := &crcall.Client{Roots: c.roots, Plain: c.args.Plain}
	client.Open()
	defer func() { _ = client.Close() }()
	for i := int(c.next.Add(1)); i <= c.args.Count && ctx.Err() == nil; i = int(c.next.Add(1)) {
		begin := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, c.args.Deadline)
		answer := client.Do(callCtx, c.request(i))
		cancel()
		c.note(answer, time.Since(begin))
	}
}

// request returns request number i.
func (c *calls) request(i int) *crcall.Request {
	req := &crcall.Request{
		Method: c.args.Method, URL: c.args.URL, Host: c.args.Service, Header: http.Header{},
		Body: []byte(strings.ReplaceAll(string(c.body), "%d", fmt.Sprint(i))),
		Key:  c.args.Key, Repeatable: c.args.Repeat || c.args.Method == http.MethodGet,
	}
	if req.Key == keyFresh {
		req.Key = rand.Text()
	}
	for _, line := range c.args.Header {
		name, value, _ := strings.Cut(line, ":")
		req.Header.Add(name, strings.TrimSpace(value))
	}
	return req
}

// note counts an answer, and prints the only one.
func (c *calls) note(a crcall.Answer, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[a.Outcome]++
	c.longest = max(c.longest, took)
	if a.Outcome != crcall.OutcomeDone {
		c.reasons[fmt.Sprintf("%s: %s", a.Outcome, a.Reason)]++
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

// report prints the summary of several requests and returns the exit code.
func (c *calls) report() int {
	done, notrun, unknown := c.counts[crcall.OutcomeDone], c.counts[crcall.OutcomeNotrun], c.counts[crcall.OutcomeUnknown]
	if c.args.Count > 1 {
		fmt.Fprintf(c.out, "done %d, notrun %d, unknown %d, longest %s\n",
			done, notrun, unknown, c.longest.Round(time.Millisecond))
		for _, reason := range slices.Sorted(maps.Keys(c.reasons)) {
			fmt.Fprintf(c.errOut, "%d %s\n", c.reasons[reason], reason)
		}
	}
	switch {
	case unknown > 0:
		return exitUnknown
	case notrun > 0 || done == 0:
		return exitFailed
	default:
		return exitOK
	}
}
