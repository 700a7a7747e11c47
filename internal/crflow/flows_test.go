package crflow_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crflow"
	"cardamomring.dev/internal/crwire"
)

// mesh is some agents that pass datagrams to one another.
type mesh struct {
	flows    map[uint32]*crflow.Flows
	full     map[uint32]bool
	leaving  map[uint32]bool
	unknown  map[uint32]bool
	accepted []uint32
}

// newMesh returns n agents, numbered from 1.
func newMesh(n int) *mesh {
	m := &mesh{
		flows: map[uint32]*crflow.Flows{}, full: map[uint32]bool{}, leaving: map[uint32]bool{}, unknown: map[uint32]bool{},
	}
	for i := range n {
		num := uint32(i + 1)
		m.flows[num] = &crflow.Flows{
			Table:        newTable(10, 10),
			HasCapacity:  func() bool { return !m.full[num] && !m.leaving[num] },
			AcceptAsLast: func() bool { return !m.leaving[num] },
			CanForwardTo: func(other uint32) bool { return !m.unknown[other] },
		}
	}
	return m
}

// envelope returns an envelope for the first agent of a chain.
func envelope(accept int, chain ...uint32) *crwire.Envelope {
	e := &crwire.Envelope{Caller: callerAt(1), ReturnAddr: back, AcceptFrom: accept}
	e.ChainLen = copy(e.Chain[:], chain)
	return e
}

// open sends a first packet of a connection along a chain and returns who
// handled it, 0 for nobody.
func (m *mesh) open(connection uint32, accept int, chain ...uint32) uint32 {
	return m.send(connection, true, accept, chain...)
}

// send sends a datagram of an opening connection along a chain and returns
// who handled it, 0 for nobody.
func (m *mesh) send(connection uint32, first bool, accept int, chain ...uint32) uint32 {
	e := envelope(accept, chain...)
	for range crwire.ChainMax {
		num := e.Chain[e.Position]
		switch m.flows[num].Decide(e, connection, first, epoch) {
		case crflow.ActionAccept:
			m.accepted = append(m.accepted, num)
			return num
		case crflow.ActionHandle:
			return num
		case crflow.ActionPass:
		default:
			return 0
		}
	}
	panic("a datagram goes round for ever")
}

func TestHunting(t *testing.T) {
	for _, test := range []struct {
		name  string
		first bool
		full  []uint32
		leave []uint32
		known []uint32
		want  uint32
	}{
		{"room at the first", true, nil, nil, nil, 1},
		{"first full", true, []uint32{1}, nil, nil, 2},
		{"all full: the last accepts", true, []uint32{1, 2, 3}, nil, nil, 3},
		{"first leaving", true, nil, []uint32{1}, nil, 2},
		{"all leaving", true, nil, []uint32{1, 2, 3}, nil, 0},
		{"first full, second gone", true, []uint32{1}, nil, []uint32{2}, 3},
		{"no first packet and no flow", false, nil, nil, nil, 0},
	} {
		m := newMesh(3)
		for _, num := range test.full {
			m.full[num] = true
		}
		for _, num := range test.leave {
			m.leaving[num] = true
		}
		for _, num := range test.known {
			m.unknown[num] = true
		}
		if diff := cmp.Diff(test.want, m.send(1, test.first, 0, 1, 2, 3)); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// TestOpeningFlowStays sends first packets of one flow by balancers with the
// former and the new table while agents fill and empty: one agent accepts.
func TestOpeningFlowStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(5)
		nums := []uint32{1, 2, 3, 4, 5}
		before := rapid.Permutation(nums).Draw(t, "before")[:3]
		after := rapid.Permutation(nums).Draw(t, "after")[:3]
		// A balancer with the new table asks the former first agent before.
		chain, accept := after, 0
		if before[0] != after[0] {
			chain, accept = append([]uint32{before[0]}, after...), 1
		}
		owner := uint32(0)
		for range 20 {
			for _, num := range nums {
				m.full[num] = rapid.Bool().Draw(t, "full")
			}
			var got uint32
			if rapid.Bool().Draw(t, "new table") {
				got = m.open(1, accept, chain...)
			} else {
				got = m.open(1, 0, before...)
			}
			if owner == 0 {
				owner = got
			}
			if got != owner || len(m.accepted) != 1 {
				t.Fatalf("handled by %d, want %d; accepted by %v", got, owner, m.accepted)
			}
		}
	})
}

// TestNewFlowOfKnownCaller opens a second connection from an address whose
// first one ends at an agent that leaves: the new one goes elsewhere, and the
// first one stays.
func TestNewFlowOfKnownCaller(t *testing.T) {
	m := newMesh(2)
	owned := func() uint32 {
		e := envelope(0, 1)
		e.Owned = true
		if m.flows[1].Decide(e, 0, false, epoch) == crflow.ActionHandle {
			return 1
		}
		return 0
	}
	for _, test := range []struct {
		name string
		send func() uint32
		want uint32
	}{
		{"first connection", func() uint32 { return m.open(1, 0, 1, 2) }, 1},
		{"its later packets", owned, 1},
		{"its first packet again, while the agent leaves", func() uint32 {
			m.leaving[1] = true
			return m.open(1, 0, 1, 2)
		}, 1},
		{"second connection", func() uint32 { return m.open(2, 0, 1, 2) }, 2},
		{"its first packet again", func() uint32 { return m.open(2, 0, 1, 2) }, 2},
		{"later packets of the first connection", owned, 1},
	} {
		if diff := cmp.Diff(test.want, test.send()); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
		if _, ok := m.flows[1].ReturnAddr(callerAt(1), epoch); !ok {
			t.Errorf("%s: agent 1 has no way back to the caller", test.name)
		}
	}
}

// TestLoop lets two agents point at each other: the flow is decided anew.
func TestLoop(t *testing.T) {
	m := newMesh(2)
	for num, other := range map[uint32]uint32{1: 2, 2: 1} {
		m.flows[num].Table.Put(crflow.Key{Caller: callerAt(1), OpeningKey: 1}, crflow.Flow{ForwardedTo: other}, epoch)
	}
	for range 3 {
		if diff := cmp.Diff(uint32(1), m.open(1, 0, 1, 2)); diff != "" {
			t.Error(diff)
		}
	}
}

func TestOwnedGoesAnywhere(t *testing.T) {
	m := newMesh(1)
	m.full[1], m.leaving[1] = true, true
	e := envelope(0, 1)
	e.Owned = true
	if diff := cmp.Diff(crflow.ActionHandle, m.flows[1].Decide(e, 0, false, epoch)); diff != "" {
		t.Error(diff)
	}
	if to, ok := m.flows[1].ReturnAddr(callerAt(1), epoch); !ok || to != back {
		t.Errorf("way back %s %v", to, ok)
	}
}
