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
	// waitTimeout limits every wait of a script. No check depends on a shorter time.
	waitTimeout = 2 * time.Minute
	// pollInterval is the time between two polls of a wait.
	pollInterval = 20 * time.Millisecond
	// loadWorkers is the number of concurrent requests of a load.
	loadWorkers = 16
	// minStartedAnswers is the number of ended requests that start-load waits for.
	minStartedAnswers = 100
)

// scriptClient sends the requests of scripts, each on its own connection, so
// that a stopped process leaves no idle connection behind.
var scriptClient = &http.Client{
	Timeout:   time.Minute,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// waitHTTP polls a URL until the response has the given status and a body that
// matches the pattern.
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
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		status, body, err := get(args[1])
		if err == nil && status == want && pattern.MatchString(body) {
			return
		}
		last = fmt.Sprintf("status %d, error %v, body:\n%s", status, err, body)
	}
	ts.Fatalf("%s did not give the expected response in time; the last one was %s", args[1], last)
}

// get returns the status and the body of a URL.
func get(url string) (int, string, error) {
	resp, err := scriptClient.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// sendHTTP sends one request and prints status, content type and body. A status of
// 400 or more fails the script, and "! http" requires it.
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

// loadCounter counts the answers of a load.
type loadCounter struct {
	workers    sync.WaitGroup
	lastNumber atomic.Int64

	mu                       sync.Mutex
	answered, refused, wrong int
	// failures describes each wrong answer, reasons counts the refusals by reason.
	failures []string
	reasons  map[string]int
}

// loadKey is the key of the load that start-load has left running.
type loadKey struct{}

// load sends N requests in parallel, each with its own body. It prints how many got
// a complete answer, how many were refused without having run, and the rest.
func load(ts *testscript.TestScript, neg bool, args []string) {
	startWorkers(ts, neg, args).print(ts)
}

// startLoad does the same as load in the background. It returns after
// minStartedAnswers requests have ended.
func startLoad(ts *testscript.TestScript, neg bool, args []string) {
	t := startWorkers(ts, neg, args)
	slot, ok := ts.Value(loadKey{}).(**loadCounter)
	if !ok {
		ts.Fatalf("the script has no slot for a load")
	}
	*slot = t
	for end := time.Now().Add(waitTimeout); t.ended() < minStartedAnswers; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("the load has not started")
		}
	}
}

// waitLoad waits for the load of start-load and prints its counts.
func waitLoad(ts *testscript.TestScript, _ bool, _ []string) {
	slot, ok := ts.Value(loadKey{}).(**loadCounter)
	if !ok || *slot == nil {
		ts.Fatalf("no load was started")
	}
	(*slot).print(ts)
}

// startWorkers starts the workers of a load.
func startWorkers(ts *testscript.TestScript, neg bool, args []string) *loadCounter {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: load PREFIX N URL...")
	}
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	t := &loadCounter{reasons: map[string]int{}}
	for range loadWorkers {
		t.workers.Go(func() { t.run(args[0], n, args[2:]) })
	}
	return t
}

// run sends requests to the URLs in turn until all n numbers are used.
func (t *loadCounter) run(prefix string, n int, urls []string) {
	for i := int(t.lastNumber.Add(1)); i <= n; i = int(t.lastNumber.Add(1)) {
		t.send(urls[i%len(urls)], fmt.Sprintf("%s-%d.", prefix, i))
	}
}

// ended returns how many requests have ended.
func (t *loadCounter) ended() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered + t.refused + t.wrong
}

// print waits for the workers and prints the counts and failures.
func (t *loadCounter) print(ts *testscript.TestScript) {
	t.workers.Wait()
	fmt.Fprintf(ts.Stdout(), "answered %d, refused %d, wrong %d\n%s",
		t.answered, t.refused, t.wrong, strings.Join(t.failures, "\n"))
	for answer, n := range t.reasons {
		fmt.Fprintf(ts.Stdout(), "refused %d: %s\n", n, answer)
	}
}

// send sends one request; the fake backend server repeats its body.
func (t *loadCounter) send(url, body string) {
	resp, err := scriptClient.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		t.addFailure("%s: %v", body, err)
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.addFailure("%s: %v", body, err)
		return
	}
	t.addAnswer(resp.StatusCode, body, string(data))
}

// addAnswer counts a complete answer as answered, refused or wrong.
func (t *loadCounter) addAnswer(status int, body, answer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case status == http.StatusOK && strings.Contains(answer, body):
		t.answered++
	case status == http.StatusServiceUnavailable && strings.Contains(answer, `"notrun"`):
		t.refused++
		t.reasons[strings.TrimSpace(answer)]++
	default:
		t.wrong++
		t.failures = append(t.failures, fmt.Sprintf("%s: status %d: %s", body, status, answer))
	}
}

// addFailure counts a request without a complete answer.
func (t *loadCounter) addFailure(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrong++
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
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

// sendTerm sends SIGTERM to the background commands that have an argument.
func sendTerm(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: term WORD")
	}
	signalCommands(ts, syscall.SIGTERM, args[0])
}

// sum checks the sum of the numbers that the first group of a pattern matches in
// files.
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
