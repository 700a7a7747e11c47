package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/pkg/crdoc"
)

// explanation is what a balancer answers in the tests.
func explanation() cropaque.Explanation {
	age := crdoc.Duration(220 * time.Millisecond)
	return cropaque.Explanation{
		Revision: 7, Fresh: true, Age: &age, Zone: "a", Caller: netip.MustParseAddrPort("192.0.2.1:1024"), Address: netip.MustParseAddrPort("198.18.0.1:443"),
		Route: "deposits", Hold: crdoc.Duration(200 * time.Millisecond),
		Services: []cropaque.ServiceOutlook{{Name: "ledger", Weight: 1, Agents: []cropaque.AgentOutlook{
			{
				Name: "agent-1", Zone: "a", Placed: 1, Odds: 1, Refusal: cropaque.ReasonFull, Ago: crdoc.Duration(1500 * time.Millisecond),
				Report:   &cropaque.ReportOutlook{Age: crdoc.Duration(12345 * time.Microsecond), Slots: 3, Busy: 2, Queued: 1},
				Expected: cropaque.ExpectedOutlook{Base: crdoc.Duration(30 * time.Millisecond), Waiting: crdoc.Duration(5 * time.Millisecond), Random: crdoc.Duration(15 * time.Millisecond)},
			},
			{
				Name: "agent-2", Zone: "b", State: cropaque.StandingSilent, Silence: crdoc.Duration(400 * time.Millisecond),
				Expected: cropaque.ExpectedOutlook{Base: crdoc.Duration(30 * time.Millisecond), Zone: crdoc.Duration(75 * time.Millisecond), Random: crdoc.Duration(15 * time.Millisecond)},
			},
		}}},
	}
}

// explainWith runs explain against a balancer that answers with a handler, and returns
// exit code, output and errors with the balancer's address replaced.
func explainWith(h http.Handler, argv ...string) (code int, out, errs string) {
	server := httptest.NewServer(h)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	var stdout, stderr bytes.Buffer
	code = run(append([]string{"explain", "198.18.0.1:443", "--balancer", addr}, argv...), &stdout, &stderr)
	return code, stdout.String(), strings.ReplaceAll(stderr.String(), addr, "ADDR")
}

// TestExplainText checks the printed text, also of an old view.
func TestExplainText(t *testing.T) {
	e := explanation()
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { crnet.WriteJSON(w, http.StatusOK, &e) })
	code, out, errs := explainWith(h)
	want := `flow      192.0.2.1:1024 (an example; the short list depends on the caller) to 198.18.0.1:443, route deposits
view      revision 7, confirmed 220ms ago
outcome   offered: to the agent with the shortest expected latency

service ledger, 100.0% of the route's flows
AGENT    ZONE  STATE         LAST REFUSAL  REPORT  BUSY   PLACED  BASE  WAITING  FAILURES  ZONE PRICE  RANDOM  LOAD  ODDS
agent-1  a     ready         full 1.5s     12.3ms  2+1/3  1       30ms  5ms      0s        0s          <15ms   -     100.0%
agent-2  b     silent 400ms  -             -       -      0       30ms  0s       0s        75ms        <15ms   -     0.0%
`
	if diff := cmp.Diff(want, out); diff != "" || code != exitOK || errs != "" {
		t.Errorf("exit code %d, errors %q, output (-want +got):\n%s", code, errs, diff)
	}
	e.Fresh = false
	code, _, errs = explainWith(h)
	if diff := cmp.Diff("view too old: control has not confirmed revision 7 lately (age 220ms)\n", errs); diff != "" || code != exitFailed {
		t.Errorf("exit code %d, errors for an old view (-want +got):\n%s", code, diff)
	}
}

// TestExplainJSON checks that the printed JSON has what the balancer answered.
func TestExplainJSON(t *testing.T) {
	e := explanation()
	code, out, _ := explainWith(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { crnet.WriteJSON(w, http.StatusOK, &e) }), "--json")
	var got cropaque.Explanation
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatal(err)
	}
	e.Services[0].Agents[0].Address, e.Services[0].Agents[1].Address = got.Services[0].Agents[0].Address, got.Services[0].Agents[1].Address
	if diff := cmp.Diff(e, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" || code != exitOK {
		t.Errorf("exit code %d, explanation (-want +got):\n%s", code, diff)
	}
}

// TestExplainFailures checks exit codes and messages when a balancer can't explain.
func TestExplainFailures(t *testing.T) {
	type result struct {
		Code int
		Text string
	}
	refuse := func(status int, text string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, text, status) })
	}
	var got []result
	for _, h := range []http.Handler{
		refuse(http.StatusServiceUnavailable, "not ready: stopping"), refuse(http.StatusBadRequest, "bad"), refuse(http.StatusNotFound, "no route"),
		refuse(http.StatusTooManyRequests, "too many"), http.NewServeMux(),
	} {
		code, _, errs := explainWith(h)
		got = append(got, result{code, errs})
	}
	want := []result{
		{exitFailed, "balancer ADDR: not ready: stopping\n"},
		{exitUsage, "balancer ADDR: bad\n"},
		{exitFailed, "balancer ADDR: no route\n"},
		{exitFailed, "balancer ADDR: too many\n"},
		{exitFailed, "balancer ADDR: explains nothing; only balancers of opaque services do\n"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	var out, errs bytes.Buffer
	if code := run([]string{"explain", "198.18.0.1:443"}, &out, &errs); code != exitUsage {
		t.Errorf("exit code %d without a balancer, want %d", code, exitUsage)
	}
}
