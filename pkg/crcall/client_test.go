package crcall_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"cardamomring.dev/pkg/crcall"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// step is a response of a scripted service.
type step int

const (
	// done is an answer.
	done step = iota
	// overloaded is a refusal for lack of capacity.
	overloaded
	// invalid is a refusal that a retry can't change.
	invalid
	// unknown is a problem document with an unknown outcome.
	unknown
	// closeConn closes the connection without a response.
	closeConn
	// gatewayError is a status 503 without an outcome header.
	gatewayError
)

// service responds to each request with the next step and records its key.
type service struct {
	mu    sync.Mutex
	steps []step
	keys  []string
}

// ServeHTTP responds with the next step.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	next := s.steps[0]
	s.steps = s.steps[1:]
	s.keys = append(s.keys, r.Header.Get("Idempotency-Key"))
	s.mu.Unlock()
	switch next {
	case done:
		w.Header().Set("Cr-Outcome", "done")
		fmt.Fprint(w, "answer")
	case overloaded:
		problem(w, http.StatusServiceUnavailable, "notrun", "room")
	case invalid:
		problem(w, http.StatusNotFound, "notrun", "class")
	case unknown:
		problem(w, http.StatusGatewayTimeout, "unknown", "timeout")
	case gatewayError:
		w.WriteHeader(http.StatusServiceUnavailable)
	case closeConn:
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
}

// receivedKeys returns the keys of the requests, in order of arrival.
func (s *service) receivedKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.keys)
}

// problem writes a problem document.
func problem(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Cr-Outcome", outcome)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"outcome": %q, "reason": %q}`, outcome, reason)
}

// result holds the checked fields of an answer, and the keys that the service
// received.
type result struct {
	Outcome string
	Reason  string
	Tries   int
	Keys    []string
}

func TestOutcomes(t *testing.T) {
	keyed := crcall.Request{Method: http.MethodPost, Key: "k1"}
	unkeyed := crcall.Request{Method: http.MethodPost}
	lookup := crcall.Request{Method: http.MethodGet, Repeatable: true}
	for name, c := range map[string]struct {
		req   crcall.Request
		steps []step
		want  result
	}{
		"done":                                    {unkeyed, []step{done}, result{"done", "", 1, []string{""}}},
		"refusal is retried":                      {unkeyed, []step{overloaded, overloaded, done}, result{"done", "", 3, []string{"", "", ""}}},
		"invalid request is not retried":          {unkeyed, []step{invalid}, result{"notrun", "class", 1, []string{""}}},
		"unknown without a key":                   {unkeyed, []step{unknown}, result{"unknown", "timeout", 1, []string{""}}},
		"closed connection without a key":         {unkeyed, []step{closeConn}, result{"unknown", "EOF", 1, []string{""}}},
		"unknown with a key":                      {keyed, []step{unknown, done}, result{"done", "", 2, []string{"k1", "k1"}}},
		"gateway error with a repeatable request": {lookup, []step{gatewayError, done}, result{"done", "", 2, []string{"", ""}}},
		"gateway error without a key":             {unkeyed, []step{gatewayError}, result{"unknown", "503 Service Unavailable", 1, []string{""}}},
		"refusal after unknown":                   {keyed, []step{unknown, invalid}, result{"unknown", "timeout", 2, []string{"k1", "k1"}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &service{steps: c.steps}
			server := httptest.NewServer(s)
			defer server.Close()
			c.req.URL = server.URL
			answer := send(t, &c.req)
			got := result{answer.Outcome.String(), answer.Reason, answer.Tries, s.receivedKeys()}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCancelledContextEndsRetries also checks that each wait is at least as long
// as the Retry-After of the refusal.
func TestCancelledContextEndsRetries(t *testing.T) {
	s := &service{steps: []step{overloaded, overloaded, overloaded}}
	server := httptest.NewServer(s)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	client := &crcall.Client{Plain: true, Jitter: func() float64 { return 0 }}
	var waits []time.Duration
	client.Sleep = func(_ context.Context, d time.Duration) {
		if waits = append(waits, d); len(waits) == 2 {
			cancel()
		}
	}
	client.Open()
	answer := client.Do(ctx, &crcall.Request{Method: http.MethodPost, URL: server.URL})
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	if answer.Outcome != crcall.OutcomeNotrun || answer.Tries != 2 {
		t.Errorf("answer %+v, want notrun after 2 tries", answer)
	}
	if diff := cmp.Diff([]time.Duration{time.Second, time.Second}, waits); diff != "" {
		t.Errorf("waits, at least Retry-After (-want +got):\n%s", diff)
	}
}

func TestFailedConnectionIsNotrun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + listener.Addr().String()
	_ = listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	client := &crcall.Client{Plain: true, Sleep: func(context.Context, time.Duration) { cancel() }}
	client.Open()
	answer := client.Do(ctx, &crcall.Request{Method: http.MethodPost, URL: url})
	_ = client.Close()
	if answer.Outcome != crcall.OutcomeNotrun {
		t.Errorf("outcome %s (%s), want notrun", answer.Outcome, answer.Reason)
	}
}

// send sends one request without waits between attempts.
func send(t *testing.T, req *crcall.Request) crcall.Answer {
	t.Helper()
	client := &crcall.Client{Plain: true, Sleep: func(context.Context, time.Duration) {}}
	client.Open()
	answer := client.Do(context.Background(), req)
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	return answer
}
