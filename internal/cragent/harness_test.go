package cragent_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/cragent"
	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// childSettings is set in a child process that is an agent.
const childSettings = "CRAGENT_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if text := os.Getenv(childSettings); text != "" {
		os.Exit(runChild(text))
	}
	os.Exit(m.Run())
}

// runChild is an agent until standard input ends.
func runChild(text string) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var settings crdoc.Settings
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		return 1
	}
	agent := &cragent.Agent{
		Settings: &settings, Registry: prometheus.NewRegistry(), Logf: func(string, ...any) {},
		Ready: func(run string) { fmt.Println(run) },
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	if err := agent.Run(ctx); err != nil {
		return 1
	}
	return 0
}

// control stands in for a control instance: the real state machine behind
// one mutex.
type control struct {
	mu     sync.Mutex
	state  *crstate.State
	source *crfeed.Source
	server *httptest.Server
	// frozen delays the answer to claims.
	frozen time.Duration
	// lost counts down claims whose answer is lost.
	lost int
	// refused counts down claims that find no leader.
	refused int
}

func startControl(t *testing.T, doc *crdoc.Service) *control {
	t.Helper()
	c := newControl(doc)
	c.server.Start()
	t.Cleanup(c.server.Close)
	return c
}

// newControl returns a control instance that doesn't listen yet.
func newControl(doc *crdoc.Service) *control {
	c := &control{state: crstate.New(), source: crfeed.NewSource(crfeed.EmptyView())}
	c.apply(crstate.Entry{Kind: crwire.KindApply, Change: &crwire.Change{ID: "1", Kind: crwire.KindApply, Service: doc}})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /feed", c.serveFeed)
	mux.HandleFunc("POST /announce", c.serveAnnounce)
	mux.HandleFunc("POST /claim", c.serveClaim)
	mux.HandleFunc("POST /settle", c.serveSettle)
	c.server = httptest.NewUnstartedServer(mux)
	return c
}

func (c *control) addr() string { return c.server.Listener.Addr().String() }

func (c *control) apply(e crstate.Entry) crstate.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Time = time.Now()
	reply := c.state.Apply(e)
	if reply.Delta != nil {
		if err := c.source.Add(reply.Delta); err != nil {
			c.source.Reset(c.state.View())
		}
	}
	return reply
}

func (c *control) serveFeed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	crnet.WriteJSON(w, http.StatusOK, c.source.PollFeed(r.Context(), after, 100*time.Millisecond))
}

func (c *control) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a crwire.Announce
	if !crnet.ReadJSON(w, r, 1<<16, &a) {
		return
	}
	known := false
	for _, m := range c.source.View().Members {
		a.Member.Num = m.Num
		known = known || m == a.Member
	}
	if !known {
		c.apply(crstate.Entry{Kind: crwire.KindMembers, Members: []crwire.Member{a.Member}})
	}
	crnet.WriteJSON(w, http.StatusOK, crwire.AnnounceResponse{})
}

func (c *control) serveClaim(w http.ResponseWriter, r *http.Request) {
	var claim crwire.Claim
	if !crnet.ReadJSON(w, r, 1<<16, &claim) {
		return
	}
	if c.refuses() {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
		return
	}
	reply := c.apply(crstate.Entry{Kind: crwire.KindClaims, Claims: []crwire.Claim{claim}})
	c.mu.Lock()
	frozen, lost := c.frozen, c.lost > 0
	c.lost--
	c.mu.Unlock()
	time.Sleep(frozen)
	if lost {
		panic(http.ErrAbortHandler)
	}
	crnet.WriteJSON(w, http.StatusOK, reply.ClaimResults[0])
}

func (c *control) serveSettle(w http.ResponseWriter, r *http.Request) {
	var s crwire.Settle
	if !crnet.ReadJSON(w, r, 1<<16, &s) {
		return
	}
	c.apply(crstate.Entry{Kind: crwire.KindOutcomes, Settles: []crwire.Settle{s}})
	crnet.WriteJSON(w, http.StatusOK, struct{}{})
}

// document is a service with lookups, deposits and clockings.
func document(deadline time.Duration) *crdoc.Service {
	d := crdoc.Duration(deadline)
	return &crdoc.Service{
		Name: "core", Zones: []string{"a"}, OutcomeRetention: crdoc.Duration(time.Hour),
		Limit: crdoc.Limit{Start: 8, Max: 64, Headroom: 0.2},
		Classes: []crdoc.Class{
			{Name: "lookup", Repeatable: true, Weight: 1, Deadline: d, Match: []crdoc.Match{{Prefix: "/"}}},
			{Name: "deposit", Weight: 1, Deadline: d, Match: []crdoc.Match{{Method: "POST", Prefix: "/deposits"}}},
			{Name: "clocking", Priority: true, Deadline: d, Match: []crdoc.Match{{Method: "POST", Prefix: "/clockings"}}},
		},
	}
}

func startBackend(t *testing.T, s crfake.Switches) *crfake.Backend {
	t.Helper()
	b := &crfake.Backend{Addr: "127.0.0.1:0", Name: "fake", Switches: s}
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// child is an agent in a process of its own.
type child struct {
	addr string
	cmd  *exec.Cmd
	in   io.Closer
}

func startAgent(t *testing.T, name, backend string, control ...string) *child {
	t.Helper()
	return startAgentWith(t, crdoc.Settings{
		Name: name, Zone: "a", Zones: []string{"a"}, Control: control,
		Agent: &crdoc.Agent{Service: "core", Host: name, Backend: backend, Listen: "127.0.0.1:0", Weight: 1},
	})
}

func startAgentWith(t *testing.T, settings crdoc.Settings) *child {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(exe)
	cmd.Env = append(os.Environ(), childSettings+"="+string(text))
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	c := &child{cmd: cmd, in: in}
	t.Cleanup(c.kill)
	line := bufio.NewScanner(out)
	if !line.Scan() {
		t.Fatal("the agent said no address")
	}
	c.addr = line.Text()
	return c
}

// kill ends the process as a crash does.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.in.Close()
	_ = c.cmd.Wait()
}

func newCaller(t *testing.T) *crrun.Client {
	t.Helper()
	client := &crnet.Client{}
	client.Open()
	t.Cleanup(client.Close)
	return &crrun.Client{HTTP: client}
}

// request returns a request of a caller.
func request(method, path, key, body string) *crrun.Request {
	r := &crrun.Request{
		Service: "core", ID: strconv.FormatInt(ids.next(), 36), Method: method, Target: path,
		Header: http.Header{}, Body: []byte(body), Key: key,
	}
	if key != "" {
		r.Header.Set(crwire.HeaderKey, key)
	}
	return r
}

// ids numbers requests.
var ids counter

type counter struct {
	mu sync.Mutex
	n  int64
}

func (c *counter) next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

// settle waits until an agent has its view and knows n other agents.
func settleView(t *testing.T, c *control, n int, addrs ...string) {
	t.Helper()
	for len(c.source.View().Members) < n {
		time.Sleep(5 * time.Millisecond)
	}
	for _, addr := range addrs {
		waitRevision(t, newCaller(t).HTTP, addr, c.source.View().Revision)
	}
}

func waitRevision(t *testing.T, client *crnet.Client, addr string, rev uint64) {
	t.Helper()
	for t.Context().Err() == nil {
		var feed crwire.Feed
		if err := client.JSON(t.Context(), addr, "/feed?after=0&wait=0s", nil, &feed); err == nil && feed.Revision >= rev {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// claim claims a key for an attempt that never runs.
func (c *control) claim(key string, req *crrun.Request) {
	sum := sha256.Sum256([]byte(req.Method + "\x00" + req.Target + "\x00" + string(req.Body)))
	c.apply(crstate.Entry{Kind: crwire.KindClaims, Claims: []crwire.Claim{{
		Service: "core", Key: key, Digest: hex.EncodeToString(sum[:]), Attempt: "crashed",
	}}})
}

// refuse lets the next n claims find no leader.
func (c *control) refuse(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = n
}

// refuses counts a claim down.
func (c *control) refuses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused--
	return c.refused >= 0
}

// freeze delays the answers to claims.
func (c *control) freeze(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = d
}

// claimed tells whether a key is claimed.
func (c *control) claimed(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Claims["core"][key] != nil
}
