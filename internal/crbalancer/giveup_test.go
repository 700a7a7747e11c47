package crbalancer_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"cardamomring.dev/internal/crfake"
)

// TestZoneOutTellsCallersThatWait takes an availability zone out while a
// caller waits for an answer and so sends nothing: it must be told that its
// flow has ended, long before its own time-out.
func TestZoneOutTellsCallersThatWait(t *testing.T) {
	c := newCluster(t, &crfake.Fabric{Seed: 5})
	c.startBalancer("balancer", loopback)
	begun := make(chan struct{}, 1)
	c.startAgentBeside("agent", zones[1], 1, func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
	})
	c.spray()
	result := make(chan error, 1)
	go func() { result <- c.caller().get(1) }()
	<-begun
	c.out(zones[1])
	err := <-result
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the caller was not told: %v; counts of the agent: %v", err, c.nodes["agent"].counts(t))
	}
}
