package crbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
)

// TestNoPlannedChangeBreaksFlows checks that no flow breaks during planned
// changes and the loss of a balancer.
func TestNoPlannedChangeBreaksFlows(t *testing.T) {
	const flows = 12
	c := newCluster(t, &crfake.Fabric{Seed: 2, MaxDelay: 2 * time.Millisecond})
	for i, zone := range zones {
		c.startBalancer(fmt.Sprint("balancer", i), loopback)
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	c.updateFabric()
	l := startLoad(c, flows, 20_000, false)
	for i := range 3 {
		c.restartBalancer(fmt.Sprint("balancer", i), func() { l.awaitProgress("while a balancer restarts") })
		l.awaitProgress("after a balancer's restart")
	}
	c.stop("balancer0")
	l.awaitProgress("while the fabric still uses the lost balancer")
	c.updateFabric()
	l.awaitProgress("with two balancers")
	c.startBalancer("balancer3", loopback)
	c.updateFabric()
	l.awaitProgress("after a balancer joined")
	for i := range 10 {
		c.control.applyService(c.document(uint64(i + 2)))
		l.awaitProgress("after a document change")
	}
	c.startAgent("agent3", zones[0], 4)
	l.awaitProgress("after an agent joined")
	c.stop("agent1")
	l.awaitProgress("after an agent left")
	complete, failed, dials, aborted := l.finish()
	t.Logf("flows %d: restarts of balancers 3, balancers lost 1, joined 1, documents 10, agents joined 1, left 1", flows)
	t.Logf("complete answers %d, failed requests %d, connections opened %d, connections aborted %d", complete, failed, dials, aborted)
	t.Logf("broken flows: %d", failed+aborted)
	for name, n := range c.nodes {
		t.Logf("%s: %v", name, n.nonzeroCounters(t))
	}
	if diff := cmp.Diff([]int64{0, 0}, []int64{failed, aborted}); diff != "" {
		t.Errorf("failed requests and connections aborted: %s", diff)
	}
}

// restartBalancer stops a balancer and starts it again on the same address. It
// calls during in between, while the fabric still sends to the balancer.
func (c *cluster) restartBalancer(name string, during func()) {
	c.t.Helper()
	addr, _ := c.nodes[name].balancer.DatagramAddr(serviceName)
	c.stop(name)
	during()
	c.startBalancer(name, addr.String())
}
