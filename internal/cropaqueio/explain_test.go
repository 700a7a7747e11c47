package cropaqueio_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/cropaqueio"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// explainView is a view with one agent and two routes.
var explainView = crwire.View{
	Revision: 7, Members: map[uint32]crwire.Member{1: {Num: 1, Name: "agent-1", Service: "ledger", Zone: "a", DatagramAddr: "127.0.0.1:9"}},
	Catalog: &crdoc.Catalog{Version: 1, Services: []crdoc.OpaqueService{{Name: "ledger"}}, Routes: []crdoc.Route{
		explainRoute("deposits", "198.18.0.1:443"), explainRoute("reports", "198.18.0.2:443"), explainRoute("archive", "198.18.0.2:444"),
	}},
}

// explainRoute returns a route to the service.
func explainRoute(name, addr string) crdoc.Route {
	return crdoc.Route{
		Name: name, Address: netip.MustParseAddrPort(addr), Timeout: crdoc.Duration(time.Second), Target: crdoc.Duration(300 * time.Millisecond),
		Shares: []crdoc.Share{{Service: "ledger", Weight: 1}},
	}
}

// startBalancer starts a balancer whose control instance answers while answers is set,
// and returns it with the address that explains.
func startBalancer(t *testing.T, answers *atomic.Bool) (b *cropaqueio.Balancer, url string) {
	t.Helper()
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !answers.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		feed := crwire.Feed{Revision: explainView.Revision}
		if r.URL.Query().Get("after") == "0" {
			feed.Snapshot = &explainView
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		crnet.WriteJSON(w, http.StatusOK, &feed)
	}))
	client := &crnet.Client{}
	client.Open()
	b = &cropaqueio.Balancer{
		Name: "balancer-1", Zone: "a", CallerAddr: "127.0.0.1:0", FrameAddr: "127.0.0.1:0", Sources: []string{strings.TrimPrefix(control.URL, "http://")},
		Client: client, Registry: prometheus.NewRegistry(), Logger: &log.Logger{Handler: discard.New()},
	}
	admin := httptest.NewServer(http.HandlerFunc(b.HandleExplain))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- b.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		client.Close()
		admin.Close()
		control.Close()
	})
	return b, admin.URL
}

// explain returns the status of a question and the answer or the error.
func explain(t *testing.T, url, query string) (int, string, cropaque.Explanation) {
	t.Helper()
	resp, err := http.Get(url + "/explain?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var e cropaque.Explanation
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, &e); err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, "", e
	}
	return resp.StatusCode, strings.TrimSpace(string(body)), e
}

// awaitServing waits until a balancer serves and control has confirmed its view.
func awaitServing(t *testing.T, b *cropaqueio.Balancer, url string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if b.Serving() == nil {
			if _, _, e := explain(t, url, "address=198.18.0.1"); e.Age != nil && e.Fresh {
				time.Sleep(time.Second)
				return
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	t.Fatal("the balancer has no confirmed view after 10 s")
}

// TestExplainErrors checks the answers to questions that can't be explained, and those
// beyond the rate.
func TestExplainErrors(t *testing.T) {
	var answers atomic.Bool
	b, url := startBalancer(t, &answers)
	type answer struct {
		Status int
		Text   string
	}
	var got []answer
	ask := func(query string) {
		status, text, _ := explain(t, url, query)
		got = append(got, answer{status, text})
	}
	ask("address=198.18.0.1:443")
	answers.Store(true)
	awaitServing(t, b, url)
	for _, query := range []string{"", "address=ledger:443", "address=198.18.0.1&caller=100.64.0.1", "address=198.18.0.2", "address=198.18.0.9:1"} {
		ask(query)
	}
	for range 5 {
		ask("address=198.18.0.1:443&caller=100.64.0.1:9")
	}
	ask("address=198.18.0.1:443")
	ok := answer{Status: http.StatusOK}
	want := []answer{
		{http.StatusServiceUnavailable, "not ready: no catalog or no agent received from control yet"},
		{http.StatusBadRequest, `address "": want IP:PORT or IP`},
		{http.StatusBadRequest, `address "ledger:443": want IP:PORT or IP`},
		{http.StatusBadRequest, `caller "100.64.0.1": want IP:PORT`},
		{http.StatusBadRequest, "2 routes have the IP address 198.18.0.2; name one with its port"},
		{http.StatusNotFound, "no route has the address 198.18.0.9:1 in revision 7, so callers are reset. Routes: [198.18.0.1:443 198.18.0.2:443 198.18.0.2:444]"},
		ok, ok, ok, ok, ok,
		{http.StatusTooManyRequests, "more than 10 explanations in a second; try again"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// TestExplainOldView checks that an explanation says how old the view is once control no
// longer confirms it.
func TestExplainOldView(t *testing.T) {
	var answers atomic.Bool
	answers.Store(true)
	b, url := startBalancer(t, &answers)
	awaitServing(t, b, url)
	_, _, e := explain(t, url, "address=198.18.0.1")
	if e.Route != "deposits" || !e.Fresh || e.Services[0].Agents[0].Name != "agent-1" || e.Services[0].Agents[0].Odds != 1 {
		t.Errorf("explanation %+v, want agent-1 of the route deposits by a fresh view", e)
	}
	answers.Store(false)
	const viewFreshFor = 3 * time.Second
	for deadline := time.Now().Add(10 * time.Second); e.Fresh && time.Now().Before(deadline); {
		time.Sleep(200 * time.Millisecond)
		_, _, e = explain(t, url, "address=198.18.0.1")
	}
	if e.Fresh || e.Age == nil || e.Age.D() < viewFreshFor {
		t.Errorf("explanation %+v, want one that isn't fresh", e)
	}
}
