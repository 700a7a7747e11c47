package cropaque_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// uploadDeployment returns a deployment of small balancers whose links carry uploads
// of 40 kB.
func uploadDeployment(maxQueue, requestDuration time.Duration, slots int) deploymentSize {
	return deploymentSize{
		agents: 8, balancers: 4, zones: zones, slots: slots, requestDuration: requestDuration,
		target: 800 * time.Millisecond, timeout: 6 * time.Second, pollInterval: 500 * time.Millisecond,
		linkBytes: 4.4e6 / 8, datagramCost: 60 * time.Microsecond, controlFrames: 250,
		maxQueue: maxQueue, requestPackets: 33,
	}
}

// wantNoBrokenFlow fails the test if a living flow was reset, and logs what was
// decided about the first.
func wantNoBrokenFlow(t *testing.T, seed uint64, sim *simulation) {
	t.Helper()
	if diff := cmp.Diff(0, sim.brokenFlows); diff != "" {
		t.Errorf("seed %d: resets of living flows (-want +got):\n%s", seed, diff)
		for _, d := range sim.decisions {
			if strings.Contains(d, sim.broken[0].Caller.String()) {
				t.Log(d)
			}
		}
	}
}

// TestFullLinkResetsNoFlow replays links that are full of uploads: frames to agents
// are dropped at the end of their queue, answers are late, resets wait in the queue, and
// callers' packets move to another balancer when checks of readiness are lost. No flow
// that is open may be reset, whether backend servers have slots or not.
func TestFullLinkResetsNoFlow(t *testing.T) {
	const uploadsPerBalancer = 14
	for _, size := range []deploymentSize{
		uploadDeployment(150*time.Millisecond, 2*time.Second, 60),
		uploadDeployment(500*time.Millisecond, 2*time.Second, 60),
		uploadDeployment(500*time.Millisecond, 20*time.Millisecond, 3),
		uploadDeployment(500*time.Millisecond, 300*time.Millisecond, 3),
	} {
		t.Run(fmt.Sprintf("queue of %s, requests of %s", size.maxQueue, size.requestDuration), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				sim := newSimulationOf(seed, size)
				sim.addLoad(uploadsPerBalancer*float64(len(sim.balancers)), 3*time.Second, true)
				sim.run(5 * time.Second)
				wantNoBrokenFlow(t, seed, sim)
			}
		})
	}
}
