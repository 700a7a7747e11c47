package crbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crwire"
)

// zonePromise is how long after a zone was taken out it may get packets.
const zonePromise = 3 * time.Second

// out takes availability zones out, and all others in.
func (c *cluster) out(zones ...string) {
	c.control.change(crwire.Delta{ZonesOut: zones, ZonesOutChanged: true})
}

// TestZoneOut takes an availability zone out under load and brings it back.
func TestZoneOut(t *testing.T) {
	const flows = 12
	c := newCluster(t, &crfake.Fabric{Seed: 3, MaxDelay: 2 * time.Millisecond})
	for i, zone := range zones {
		c.startBalancer(fmt.Sprint("balancer", i), loopback)
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	c.spray()
	l := startLoad(c, flows, 20_000, true)
	left := c.nodes["agent1"]
	lost := left.held(t)
	c.out(zones[1])
	time.Sleep(zonePromise)
	before := left.received(t)
	l.progress("with a zone out")
	l.progress("with a zone out, again")
	late := left.received(t) - before
	whole := l.whole()
	c.out()
	l.progress("with the zone in again")
	back := startLoad(c, flows, 2000, false)
	if left.held(t) == lost {
		t.Error("the zone that is in again gets no flows")
	}
	back.end()
	_, failed, dials, cut := l.end()
	t.Logf("flows %d, in the zone %d; answers while it was out %d", flows, lost, whole)
	t.Logf("failed requests %d, connections opened %d, cut %d", failed, dials, cut)
	t.Logf("packets to the zone later than %s: %v", zonePromise, late)
	if diff := cmp.Diff(0.0, late); diff != "" {
		t.Errorf("packets to the zone later than %s: %s", zonePromise, diff)
	}
	if failed > lost || cut > lost {
		t.Errorf("more flows broke than ended in the zone: %d requests, %d connections, flows %d", failed, cut, lost)
	}
}

// TestZoneOutAtBalancerCutFromControl takes a zone out while one balancer
// can't reach control: it learns of it from agents.
func TestZoneOutAtBalancerCutFromControl(t *testing.T) {
	const flows = 6
	c := newCluster(t, &crfake.Fabric{Seed: 6})
	for i, zone := range zones {
		c.startAgent(fmt.Sprint("agent", i), zone, 1)
	}
	addr, cutControl := c.control.listen(t)
	c.controlAt = addr
	c.startBalancer("balancer0", loopback)
	c.spray()
	l := startLoad(c, flows, 2000, true)
	cutControl()
	cut, left := c.nodes["balancer0"], c.nodes["agent1"]
	c.out(zones[1])
	time.Sleep(zonePromise)
	before, forwarded := left.received(t), cut.counts(t)["balancer_forwarded_total"]
	l.progress("with a zone out")
	l.progress("with a zone out, again")
	late := left.received(t) - before
	more := cut.counts(t)["balancer_forwarded_total"] - forwarded
	l.end()
	t.Logf("packets to the zone later than %s: %v; forwarded meanwhile by the balancer that is cut: %v", zonePromise, late, more)
	if diff := cmp.Diff(0.0, late); diff != "" || more == 0 {
		t.Errorf("packets to the zone, forwarded %v: %s", more, diff)
	}
}
