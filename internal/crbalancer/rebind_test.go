package crbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
)

// TestCallersChangeAddress gives every caller another address in the middle
// of its flow, three times. A caller that waits must send something now and
// then, or nobody could learn of its new address.
func TestCallersChangeAddress(t *testing.T) {
	const flows = 6
	c := newCluster(t, &crfake.Fabric{Seed: 7, MaxDelay: time.Millisecond})
	for i, zone := range zones {
		c.startBalancer(fmt.Sprint("balancer", i), loopback)
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	c.spray()
	c.keepAlive = 200 * time.Millisecond
	l := startLoad(c, flows, 20_000, false)
	for range 3 {
		c.fabric.Rebind()
		l.progress("after the callers' addresses changed")
	}
	whole, failed, dials, cut := l.end()
	t.Logf("flows %d, changes of address 3: whole answers %d, failed %d, connections opened %d, cut %d",
		flows, whole, failed, dials, cut)
	if diff := cmp.Diff([]int64{0, flows, 0}, []int64{failed, dials, cut}); diff != "" {
		t.Errorf("failed requests, connections opened and cut: %s", diff)
	}
}
