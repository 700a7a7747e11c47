package crbalancer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cardamomring.dev/internal/crfake"
)

// TestLargeAnswersArriveComplete requests large answers through stateless
// balancers, behind a fabric that reorders datagrams and sends each to any
// balancer.
func TestLargeAnswersArriveComplete(t *testing.T) {
	const (
		callers = 10
		answers = 10
		size    = 100_000
	)
	c := newCluster(t, &crfake.Fabric{Seed: 1, MaxDelay: 2 * time.Millisecond})
	for i, zone := range zones {
		c.startBalancer(fmt.Sprint("balancer", i), loopback)
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	c.updateFabric()
	var wg sync.WaitGroup
	errs := make(chan error, callers*answers)
	for range callers {
		caller := c.newCaller()
		wg.Go(func() {
			for range answers {
				errs <- caller.get(size)
			}
		})
	}
	wg.Wait()
	close(errs)
	complete := 0
	for err := range errs {
		if err != nil {
			t.Error(err)
			continue
		}
		complete++
	}
	t.Logf("complete answers: %d of %d of %d bytes", complete, callers*answers, size)
	for name, n := range c.nodes {
		t.Logf("%s: %v", name, n.nonzeroCounters(t))
	}
}
