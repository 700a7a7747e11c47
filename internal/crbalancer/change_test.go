package crbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
)

// TestNoPlannedChangeBreaksFlows keeps flows open through every planned
// change, and through the loss of a balancer.
func TestNoPlannedChangeBreaksFlows(t *testing.T) {
	const flows = 12
	c := newCluster(t, &crfake.Fabric{Seed: 2, MaxDelay: 2 * time.Millisecond})
	for i, zone := range zones {
		c.startBalancer(fmt.Sprint("balancer", i), loopback)
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	c.spray()
	l := startLoad(c, flows, 20_000, false)
	for i := range 3 {
		c.restartBalancer(fmt.Sprint("balancer", i), func() { l.progress("while a balancer restarts") })
		l.progress("after a balancer's restart")
	}
	c.stop("balancer0")
	l.progress("while the fabric still uses a balancer that is lost")
	c.spray()
	l.progress("with two balancers")
	c.startBalancer("balancer3", loopback)
	c.spray()
	l.progress("with a balancer that joined")
	for i := range 10 {
		c.control.apply(c.document(uint64(i + 2)))
		l.progress("after a document change")
	}
	c.startAgent("agent3", zones[0], 4)
	l.progress("after an agent joined")
	c.stop("agent1")
	l.progress("after an agent left")
	whole, failed, dials, cut := l.end()
	t.Logf("flows %d: restarts of balancers 3, balancers lost 1, joined 1, documents 10, agents joined 1, left 1", flows)
	t.Logf("whole answers %d, failed requests %d, connections opened %d, connections cut %d", whole, failed, dials, cut)
	t.Logf("broken flows: %d", failed+cut)
	for name, n := range c.nodes {
		t.Logf("%s: %v", name, n.counts(t))
	}
	if diff := cmp.Diff([]int64{0, 0}, []int64{failed, cut}); diff != "" {
		t.Errorf("failed requests and connections cut: %s", diff)
	}
}

// restartBalancer stops a balancer and starts it on the same address; during
// runs in between, while the fabric goes on using it.
func (c *cluster) restartBalancer(name string, during func()) {
	c.t.Helper()
	addr, _ := c.nodes[name].balancer.DatagramAddr(ledger)
	c.stop(name)
	during()
	c.startBalancer(name, addr.String())
}
