package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// waitMax bounds every wait of a script; no verdict depends on less.
	waitMax = 2 * time.Minute
	// waitPoll is the pause between two looks.
	waitPoll = 20 * time.Millisecond
	// loadWorkers is how many requests of a load are under way at once.
	loadWorkers = 16
	// loadStarted is how many answers start-load waits for.
	loadStarted = 100
)

// scriptClient sends the requests of scripts, each on its own connection, so
// that a stopped process leaves no idle connection behind.
var scriptClient = &http.Client{
	Timeout:   time.Minute,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// waitHTTP polls a URL until it answers with a status and a body that matches.
func waitHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 || len(args) > 3 {
		ts.Fatalf("usage: wait-http STATUS URL [PATTERN]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile("")
	if len(args) == 3 {
		pattern = regexp.MustCompile(args[2])
	}
	last := ""
	for end := time.Now().Add(waitMax); time.Now().Before(end); time.Sleep(waitPoll) {
		status, body, err := get(args[1])
		if err == nil && status == want && pattern.MatchString(body) {
			return
		}
		last = fmt.Sprintf("status %d, error %v, body:\n%s", status, err, body)
	}
	ts.Fatalf("%s has not answered as wanted; last %s", args[1], last)
}

// get fetches a URL whole.
func get(url string) (int, string, error) {
	resp, err := scriptClient.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// sendHTTP sends one request and prints status, content type and body; a
// status from 400 is a failure, which "! http" expects.
func sendHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 || len(args) > 3 {
		ts.Fatalf("usage: http METHOD URL [FILE]")
	}
	var body io.Reader
	if len(args) == 3 {
		body = strings.NewReader(ts.ReadFile(args[2]))
	}
	r, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	resp, err := scriptClient.Do(r)
	ts.Check(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "%d %s\n%s\n", resp.StatusCode, resp.Header.Get("Content-Type"), data)
	if failed := resp.StatusCode >= http.StatusBadRequest; failed != neg {
		ts.Fatalf("status %d", resp.StatusCode)
	}
}

// tally counts the answers of a load.
type tally struct {
	workers sync.WaitGroup
	next    atomic.Int64

	mu                       sync.Mutex
	answered, refused, wrong int
	// notes describe what was wrong.
	notes []string
}

// loadKey finds the load that start-load left running.
type loadKey struct{}

// load sends N requests in parallel, each with its own body, and prints how
// many were answered whole, refused as not run, and anything else.
func load(ts *testscript.TestScript, neg bool, args []string) {
	startTally(ts, neg, args).print(ts)
}

// startLoad does as load but returns as soon as a few answers have come.
func startLoad(ts *testscript.TestScript, neg bool, args []string) {
	t := startTally(ts, neg, args)
	slot, ok := ts.Value(loadKey{}).(**tally)
	if !ok {
		ts.Fatalf("the script has no slot for a load")
	}
	*slot = t
	for end := time.Now().Add(waitMax); t.total() < loadStarted; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("the load has not started")
		}
	}
}

// waitLoad waits for the load of start-load and prints as load does.
func waitLoad(ts *testscript.TestScript, _ bool, _ []string) {
	slot, ok := ts.Value(loadKey{}).(**tally)
	if !ok || *slot == nil {
		ts.Fatalf("no load was started")
	}
	(*slot).print(ts)
}

// startTally starts the workers of a load.
func startTally(ts *testscript.TestScript, neg bool, args []string) *tally {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: load PREFIX N URL...")
	}
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	t := &tally{}
	for range loadWorkers {
		t.workers.Go(func() { t.run(args[0], n, args[2:]) })
	}
	return t
}

// run sends requests, in turn over the URLs, until N are taken.
func (t *tally) run(prefix string, n int, urls []string) {
	for i := int(t.next.Add(1)); i <= n; i = int(t.next.Add(1)) {
		t.send(urls[i%len(urls)], fmt.Sprintf("%s-%d.", prefix, i))
	}
}

// total returns how many requests have ended.
func (t *tally) total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered + t.refused + t.wrong
}

// print waits for the workers and prints the counts.
func (t *tally) print(ts *testscript.TestScript) {
	t.workers.Wait()
	fmt.Fprintf(ts.Stdout(), "answered %d, refused %d, wrong %d\n%s",
		t.answered, t.refused, t.wrong, strings.Join(t.notes, "\n"))
}

// send sends one request; the fake backend server repeats its body.
func (t *tally) send(url, body string) {
	resp, err := scriptClient.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		t.note("%s: %v", body, err)
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.note("%s: %v", body, err)
		return
	}
	t.count(resp.StatusCode, body, string(data))
}

// count sorts a whole answer.
func (t *tally) count(status int, body, answer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case status == http.StatusOK && strings.Contains(answer, body):
		t.answered++
	case status == http.StatusServiceUnavailable && strings.Contains(answer, `"notrun"`):
		t.refused++
	default:
		t.wrong++
		t.notes = append(t.notes, fmt.Sprintf("%s: status %d: %s", body, status, answer))
	}
}

// note counts a request without a whole answer.
func (t *tally) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrong++
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// expectStatus runs a program to its end and checks its exit code.
func expectStatus(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: expect-status N PROGRAM ARG...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// terminate sends SIGTERM to the background commands that have an argument.
func terminate(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: term WORD")
	}
	signalAll(ts, syscall.SIGTERM, args[0])
}

// sum adds up the first group of a pattern over files.
func sum(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: sum PATTERN WANT FILE...")
	}
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	pattern, got := regexp.MustCompile(args[0]), 0
	for _, file := range args[2:] {
		for _, match := range pattern.FindAllStringSubmatch(ts.ReadFile(file), -1) {
			n, err := strconv.Atoi(match[1])
			ts.Check(err)
			got += n
		}
	}
	if got != want {
		ts.Fatalf("the sum is %d, want %d", got, want)
	}
}
