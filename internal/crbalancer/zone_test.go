package crbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crwire"
)

// zoneOutDeadline is how long after a zone was taken out of service its agents
// may still receive packets.
const zoneOutDeadline = 3 * time.Second

// setZonesOut takes these availability zones out of service, and brings all
// others back.
func (c *cluster) setZonesOut(zones ...string) {
	c.control.applyDelta(crwire.Delta{ZonesOut: zones, ZonesOutChanged: true})
}

// TestZoneOut takes an availability zone out of service under load and brings
// it back. No more flows may break than the zone had, the zone must receive no
// packets after zoneOutDeadline, and it must get new flows when it is back.
func TestZoneOut(t *testing.T) {
	const flows = 12
	c := newCluster(t, &crfake.Fabric{Seed: 3, MaxDelay: 2 * time.Millisecond})
	for i, zone := range zones {
		c.startBalancer(fmt.Sprint("balancer", i), loopback)
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	c.updateFabric()
	l := startLoad(c, flows, 20_000, true)
	agent1 := c.nodes["agent1"]
	zoneFlows := agent1.acceptedFlows(t)
	c.setZonesOut(zones[1])
	time.Sleep(zoneOutDeadline)
	before := agent1.receivedEnvelopes(t)
	l.awaitProgress("with a zone out of service")
	l.awaitProgress("still with a zone out of service")
	latePackets := agent1.receivedEnvelopes(t) - before
	answersUntilBack := l.completeAnswers()
	c.setZonesOut()
	l.awaitProgress("with the zone back in service")
	newLoad := startLoad(c, flows, 2000, false)
	if agent1.acceptedFlows(t) == zoneFlows {
		t.Error("the zone gets no flows after it is back in service")
	}
	newLoad.finish()
	_, failed, dials, aborted := l.finish()
	t.Logf("flows %d, in the zone %d; answers until it was brought back %d", flows, zoneFlows, answersUntilBack)
	t.Logf("failed requests %d, connections opened %d, aborted %d", failed, dials, aborted)
	t.Logf("packets to the zone after %s: %v", zoneOutDeadline, latePackets)
	if diff := cmp.Diff(0.0, latePackets); diff != "" {
		t.Errorf("packets to the zone after %s: %s", zoneOutDeadline, diff)
	}
	if failed > zoneFlows || aborted > zoneFlows {
		t.Errorf("more flows broke than the zone had: %d requests, %d connections, flows %d", failed, aborted, zoneFlows)
	}
}

// TestZoneOutAtBalancerPartitionedFromControl takes an availability zone out of
// service while a balancer can't reach control. The balancer must receive the
// change from agents.
func TestZoneOutAtBalancerPartitionedFromControl(t *testing.T) {
	const flows = 6
	c := newCluster(t, &crfake.Fabric{Seed: 6})
	for i, zone := range zones {
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	addr, closeControl := c.control.listen(t)
	c.controlAddr = addr
	c.startBalancer("balancer0", loopback)
	c.updateFabric()
	l := startLoad(c, flows, 2000, true)
	closeControl()
	balancer, agent1 := c.nodes["balancer0"], c.nodes["agent1"]
	c.setZonesOut(zones[1])
	time.Sleep(zoneOutDeadline)
	before, forwarded := agent1.receivedEnvelopes(t), balancer.nonzeroCounters(t)["balancer_forwarded_total"]
	l.awaitProgress("with a zone out of service")
	l.awaitProgress("still with a zone out of service")
	latePackets := agent1.receivedEnvelopes(t) - before
	forwardedSince := balancer.nonzeroCounters(t)["balancer_forwarded_total"] - forwarded
	l.finish()
	t.Logf("packets to the zone after %s: %v; forwarded meanwhile by the partitioned balancer: %v", zoneOutDeadline, latePackets, forwardedSince)
	if diff := cmp.Diff(0.0, latePackets); diff != "" || forwardedSince == 0 {
		t.Errorf("packets to the zone with %v datagrams forwarded meanwhile: %s", forwardedSince, diff)
	}
}
