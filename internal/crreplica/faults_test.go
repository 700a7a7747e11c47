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

// fault lets something fail.
func (s *sim) fault(n, other *simNode) {
	if n.core == nil {
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
		n.pause = s.rnd.IntN(6 * simElection)
	case 6:
		s.cut[[2]uint64{n.id, other.id}] = true
	case 7:
		s.cut[[2]uint64{n.id, other.id}], s.cut[[2]uint64{other.id, n.id}] = true, true
	case 8:
		clear(s.cut)
	case 9:
		s.isolate(n, s.rnd.IntN(3))
	case 10:
		_ = n.core.Node.TransferLeadership(other.id)
	case 11:
		if s.repaired() {
			s.crash(n)
			n.disk.Wipe()
		}
	case 12:
		if s.repaired() {
			_, _, _ = n.core.Node.Remove(other.id)
		}
	case 13:
		s.readmit()
	}
}

// isolate cuts an instance off: 0 for what it sends, 1 for what it gets, 2
// for both.
func (s *sim) isolate(n *simNode, direction int) {
	for _, other := range s.nodes {
		s.cut[[2]uint64{n.id, other.id}] = direction != 1
		s.cut[[2]uint64{other.id, n.id}] = direction != 0
	}
}

// repaired says that in every log that isn't empty every instance votes with
// the disk that it has: only then may another one be lost.
func (s *sim) repaired() bool {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a.core == nil || b.core == nil {
				return false
			}
			config := a.core.Node.Status().Config
			if len(config.Members) > 0 && !config.IsVoter(b.id, b.core.Node.Incarnation) {
				return false
			}
		}
	}
	return true
}

// readmit brings removed instances back.
func (s *sim) readmit() {
	for _, leader := range s.nodes {
		for id, addr := range s.initial {
			if leader.core != nil && leader.core.Node.Status().Leading {
				_, _, _ = leader.core.Node.AddLearner(id, addr)
				_, _, _ = leader.core.Node.Promote(id)
			}
		}
	}
}

// heal ends all faults.
func (s *sim) heal() {
	clear(s.cut)
	s.loss = 0
	for _, n := range s.nodes {
		n.pause, n.slow = 0, 0
		n.disk.OpsUntilCrash, n.disk.FreeBytes, n.disk.SyncError = 0, -1, nil
	}
}

// run drives the instances through faults and checks that they recover.
func (s *sim) run() error {
	s.loss, s.skewed = s.rnd.IntN(20), s.rnd.IntN(4) == 0
	for _, n := range s.nodes {
		if s.skewed {
			n.slow = s.rnd.IntN(4)
		}
	}
	pick := func() *simNode { return s.nodes[s.rnd.IntN(len(s.nodes))] }
	for s.now < simFaults && s.err == nil {
		if s.rnd.IntN(15) == 0 {
			s.fault(pick(), pick())
		}
		s.propose(pick())
		s.step()
		if s.now%25 == 0 {
			s.checkLogs()
		}
	}
	s.heal()
	for s.now < simFaults+simHealed && s.err == nil {
		s.readmit()
		s.step()
	}
	s.checkLogs()
	s.checkHealed()
	s.checkHistory()
	return s.err
}

// checkHistory fails when the swaps are not linearizable.
func (s *sim) checkHistory() {
	var history []porcupine.Operation
	for _, op := range s.history {
		history = append(history, *op)
	}
	if porcupine.CheckOperationsTimeout(registers, history, 10*time.Second) == porcupine.Illegal {
		s.failf("compare-and-set is not linearizable")
	}
}

// registers is the sequential model of one register; keys are independent.
var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[byte][]porcupine.Operation{}
		for _, op := range history {
			if in, ok := op.Input.(swap); ok {
				byKey[in.Key] = append(byKey[in.Key], op)
			}
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return byte(0) },
	Step: func(state, input, output any) (bool, any) {
		in, _ := input.(swap)
		out, _ := output.(swapped)
		if out.Known && out.Value != state {
			return false, state
		}
		if state == in.Want {
			return true, in.Put
		}
		return true, state
	},
}

// number returns a number from the environment.
func number(name string, otherwise uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return v
	}
	return otherwise
}

// Elections are safe, logs match, nothing committed is lost, states are equal,
// swaps are linearizable, and the group recovers. QUORUM_SEED runs one seed,
// QUORUM_SEEDS sets how many.
func TestSimulation(t *testing.T) {
	first, count := uint64(1), number("QUORUM_SEEDS", 2000)
	if seed := number("QUORUM_SEED", 0); seed > 0 {
		first, count = seed, 1
	}
	var group sync.WaitGroup
	const workers = 3
	for w := range uint64(workers) {
		group.Go(func() {
			for seed := first + w; seed < first+count && !t.Failed(); seed += workers {
				if err := newSim(seed, 3+2*int(seed%2)).run(); err != nil {
					t.Errorf("%v\nreplay: QUORUM_SEED=%d go test -run TestSimulation ./internal/crreplica", err, seed)
				}
			}
		})
	}
	group.Wait()
}

// A leader that can send but hears nothing gives way to another one.
func TestSimulationDeafLeader(t *testing.T) {
	for direction := range 3 {
		s := newSim(1, 3)
		for s.now < simHealed && (len(s.sums) < 2 || len(s.leaders) == 0) {
			s.step()
		}
		first := s.leaders[s.nodes[0].core.Node.Status().Term]
		s.isolate(s.nodes[first-1], direction)
		for range 6 * simElection {
			s.step()
		}
		if s.nodes[first-1].core.Node.Status().Leading {
			t.Errorf("direction %d: instance %d still leads", direction, first)
		}
		if len(s.leaders) < 2 || s.err != nil {
			t.Errorf("direction %d: leaders %v, %v", direction, s.leaders, s.err)
		}
	}
}
