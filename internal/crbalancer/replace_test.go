package crbalancer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"cardamomring.dev/internal/crfake"
)

// TestAnswerAfterEveryBalancerWasReplaced replaces every balancer by a new
// one elsewhere while a caller waits for its answer and so sends nothing.
func TestAnswerAfterEveryBalancerWasReplaced(t *testing.T) {
	c := newCluster(t, &crfake.Fabric{Seed: 8})
	c.startBalancer("old1", loopback)
	c.startBalancer("old2", loopback)
	begun, release := make(chan struct{}, 1), make(chan struct{})
	c.startAgentBeside("agent", zones[0], 1, func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-release
		serveBytes(w, r)
	})
	c.spray()
	result := make(chan error, 1)
	waiting := c.caller()
	tr, ok := waiting.client.Transport.(*http3.Transport)
	if !ok {
		t.Fatal("the client's transport is not HTTP/3")
	}
	// Without keep-alives and probes the caller is silent until its answer comes.
	tr.QUICConfig = &quic.Config{MaxIdleTimeout: time.Minute, DisablePathMTUDiscovery: true}
	go func() { result <- waiting.get(1000) }()
	<-begun
	c.quiet()
	c.startBalancer("new1", loopback)
	c.startBalancer("new2", loopback)
	c.spray()
	c.stop("old1")
	c.stop("old2")
	close(release)
	if err := <-result; err != nil {
		t.Errorf("the answer was lost: %v", err)
	}
}

// quiet waits until callers have sent nothing for a while.
func (c *cluster) quiet() {
	const still = time.Second
	sum := func() int {
		total := 0
		for _, n := range c.fabric.Sent() {
			total += n
		}
		return total
	}
	for last := -1; last != sum(); {
		last = sum()
		time.Sleep(still)
	}
}
