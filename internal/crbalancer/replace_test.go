package crbalancer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"cardamomring.dev/internal/crfake"
)

// TestAnswerAfterEveryBalancerWasReplaced replaces every balancer by a new one
// at another address while a caller waits for its answer and sends nothing. The
// answer must still reach the caller.
func TestAnswerAfterEveryBalancerWasReplaced(t *testing.T) {
	c := newCluster(t, &crfake.Fabric{Seed: 8})
	c.startBalancer("old1", loopback)
	c.startBalancer("old2", loopback)
	started, release := make(chan struct{}, 1), make(chan struct{})
	c.startAgentWithBackend("agent", zones[0], 1, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		serveBytes(w, r)
	})
	c.updateFabric()
	result := make(chan error, 1)
	caller := c.newCaller()
	tr, ok := caller.client.Transport.(*http3.Transport)
	if !ok {
		t.Fatal("the client's transport is not HTTP/3")
	}
	// Without keep-alives and MTU probes the caller sends nothing until its
	// answer arrives.
	tr.QUICConfig = &quic.Config{MaxIdleTimeout: time.Minute, DisablePathMTUDiscovery: true}
	go func() { result <- caller.get(1000) }()
	<-started
	c.awaitSilentCallers()
	c.startBalancer("new1", loopback)
	c.startBalancer("new2", loopback)
	c.updateFabric()
	c.stop("old1")
	c.stop("old2")
	close(release)
	if err := <-result; err != nil {
		t.Errorf("answer lost: %v", err)
	}
}

// awaitSilentCallers waits until callers have sent nothing for a second.
func (c *cluster) awaitSilentCallers() {
	const silence = time.Second
	sum := func() int {
		total := 0
		for _, n := range c.fabric.Sent() {
			total += n
		}
		return total
	}
	for last := -1; last != sum(); {
		last = sum()
		time.Sleep(silence)
	}
}
