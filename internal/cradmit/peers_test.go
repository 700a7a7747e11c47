package cradmit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomring.dev/internal/cradmit"
)

func TestPeersPickOnlyLessLoadedAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &cradmit.Peers{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).Float64}
		names := []string{"a", "b", "c"}
		loads := map[string]int{}
		failed := map[string]int{}
		for _, name := range names {
			loads[name] = rapid.IntRange(0, 150).Draw(t, name)
			p.RecordAnswer(name, loads[name], epoch)
			for range rapid.IntRange(0, 4).Draw(t, name+" failures") {
				p.RecordFailure(name, epoch)
				failed[name]++
			}
		}
		own := rapid.IntRange(0, 150).Draw(t, "own")
		for range 20 {
			name, ok := p.PickLessLoaded(own, names, epoch)
			if ok && (loads[name] >= own || loads[name] >= 100 || failed[name] >= 3) {
				t.Fatalf("picked agent %s with load %d and %d failures; own load is %d", name, loads[name], failed[name], own)
			}
			least, ok := p.PickLeastLoaded(names, epoch.Add(time.Millisecond))
			if ok && failed[least] >= 3 {
				t.Fatalf("picked agent %s as least loaded despite %d failures", least, failed[least])
			}
		}
	})
}
