package crreplica_test

import (
	"errors"
	"fmt"
	"testing"
)

const (
	// firstStartTicks is the time in which faults strike. It covers the first election
	// and the first entries.
	firstStartTicks = 40
	// firstStartCutTicks is how long an instance is cut off.
	firstStartCutTicks = 275
)

// Faults at the first start.
const (
	firstStartKill = iota
	firstStartWipe
	firstStartCut
	numFirstStartFaults
)

// firstStartFault is a fault that strikes an instance at a tick.
type firstStartFault struct {
	kind, tick int
	id         uint64
}

// strike injects a fault into a group that starts for the first time.
func (f firstStartFault) strike(r *replacementSim) {
	n := r.nodes[f.id-1]
	if f.kind == firstStartCut {
		r.isolate(n, 2)
		return
	}
	r.crash(n)
	if f.kind == firstStartWipe {
		n.disk.Wipe()
	}
}

// playFirstStart plays faults at the first start of three instances. An entry is
// proposed at each tick, and a committed one must not be lost.
func playFirstStart(seed uint64, faults []firstStartFault) error {
	r := startReplacementSim(seed, 1)
	for r.now < replaceRecoveryTicks {
		for _, f := range faults {
			if f.tick == r.now {
				f.strike(r)
			}
			if f.kind == firstStartCut && r.now == f.tick+firstStartCutTicks {
				clear(r.blocked)
			}
		}
		if leader := r.leader(); leader != nil {
			r.propose(leader)
		}
		r.tick()
	}
	clear(r.blocked)
	for range replaceRecoveryTicks {
		r.tick()
	}
	if !r.commit() {
		return errors.Join(errors.New("no entry is committed"), r.err)
	}
	for range replaceCatchUpTicks {
		r.tick()
	}
	r.checkHealed()
	return r.err
}

// TestSimulationFirstStart guards against a first start that never ends, or that loses
// what was acknowledged: one instance loses its disk, is killed or is cut off at any
// moment, and another fault strikes another instance. One disk is lost at most.
func TestSimulationFirstStart(t *testing.T) {
	for kind, name := range []string{"kill", "wipe", "cut"} {
		for id := range uint64(3) {
			t.Run(fmt.Sprint(name, " ", id+1), func(t *testing.T) {
				t.Parallel()
				for tick := range firstStartTicks {
					playSecondFaults(t, firstStartFault{kind: kind, id: id + 1, tick: tick})
				}
			})
		}
	}
}

// playSecondFaults plays a fault together with each fault of each instance.
func playSecondFaults(t *testing.T, first firstStartFault) {
	t.Helper()
	for second := range uint64(3 * numFirstStartFaults) {
		seed := uint64(first.tick)*100 + uint64(first.kind)*30 + first.id*10 + second
		faults := []firstStartFault{first, {
			kind: int(second) % numFirstStartFaults, id: 1 + second/numFirstStartFaults, tick: first.tick + int(seed)%25,
		}}
		if first.kind == firstStartWipe && faults[1].kind == firstStartWipe {
			faults = faults[:1]
		}
		if err := playFirstStart(seed, faults); err != nil {
			t.Fatalf("seed %d, %+v: %v", seed, faults, err)
		}
	}
}
