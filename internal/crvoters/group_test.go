package crvoters_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crvoters"
)

// newGroup returns a group of voters, one in each of the zones, that were added one
// after the other.
func newGroup(faultTolerance int, zones ...string) *crvoters.Group {
	g := &crvoters.Group{
		Config: crquorum.Config{Members: map[uint64]crquorum.Member{}}, Silence: map[uint64]time.Duration{},
		Answered: map[uint64]bool{}, Stopping: map[uint64]bool{}, FaultTolerance: faultTolerance,
	}
	for i, zone := range zones {
		id := uint64(i) + 1
		g.Config.Members[id] = crquorum.Member{Zone: zone, Since: id}
		g.Answered[id] = true
	}
	return g
}

// apply carries out a change. Joining instances get their vote at once.
func apply(g *crvoters.Group, c crvoters.Change) {
	m := g.Config.Members[c.ID]
	switch c.Op {
	case crvoters.OpPromote:
		m.Role = crquorum.RoleVoter
	case crvoters.OpDemote:
		m.Role = crquorum.RoleLearner
	case crvoters.OpRemove:
		delete(g.Config.Members, c.ID)
		return
	case crvoters.OpNone:
		return
	}
	g.Config.Members[c.ID] = m
}

// settle carries out all changes and returns them.
func settle(g *crvoters.Group) []string {
	var changes []string
	for c := g.Next(); c.Op != crvoters.OpNone && len(changes) < 100; c = g.Next() {
		changes = append(changes, fmt.Sprint(c.Op, " ", c.ID))
		apply(g, c)
	}
	return changes
}

// TestChanges checks which votes change when instances come, stop and go.
func TestChanges(t *testing.T) {
	learner := func(g *crvoters.Group, id uint64) {
		m := g.Config.Members[id]
		m.Role = crquorum.RoleLearner
		g.Config.Members[id] = m
	}
	for name, c := range map[string]struct {
		group *crvoters.Group
		set   func(g *crvoters.Group)
		want  []string
	}{
		"three voters": {group: newGroup(1, "a", "b", "c")},
		"two voters":   {group: newGroup(1, "a", "b")},
		"successor votes in place of the old one in its zone": {
			group: newGroup(1, "a", "b", "c", "b"),
			set:   func(g *crvoters.Group) { learner(g, 4) },
			want:  []string{"promote 4", "demote 2"},
		},
		"nobody else in the zone of the newest": {
			group: newGroup(1, "a", "b", "c", "d"),
			set:   func(g *crvoters.Group) { learner(g, 4) },
		},
		"unknown zones": {group: newGroup(1, "", "", "", ""), want: []string{"demote 4"}},
		"five vote":     {group: newGroup(1, "a", "b", "c", "a", "b")},
		"six of which five are needed": {
			group: newGroup(2, "a", "b", "c", "a", "b", "c"),
			want:  []string{"demote 3"},
		},
		"spare votes in place of a voter that stops": {
			group: newGroup(1, "a", "b", "c", "b"),
			set:   func(g *crvoters.Group) { learner(g, 2); g.Stopping[3] = true },
			want:  []string{"promote 2", "demote 3"},
		},
		"spare votes in place of a silent voter": {
			group: newGroup(1, "a", "b", "c", "b"),
			set:   func(g *crvoters.Group) { learner(g, 2); g.Silence[1] = crvoters.SpareSilence },
			want:  []string{"promote 2", "demote 1"},
		},
		"a voter that is needed keeps its vote": {
			group: newGroup(1, "a", "b", "c"),
			set:   func(g *crvoters.Group) { g.Silence[1] = time.Hour; g.Stopping[2] = true },
		},
		"a silent voter is demoted and removed if enough remain": {
			group: newGroup(1, "a", "b", "c", "d"),
			set:   func(g *crvoters.Group) { g.Silence[1] = crvoters.MemberSilence },
			want:  []string{"demote 1", "remove 1"},
		},
		"a silent learner is removed": {
			group: newGroup(1, "a", "b", "c", "d"),
			set:   func(g *crvoters.Group) { learner(g, 4); g.Silence[4] = crvoters.MemberSilence },
			want:  []string{"remove 4"},
		},
		"a learner that hasn't answered a new leader isn't promoted": {
			group: newGroup(1, "a", "b", "c", "a", "b"),
			set:   func(g *crvoters.Group) { learner(g, 4); g.Answered[4] = false },
			want:  []string{"demote 2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if c.set != nil {
				c.set(c.group)
			}
			if diff := cmp.Diff(c.want, settle(c.group)); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
}

// bears returns how many further instances the group may lose without losing its
// quorum.
func bears(g *crvoters.Group) int {
	answering := 0
	for id, m := range g.Config.Members {
		if m.Role == crquorum.RoleVoter && g.Silence[id] < crvoters.SpareSilence {
			answering++
		}
	}
	return answering - (g.Config.VoterCount()/2 + 1)
}

// settleBearing carries out all changes and fails if one reduces the losses that the
// group bears below those that it should bear.
func settleBearing(t *rapid.T, g *crvoters.Group) {
	before := bears(g)
	for range 4 * len(g.Config.Members) {
		c := g.Next()
		apply(g, c)
		now := bears(g)
		if now < min(before, g.FaultTolerance) {
			t.Fatalf("%s %d: bears %d losses, before %d", c.Op, c.ID, now, before)
		}
		before = now
	}
	if c := g.Next(); c.Op != crvoters.OpNone {
		t.Fatalf("the voters keep changing: %s %d", c.Op, c.ID)
	}
}

// TestEachChangeBearsLosses guards against a group that bears fewer losses than stated
// while its voters change, or in the end.
func TestEachChangeBearsLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c"}), 1, 9).Draw(t, "zones")
		g := newGroup(rapid.IntRange(0, 3).Draw(t, "fault tolerance"), zones...)
		answering := 0
		for id := range uint64(len(zones)) {
			id++
			m := g.Config.Members[id]
			m.Role = rapid.SampledFrom([]crquorum.Role{crquorum.RoleVoter, crquorum.RoleLearner}).Draw(t, "role")
			g.Config.Members[id] = m
			if rapid.IntRange(0, 3).Draw(t, "silent") == 0 {
				g.Silence[id] = rapid.SampledFrom([]time.Duration{crvoters.SpareSilence, crvoters.VoterSilence, crvoters.MemberSilence}).Draw(t, "silence")
				continue
			}
			answering++
		}
		if bears(g) < 0 {
			t.Skip("no quorum")
		}
		settleBearing(t, g)
		for id, silence := range g.Silence {
			g.Silence[id] = max(silence, crvoters.VoterSilence)
		}
		settleBearing(t, g)
		if answering >= max(3, 2*g.FaultTolerance+1) && bears(g) < g.FaultTolerance {
			t.Fatalf("%d instances answer, %d losses are borne, want %d: %+v", answering, bears(g), g.FaultTolerance, g.Config)
		}
	})
}
