package crrun_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
)

// scriptedServer is a server that answers request n, counted over all connections,
// with answers[n]. It closes the connection instead of writing an empty answer, and
// after an answer that ends in an exclamation mark.
type scriptedServer struct {
	answers []string

	mu       sync.Mutex
	received []string
	listener net.Listener
	wg       sync.WaitGroup
}

func startScriptedServer(t *testing.T, answers ...string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{answers: answers, listener: l}
	s.wg.Go(s.run)
	t.Cleanup(s.stop)
	return s
}

func (s *scriptedServer) addr() string { return s.listener.Addr().String() }

func (s *scriptedServer) stop() {
	_ = s.listener.Close()
	s.wg.Wait()
}

func (s *scriptedServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.loop(conn) })
	}
}

func (s *scriptedServer) loop(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.record(r)
		if answer == "" {
			return
		}
		fmt.Fprint(conn, answer)
		if answer[len(answer)-1] == '!' {
			return
		}
	}
}

// requests returns the method and path of each request received so far.
func (s *scriptedServer) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// record records a request and returns the answer to it.
func (s *scriptedServer) record(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, r.Method+" "+r.URL.Path)
	if len(s.received) > len(s.answers) {
		return ""
	}
	return s.answers[len(s.received)-1]
}

func newClient(t *testing.T) *crrun.Client {
	t.Helper()
	client := &crnet.Client{}
	client.Open()
	t.Cleanup(client.Close)
	return &crrun.Client{HTTP: client}
}

// observedAnswer contains the compared parts of an answer. Body is set only if the
// reason is empty.
type observedAnswer struct {
	Outcome crwire.Outcome
	Reason  string
	Status  int
	Body    string
}

func observe(a crrun.Answer) observedAnswer {
	out := observedAnswer{Outcome: a.Outcome, Reason: a.Reason, Status: a.Status}
	if a.Reason == "" {
		out.Body = string(a.Body)
	}
	return out
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestBackendAnswers(t *testing.T) {
	unknown := func(reason string) observedAnswer {
		return observedAnswer{Outcome: crwire.OutcomeUnknown, Reason: reason, Status: http.StatusGatewayTimeout}
	}
	cases := map[string]struct {
		answer string
		want   observedAnswer
	}{
		"complete":        {okAnswer, observedAnswer{Outcome: crwire.OutcomeDone, Status: 200, Body: "ok"}},
		"other request":   {"HTTP/1.1 200 OK\r\nCr-Id: other\r\nContent-Length: 2\r\n\r\nok", unknown("crossed")},
		"truncated body":  {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok!", unknown("truncated")},
		"truncated chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok!", unknown("truncated")},
		"no length":       {"HTTP/1.1 200 OK\r\n\r\nok!", unknown("truncated")},
		"shed": {
			"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
			observedAnswer{Outcome: crwire.OutcomeNotrun, Reason: "shed", Status: 503},
		},
		"broken": {"", unknown("broken")},
		"redirect": {
			"HTTP/1.1 307 Elsewhere\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n",
			observedAnswer{Outcome: crwire.OutcomeDone, Status: 307},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := startScriptedServer(t, c.answer, okAnswer)
			req := &crrun.Request{ID: "a", Method: "GET", Target: "/x"}
			got := observe(newClient(t).SendToBackend(t.Context(), server.addr(), req, true))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string{"GET /x"}, server.requests()); diff != "" {
				t.Errorf("requests at the server (-want +got):\n%s", diff)
			}
		})
	}
}

func TestClientNeverResendsRequest(t *testing.T) {
	send := map[string]func(c *crrun.Client, addr string, req *crrun.Request) crrun.Answer{
		"backend": func(c *crrun.Client, addr string, req *crrun.Request) crrun.Answer {
			return c.SendToBackend(t.Context(), addr, req, true)
		},
		"peer": func(c *crrun.Client, addr string, req *crrun.Request) crrun.Answer {
			return c.SendToAgent(t.Context(), addr, req)
		},
	}
	for name, call := range send {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				// The first request leaves an idle connection, which the
				// server closes when the second request arrives.
				server := startScriptedServer(t, okAnswer, "", okAnswer)
				client := newClient(t)
				req := &crrun.Request{ID: "a", Method: method, Target: "/x", Header: http.Header{
					crwire.HeaderKey: {"k"},
				}}
				client.SendToBackend(t.Context(), server.addr(), &crrun.Request{ID: "0", Method: "GET", Target: "/warm"}, false)
				got := call(client, server.addr(), req)
				if got.Outcome != crwire.OutcomeUnknown {
					t.Errorf("outcome is %s, want unknown", got.Outcome)
				}
				if diff := cmp.Diff([]string{"GET /warm", method + " /x"}, server.requests()); diff != "" {
					t.Errorf("requests at the server (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func TestUnsentRequestHasNotRun(t *testing.T) {
	server := startScriptedServer(t)
	server.stop()
	expired, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	req := &crrun.Request{ID: "a", Method: "POST", Target: "/x"}
	client := newClient(t)
	got := []observedAnswer{
		observe(client.SendToBackend(t.Context(), server.addr(), req, true)),
		observe(client.SendToAgent(t.Context(), server.addr(), req)),
		observe(client.SendToBackend(expired, server.addr(), req, true)),
	}
	want := []observedAnswer{
		{Outcome: crwire.OutcomeNotrun, Reason: "unreachable", Status: 503},
		{Outcome: crwire.OutcomeNotrun, Reason: "unreachable", Status: 503},
		{Outcome: crwire.OutcomeNotrun, Reason: "timeout", Status: 503},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}
