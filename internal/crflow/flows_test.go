package crflow_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crflow"
	"cardamomring.dev/internal/crwire"
)

// agentGroup is a group of agents that forward datagrams to one another.
type agentGroup struct {
	flows       map[uint32]*crflow.Flows
	full        map[uint32]bool
	draining    map[uint32]bool
	unreachable map[uint32]bool
	accepted    []uint32
}

// newAgentGroup returns a group of n agents, numbered from 1.
func newAgentGroup(n int) *agentGroup {
	g := &agentGroup{
		flows: map[uint32]*crflow.Flows{}, full: map[uint32]bool{}, draining: map[uint32]bool{}, unreachable: map[uint32]bool{},
	}
	for i := range n {
		num := uint32(i + 1)
		g.flows[num] = &crflow.Flows{
			Table:        newTable(10, 10),
			HasCapacity:  func() bool { return !g.full[num] && !g.draining[num] },
			AcceptAsLast: func() bool { return !g.draining[num] },
			CanForwardTo: func(other uint32) bool { return !g.unreachable[other] },
		}
	}
	return g
}

// envelope returns an envelope to the first agent of a chain.
func envelope(accept int, chain ...uint32) *crwire.Envelope {
	e := &crwire.Envelope{Caller: callerAt(1), ReturnAddr: returnAddr, AcceptFrom: accept}
	e.ChainLen = copy(e.Chain[:], chain)
	return e
}

// open sends a first packet of a connection along a chain. It returns the agent
// that handled the packet, or 0 if none did.
func (g *agentGroup) open(connection uint32, accept int, chain ...uint32) uint32 {
	return g.send(connection, true, accept, chain...)
}

// send sends a datagram of an opening connection along a chain. It returns the
// agent that handled the datagram, or 0 if none did.
func (g *agentGroup) send(connection uint32, first bool, accept int, chain ...uint32) uint32 {
	e := envelope(accept, chain...)
	for range crwire.ChainMax {
		num := e.Chain[e.Position]
		switch g.flows[num].Decide(e, connection, first, epoch) {
		case crflow.ActionAccept:
			g.accepted = append(g.accepted, num)
			return num
		case crflow.ActionHandle:
			return num
		case crflow.ActionPass:
		default:
			return 0
		}
	}
	panic("datagram is forwarded endlessly")
}

func TestFirstPacketFindsAgent(t *testing.T) {
	for _, test := range []struct {
		name        string
		first       bool
		full        []uint32
		draining    []uint32
		unreachable []uint32
		want        uint32
	}{
		{"first agent has capacity", true, nil, nil, nil, 1},
		{"first agent full", true, []uint32{1}, nil, nil, 2},
		{"all agents full, last one accepts", true, []uint32{1, 2, 3}, nil, nil, 3},
		{"first agent draining", true, nil, []uint32{1}, nil, 2},
		{"all agents draining", true, nil, []uint32{1, 2, 3}, nil, 0},
		{"first agent full, second unreachable", true, []uint32{1}, nil, []uint32{2}, 3},
		{"later packet of an unknown flow", false, nil, nil, nil, 0},
	} {
		g := newAgentGroup(3)
		for _, num := range test.full {
			g.full[num] = true
		}
		for _, num := range test.draining {
			g.draining[num] = true
		}
		for _, num := range test.unreachable {
			g.unreachable[num] = true
		}
		if diff := cmp.Diff(test.want, g.send(1, test.first, 0, 1, 2, 3)); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// TestOpeningFlowHasOneOwner sends first packets of one flow through balancers with
// the old and the new table, while the agents gain and lose capacity. If two agents
// accepted the flow, the caller's connection would break.
func TestOpeningFlowHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newAgentGroup(5)
		nums := []uint32{1, 2, 3, 4, 5}
		oldChain := rapid.Permutation(nums).Draw(t, "oldChain")[:3]
		newChain := rapid.Permutation(nums).Draw(t, "newChain")[:3]
		// A balancer with the new table still tries the first agent of the old
		// table first, which handles only flows that it already knows.
		chain, accept := newChain, 0
		if oldChain[0] != newChain[0] {
			chain, accept = append([]uint32{oldChain[0]}, newChain...), 1
		}
		owner := uint32(0)
		for range 20 {
			for _, num := range nums {
				g.full[num] = rapid.Bool().Draw(t, "full")
			}
			var got uint32
			if rapid.Bool().Draw(t, "new table") {
				got = g.open(1, accept, chain...)
			} else {
				got = g.open(1, 0, oldChain...)
			}
			if owner == 0 {
				owner = got
			}
			if got != owner || len(g.accepted) != 1 {
				t.Fatalf("handled by %d, want %d; accepted by %v", got, owner, g.accepted)
			}
		}
	})
}

// TestNewFlowOfKnownCaller opens a second connection from the address of an existing
// one whose agent is draining. If flows were identified by address alone, the
// draining agent would get the new connection too.
func TestNewFlowOfKnownCaller(t *testing.T) {
	g := newAgentGroup(2)
	owned := func() uint32 {
		e := envelope(0, 1)
		e.Owned = true
		if g.flows[1].Decide(e, 0, false, epoch) == crflow.ActionHandle {
			return 1
		}
		return 0
	}
	for _, test := range []struct {
		name string
		send func() uint32
		want uint32
	}{
		{"first connection", func() uint32 { return g.open(1, 0, 1, 2) }, 1},
		{"later packets of the first connection", owned, 1},
		{"first packet of the first connection again, while its agent drains", func() uint32 {
			g.draining[1] = true
			return g.open(1, 0, 1, 2)
		}, 1},
		{"second connection", func() uint32 { return g.open(2, 0, 1, 2) }, 2},
		{"first packet of the second connection again", func() uint32 { return g.open(2, 0, 1, 2) }, 2},
		{"later packets of the first connection, with the second one open", owned, 1},
	} {
		if diff := cmp.Diff(test.want, test.send()); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
		if _, ok := g.flows[1].ReturnAddr(callerAt(1), epoch); !ok {
			t.Errorf("%s: agent 1 has no return address for the caller", test.name)
		}
	}
}

// TestForwardingLoopEnds starts with two agents whose tables forward the same flow
// to each other. One of them must accept the flow.
func TestForwardingLoopEnds(t *testing.T) {
	g := newAgentGroup(2)
	for num, other := range map[uint32]uint32{1: 2, 2: 1} {
		g.flows[num].Table.Put(crflow.Key{Caller: callerAt(1), OpeningKey: 1}, crflow.Flow{ForwardedTo: other}, epoch)
	}
	for range 3 {
		if diff := cmp.Diff(uint32(1), g.open(1, 0, 1, 2)); diff != "" {
			t.Error(diff)
		}
	}
}

func TestOwnedDatagramIsAlwaysHandled(t *testing.T) {
	g := newAgentGroup(1)
	g.full[1], g.draining[1] = true, true
	e := envelope(0, 1)
	e.Owned = true
	if diff := cmp.Diff(crflow.ActionHandle, g.flows[1].Decide(e, 0, false, epoch)); diff != "" {
		t.Error(diff)
	}
	if to, ok := g.flows[1].ReturnAddr(callerAt(1), epoch); !ok || to != returnAddr {
		t.Errorf("return address %s, found %v", to, ok)
	}
}
