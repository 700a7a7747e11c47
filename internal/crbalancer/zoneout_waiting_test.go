package crbalancer_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"cardamomring.dev/internal/crfake"
)

// TestZoneOutNotifiesWaitingCallers takes an availability zone out of service
// while a caller waits for an answer and sends nothing. The agent must notify
// the caller that its flow has ended, so that the caller doesn't wait until its
// timeout.
func TestZoneOutNotifiesWaitingCallers(t *testing.T) {
	c := newCluster(t, &crfake.Fabric{Seed: 5})
	c.startBalancer("balancer", loopback)
	started := make(chan struct{}, 1)
	c.startAgentWithBackend("agent", zones[1], 1, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	})
	c.updateFabric()
	result := make(chan error, 1)
	go func() { result <- c.newCaller().get(1) }()
	<-started
	c.setZonesOut(zones[1])
	err := <-result
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the caller was not notified: %v; counters of the agent: %v", err, c.nodes["agent"].nonzeroCounters(t))
	}
}
