package cragent_test

import (
	"strings"
	"testing"
	"time"

	"cardamomring.dev/internal/crfake"
)

// TestRecoveredBackendServerIsUsed starts a backend server after its agent has found
// it unreachable and the other agent has room for all requests. The agent must find
// out that its own backend server is there: before, it sent every request on, so that
// no result ever ended its probing.
func TestRecoveredBackendServerIsUsed(t *testing.T) {
	for _, c := range []struct{ name, method, path string }{
		{"repeatable", "GET", "/bands"},
		{"not repeatable", "POST", "/deposits"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			down := &crfake.Backend{Addr: "127.0.0.1:0"}
			if err := down.Start(); err != nil {
				t.Fatal(err)
			}
			addr := down.Bound()
			if err := down.Close(); err != nil {
				t.Fatal(err)
			}
			p := &pair{control: startControl(t, document(10*time.Second)), caller: newCaller(t)}
			p.agents[0] = startAgent(t, "a0", addr, p.control.addr())
			p.agents[1] = startAgent(t, "a1", startBackend(t, crfake.Switches{}).Bound(), p.control.addr())
			waitForView(t, p.control, 2, p.agents[0].addr, p.agents[1].addr)
			for range 20 {
				p.call(t, request(c.method, c.path, "", "d"))
			}
			recovered := &crfake.Backend{Addr: addr, Name: "recovered"}
			if err := recovered.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = recovered.Close() })
			for end := time.Now().Add(15 * time.Second); ; time.Sleep(5 * time.Millisecond) {
				if got := p.call(t, request(c.method, c.path, "", "d")); strings.HasSuffix(got.Body, "by recovered\n") {
					return
				}
				if time.Now().After(end) {
					t.Fatal("the backend server has recovered, but gets no request")
				}
			}
		})
	}
}
