package crreplica_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cardamomring.dev/internal/crquorum"
)

// propose starts a swap at a random instance.
func (s *sim) propose() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	if n.core == nil || n.paused > 0 {
		return
	}
	in := swap{Key: fmt.Sprint("key-", s.rnd.IntN(3)), Want: s.rnd.IntN(3), Put: s.rnd.IntN(3), ID: s.stamp}
	data, _ := json.Marshal(in)
	index, term, err := n.core.Node.Propose(data)
	if err != nil {
		return
	}
	op := &porcupine.Operation{
		ClientId: len(s.history), Input: in, Call: s.next(), Output: swapped{}, Return: math.MaxInt64,
	}
	s.history = append(s.history, op)
	n.waiting[index] = call{term, op}
	if s.rnd.IntN(2) == 0 {
		s.settle(n)
	}
}

// fault lets something fail, now and then.
func (s *sim) fault() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	if s.rnd.IntN(15) != 0 || n.core == nil {
		return
	}
	other := s.nodes[s.rnd.IntN(len(s.nodes))]
	switch s.rnd.IntN(12) {
	case 0, 1:
		s.crash(n)
	case 2:
		n.disk.CrashIn = 1 + s.rnd.IntN(8)
	case 3:
		n.disk.Space = s.rnd.IntN(200)
	case 4:
		n.disk.SyncError = errors.New("input/output error")
	case 5:
		n.paused = s.rnd.IntN(6 * simElection)
	case 6:
		s.cut[[2]uint64{n.id, other.id}] = true
	case 7:
		s.cut[[2]uint64{n.id, other.id}], s.cut[[2]uint64{other.id, n.id}] = true, true
	case 8:
		clear(s.cut)
	case 9:
		s.isolate(n)
	case 10:
		_ = n.core.Node.Transfer(other.id)
	case 11:
		s.loseDisk(n)
	}
}

// isolate cuts every link of an instance, in one direction or in both.
func (s *sim) isolate(n *simNode) {
	direction := s.rnd.IntN(3)
	for _, other := range s.nodes {
		s.cut[[2]uint64{n.id, other.id}] = direction != 0
		s.cut[[2]uint64{other.id, n.id}] = direction != 1
	}
}

// loseDisk empties a disk if all the lost ones have been repaired.
func (s *sim) loseDisk(n *simNode) {
	if s.repaired() {
		s.crash(n)
		n.disk.Lose()
		s.lost[n.id] = true
	}
}

// heal ends all faults.
func (s *sim) heal() {
	clear(s.cut)
	s.loss = 0
	for _, n := range s.nodes {
		n.paused, n.slowness = 0, 0
		n.disk.CrashIn, n.disk.Space, n.disk.SyncError = 0, -1, nil
	}
}

// run drives one seed to its end.
func (s *sim) run() error {
	for s.now < simFaults && s.err == nil {
		s.fault()
		s.propose()
		s.step()
		if s.now%25 == 0 {
			s.checkLogs()
		}
	}
	s.heal()
	for range simHealed {
		s.step()
	}
	s.checkLogs()
	s.checkHealed()
	var history []porcupine.Operation
	for _, op := range s.history {
		history = append(history, *op)
	}
	if s.err == nil && porcupine.CheckOperationsTimeout(registers, history, 10*time.Second) == porcupine.Illegal {
		s.failf("compare-and-set is not linearizable")
	}
	if s.err != nil {
		s.dump()
	}
	return s.err
}

// registers is the sequential model of one register; keys are independent.
var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			if in, ok := op.Input.(swap); ok {
				byKey[in.Key] = append(byKey[in.Key], op)
			}
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return 0 },
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

// TestSimulation runs many seeds. QUORUM_SEED runs a single one, QUORUM_SEEDS
// sets how many.
func TestSimulation(t *testing.T) {
	first, count := uint64(1), uint64(2000)
	if v, err := strconv.ParseUint(os.Getenv("QUORUM_SEEDS"), 10, 64); err == nil {
		count = v
	}
	if v, err := strconv.ParseUint(os.Getenv("QUORUM_SEED"), 10, 64); err == nil {
		first, count = v, 1
	}
	var group sync.WaitGroup
	const workers = 3
	for w := range uint64(workers) {
		group.Go(func() {
			for seed := first + w; seed < first+count && !t.Failed(); seed += workers {
				if err := newSim(seed).run(); err != nil {
					t.Errorf("%v\nreplay: QUORUM_SEED=%d go test -run TestSimulation ./internal/crreplica", err, seed)
				}
			}
		})
	}
	group.Wait()
}

var _ = crquorum.EntryData
