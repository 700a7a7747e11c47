package crbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
)

// TestFlowsSurviveCallerAddressChange changes every caller's address three
// times during its flow. Callers send keep-alives, because an agent detects a
// waiting caller's new address only from a datagram.
func TestFlowsSurviveCallerAddressChange(t *testing.T) {
	const flows = 6
	c := newCluster(t, &crfake.Fabric{Seed: 7, MaxDelay: time.Millisecond})
	for i, zone := range zones {
		c.startBalancer(fmt.Sprint("balancer", i), loopback)
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	c.updateFabric()
	c.keepAlivePeriod = 200 * time.Millisecond
	l := startLoad(c, flows, 20_000, false)
	for range 3 {
		c.fabric.Rebind()
		l.awaitProgress("after the callers' addresses changed")
	}
	complete, failed, dials, aborted := l.finish()
	t.Logf("flows %d, changes of address 3: complete answers %d, failed %d, connections opened %d, aborted %d",
		flows, complete, failed, dials, aborted)
	if diff := cmp.Diff([]int64{0, flows, 0}, []int64{failed, dials, aborted}); diff != "" {
		t.Errorf("failed requests, connections opened and aborted: %s", diff)
	}
}
