package cropaque_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// largeBalancerCapacity is how many times the link and the processor of a small balancer
// a large one has.
const largeBalancerCapacity = 20

// TestUnequalBalancers checks that callers are served as well through small balancers as
// through large ones, of which there is one to three, also while one of each kind is
// lost and comes back without its flows.
func TestUnequalBalancers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		sim := newSimulationOf(seed, largeDeployment(46))
		for i, b := range sim.balancers {
			if i%4 == 0 {
				b.ingress.capacity, b.egress.capacity, b.processor.capacity = largeBalancerCapacity, largeBalancerCapacity, largeBalancerCapacity
			}
		}
		sim.addLoad(float64(requestsPerBalancer*len(sim.balancers)), 6*time.Second, true)
		sim.run(2 * time.Second)
		for _, b := range sim.balancers[:2] {
			b.down = true
		}
		sim.run(time.Second)
		for _, b := range sim.balancers[:2] {
			b.start()
		}
		sim.run(5 * time.Second)
		atLeast(t, sim, "in time before the loss", sim.answeredShare(0, 1900*time.Millisecond, sim.size.target), 0.99)
		atLeast(t, sim, "in time after the return", sim.answeredShare(4*time.Second, 6*time.Second, sim.size.target), 0.99)
		wantNoBrokenFlow(t, seed, sim)
	}
}

// TestPartedZone parts the balancers and agents of a zone from the others for a minute.
// Each part serves its callers from its own backend servers, no living flow is reset, no
// request that may not be repeated runs twice, and afterwards all is as before.
func TestPartedZone(t *testing.T) {
	t.Parallel()
	const partedAt, joinedAt = 2 * time.Second, 62 * time.Second
	for seed := range uint64(2) {
		sim := newSimulation(seed)
		sim.view.Catalog.Routes[0].Repeatable = false
		sim.addLoad(moderateLoad/2, joinedAt+3*time.Second, false)
		sim.run(partedAt)
		sim.partedZone = "b"
		sim.run(joinedAt - partedAt)
		sim.partedZone = ""
		sim.run(5 * time.Second)
		atLeast(t, sim, "in time while parted", sim.answeredShare(partedAt+time.Second, joinedAt-time.Second, targetLatency), 0.97)
		atLeast(t, sim, "in time after a second together", sim.answeredShare(joinedAt+time.Second, joinedAt+3*time.Second, targetLatency), 0.99)
		wantNoBrokenFlow(t, seed, sim)
		twice := 0
		for _, r := range sim.requests {
			if r.runs > 1 {
				twice++
			}
		}
		if diff := cmp.Diff(0, twice); diff != "" {
			t.Errorf("seed %d: requests that ran twice (-want +got):\n%s", seed, diff)
		}
	}
}
