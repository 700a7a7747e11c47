package crreplica_test

import (
	"errors"
	"maps"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// injectFault injects a random fault at instance n or between n and other.
func (s *sim) injectFault(n, other *simNode) {
	if n.driver == nil {
		return
	}
	switch s.rnd.IntN(14) {
	case 0, 1:
		s.crash(n)
	case 2:
		n.disk.OpsUntilCrash = 1 + s.rnd.IntN(8)
	case 3:
		n.disk.FreeBytes = s.rnd.IntN(200)
	case 4:
		n.disk.SyncError = errors.New("input/output error")
	case 5:
		n.pauseTicks = s.rnd.IntN(6 * simElectionTicks)
	case 6:
		s.blocked[[2]uint64{n.id, other.id}] = true
	case 7:
		s.blocked[[2]uint64{n.id, other.id}], s.blocked[[2]uint64{other.id, n.id}] = true, true
	case 8:
		clear(s.blocked)
	case 9:
		s.isolate(n, s.rnd.IntN(3))
	case 10:
		_ = n.driver.Node.TransferLeadership(other.id)
	case 11:
		if s.allVoting() {
			s.crash(n)
			n.disk.Wipe()
		}
	case 12:
		if s.allVoting() {
			_, _, _ = n.driver.Node.Remove(other.id)
		}
	case 13:
		s.readmit()
	}
}

// isolate blocks messages between an instance and all others. Direction 0 blocks
// those that it sends, 1 those that it receives, 2 both.
func (s *sim) isolate(n *simNode, direction int) {
	for _, other := range s.nodes {
		s.blocked[[2]uint64{n.id, other.id}] = direction != 1
		s.blocked[[2]uint64{other.id, n.id}] = direction != 0
	}
}

// allVoting reports whether all instances are running and every non-empty log has
// a configuration in which all of them vote with their present disks. Only then
// may another disk be lost.
func (s *sim) allVoting() bool {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a.driver == nil || b.driver == nil {
				return false
			}
			config := a.driver.Node.Status().Config
			if len(config.Members) > 0 && !config.IsVoter(b.id, b.driver.Node.Incarnation) {
				return false
			}
		}
	}
	return true
}

// readmit adds removed instances again and promotes them.
func (s *sim) readmit() {
	for _, leader := range s.nodes {
		for id := uint64(1); id <= uint64(len(s.nodes)); id++ {
			addr := s.initialMembers[id]
			if leader.driver != nil && leader.driver.Node.Status().Leading {
				_, _, _ = leader.driver.Node.AddLearner(id, addr)
				_, _, _ = leader.driver.Node.Promote(id)
			}
		}
	}
}

// heal removes all faults.
func (s *sim) heal() {
	clear(s.blocked)
	s.lossPercent = 0
	for _, n := range s.nodes {
		n.pauseTicks, n.tickLoss = 0, 0
		n.disk.OpsUntilCrash, n.disk.FreeBytes, n.disk.SyncError = 0, -1, nil
	}
}

// run injects faults, heals them, and checks that the cluster was consistent and
// recovers.
func (s *sim) run() error {
	s.lossPercent, s.clockSkew = s.rnd.IntN(20), s.rnd.IntN(4) == 0
	for _, n := range s.nodes {
		if s.clockSkew {
			n.tickLoss = s.rnd.IntN(4)
		}
	}
	pick := func() *simNode { return s.nodes[s.rnd.IntN(len(s.nodes))] }
	for s.now < simFaultTicks && s.err == nil {
		if s.rnd.IntN(15) == 0 {
			s.injectFault(pick(), pick())
		}
		s.propose(pick())
		s.step()
		if s.now%25 == 0 {
			s.checkLogs()
		}
	}
	s.heal()
	for s.now < simFaultTicks+simRecoveryTicks && s.err == nil {
		s.readmit()
		s.step()
	}
	s.checkLogs()
	s.checkHealed()
	s.checkHistory()
	return s.err
}

// checkHistory fails if the compare-and-set operations aren't linearizable.
func (s *sim) checkHistory() {
	var history []porcupine.Operation
	for _, op := range s.history {
		history = append(history, *op)
	}
	if porcupine.CheckOperationsTimeout(registerModel, history, 10*time.Second) == porcupine.Illegal {
		s.failf("compare-and-set operations are not linearizable")
	}
}

// registerModel is the sequential model of one register. The operations are
// partitioned by key because the registers are independent.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[byte][]porcupine.Operation{}
		for _, op := range history {
			if in, ok := op.Input.(casInput); ok {
				byKey[in.Key] = append(byKey[in.Key], op)
			}
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return byte(0) },
	Step: func(state, input, output any) (bool, any) {
		in, _ := input.(casInput)
		out, _ := output.(casOutput)
		if out.Known && out.Value != state {
			return false, state
		}
		if state == in.Want {
			return true, in.Put
		}
		return true, state
	},
}

// envUint returns the value of an environment variable, or fallback if it isn't a
// number.
func envUint(name string, fallback uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return v
	}
	return fallback
}

// TestSimulation checks random schedules of faults: each term has at most one
// leader, logs match, no committed entry is lost, states are equal,
// compare-and-set operations are linearizable, and the cluster recovers after the
// faults. QUORUM_SEED selects a single seed, QUORUM_SEEDS sets their number.
func TestSimulation(t *testing.T) { simulate(t, newSim) }

// TestSimulationOfKnownDisks is TestSimulation for a group whose initial members begin
// with the same configuration.
func TestSimulationOfKnownDisks(t *testing.T) {
	simulate(t, func(seed uint64, size int) *sim { return startSim(seed, size, true) })
}

// simulate runs a simulation with each seed.
func simulate(t *testing.T, start func(seed uint64, size int) *sim) {
	t.Helper()
	first, count := uint64(1), envUint("QUORUM_SEEDS", 2000)
	if seed := envUint("QUORUM_SEED", 0); seed > 0 {
		first, count = seed, 1
	}
	var wg sync.WaitGroup
	const workers = 3
	for w := range uint64(workers) {
		wg.Go(func() {
			for seed := first + w; seed < first+count && !t.Failed(); seed += workers {
				if err := start(seed, 3+2*int(seed%2)).run(); err != nil {
					t.Errorf("%v\nreplay: QUORUM_SEED=%d go test -run '%s$' ./internal/crreplica", err, seed, t.Name())
				}
			}
		})
	}
	wg.Wait()
}

// TestSimulationFailedSeeds plays seeds beyond those of TestSimulation that have failed.
// Seed 55732: a delayed request of a founder's lost disk took back a pledge that the
// founder counted on, and a second lost disk then left no majority. Seed 58676: two of
// three disks were lost after their pledges were sent, before the founder counted them.
func TestSimulationFailedSeeds(t *testing.T) {
	for _, seed := range []uint64{55732, 58676} {
		if err := newSim(seed, 3+2*int(seed%2)).run(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// An isolated leader steps down and another instance becomes leader, also if only
// one direction is blocked.
func TestSimulationIsolatedLeaderStepsDown(t *testing.T) {
	for direction := range 3 {
		s := newSim(1, 3)
		for s.now < simRecoveryTicks && (len(s.checksums) < 2 || len(s.leaders) == 0) {
			s.step()
		}
		status := s.nodes[0].driver.Node.Status()
		first := s.leaders[clusterTerm{status.Cluster, status.Term}]
		s.isolate(s.nodes[first-1], direction)
		for range 6 * simElectionTicks {
			s.step()
		}
		if s.nodes[first-1].driver.Node.Status().Leading {
			t.Errorf("direction %d: instance %d is still the leader", direction, first)
		}
		if len(s.leaders) < 2 || s.err != nil {
			t.Errorf("direction %d: leaders %v, %v", direction, s.leaders, s.err)
		}
	}
}
