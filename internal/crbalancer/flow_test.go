package crbalancer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cardamomring.dev/internal/crfake"
)

// TestAnswersWhole asks for large answers through balancers that hold no
// state, behind a fabric that reorders and sprays every datagram.
func TestAnswersWhole(t *testing.T) {
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
	c.spray()
	var wg sync.WaitGroup
	errs := make(chan error, callers*answers)
	for range callers {
		caller := c.caller()
		wg.Go(func() {
			for range answers {
				errs <- caller.get(size)
			}
		})
	}
	wg.Wait()
	close(errs)
	whole := 0
	for err := range errs {
		if err != nil {
			t.Error(err)
			continue
		}
		whole++
	}
	t.Logf("whole answers: %d of %d of %d bytes", whole, callers*answers, size)
	for name, n := range c.nodes {
		t.Logf("%s: %v", name, n.counts(t))
	}
}
