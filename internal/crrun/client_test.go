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

// script is a server that answers the n-th request, over all connections,
// with the n-th text and closes the connection on an empty one.
type script struct {
	answers []string

	mu       sync.Mutex
	seen     []string
	listener net.Listener
	loops    sync.WaitGroup
}

func startScript(t *testing.T, answers ...string) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{answers: answers, listener: l}
	s.loops.Go(s.run)
	t.Cleanup(s.stop)
	return s
}

func (s *script) addr() string { return s.listener.Addr().String() }

func (s *script) stop() {
	_ = s.listener.Close()
	s.loops.Wait()
}

func (s *script) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.loops.Go(func() { s.loop(conn) })
	}
}

func (s *script) loop(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.note(r)
		if answer == "" {
			return
		}
		fmt.Fprint(conn, answer)
		if answer[len(answer)-1] == '!' {
			return
		}
	}
}

// requests returns what arrived so far.
func (s *script) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.seen)
}

// note records a request and returns its answer.
func (s *script) note(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, r.Method+" "+r.URL.Path)
	if len(s.seen) > len(s.answers) {
		return ""
	}
	return s.answers[len(s.seen)-1]
}

func newCaller(t *testing.T) *crrun.Client {
	t.Helper()
	client := &crnet.Client{}
	client.Open()
	t.Cleanup(client.Close)
	return &crrun.Client{HTTP: client}
}

// told is what an answer tells its caller.
type told struct {
	Outcome crwire.Outcome
	Reason  string
	Status  int
	Body    string
}

func tell(a crrun.Answer) told {
	out := told{Outcome: a.Outcome, Reason: a.Reason, Status: a.Status}
	if a.Reason == "" {
		out.Body = string(a.Body)
	}
	return out
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestBackendAnswers(t *testing.T) {
	unknown := func(reason string) told {
		return told{Outcome: crwire.OutcomeUnknown, Reason: reason, Status: http.StatusGatewayTimeout}
	}
	cases := map[string]struct {
		answer string
		want   told
	}{
		"whole":     {okAnswer, told{Outcome: crwire.OutcomeDone, Status: 200, Body: "ok"}},
		"crossed":   {"HTTP/1.1 200 OK\r\nCr-Id: other\r\nContent-Length: 2\r\n\r\nok", unknown("crossed")},
		"cut short": {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok!", unknown("truncated")},
		"cut chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok!", unknown("truncated")},
		"no length": {"HTTP/1.1 200 OK\r\n\r\nok!", unknown("truncated")},
		"shed": {
			"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
			told{Outcome: crwire.OutcomeNotrun, Reason: "shed", Status: 503},
		},
		"broken": {"", unknown("broken")},
		"redirect": {
			"HTTP/1.1 307 Elsewhere\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n",
			told{Outcome: crwire.OutcomeDone, Status: 307},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := startScript(t, c.answer, okAnswer)
			req := &crrun.Request{ID: "a", Method: "GET", Target: "/x"}
			got := tell(newCaller(t).SendToBackend(t.Context(), server.addr(), req, true))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string{"GET /x"}, server.requests()); diff != "" {
				t.Errorf("requests at the server (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRequestIsNeverSentTwiceByItself(t *testing.T) {
	run := map[string]func(c *crrun.Client, addr string, req *crrun.Request) crrun.Answer{
		"backend": func(c *crrun.Client, addr string, req *crrun.Request) crrun.Answer {
			return c.SendToBackend(t.Context(), addr, req, true)
		},
		"peer": func(c *crrun.Client, addr string, req *crrun.Request) crrun.Answer {
			return c.SendToAgent(t.Context(), addr, req)
		},
	}
	for name, call := range run {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				// The first request leaves an idle connection; the second
				// one meets its end.
				server := startScript(t, okAnswer, "", okAnswer)
				caller := newCaller(t)
				req := &crrun.Request{ID: "a", Method: method, Target: "/x", Header: http.Header{
					crwire.HeaderKey: {"k"},
				}}
				caller.SendToBackend(t.Context(), server.addr(), &crrun.Request{ID: "0", Method: "GET", Target: "/warm"}, false)
				got := call(caller, server.addr(), req)
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

func TestWhatWasNeverSentHasNotRun(t *testing.T) {
	server := startScript(t)
	server.stop()
	late, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	req := &crrun.Request{ID: "a", Method: "POST", Target: "/x"}
	caller := newCaller(t)
	got := []told{
		tell(caller.SendToBackend(t.Context(), server.addr(), req, true)),
		tell(caller.SendToAgent(t.Context(), server.addr(), req)),
		tell(caller.SendToBackend(late, server.addr(), req, true)),
	}
	want := []told{
		{Outcome: crwire.OutcomeNotrun, Reason: "unreachable", Status: 503},
		{Outcome: crwire.OutcomeNotrun, Reason: "unreachable", Status: 503},
		{Outcome: crwire.OutcomeNotrun, Reason: "timeout", Status: 503},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}
