package crflow_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomring.dev/internal/crflow"
)

var (
	epoch = time.Unix(1_000_000, 0)
	back  = netip.MustParseAddrPort("10.0.0.1:9")
)

// keyAt returns the key of the i-th caller.
func keyAt(i int) crflow.Key {
	return crflow.Key{Caller: callerAt(i / 2), OpeningKey: uint32(i % 2)}
}

// callerAt returns the address of the i-th caller.
func callerAt(i int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(i))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 4242)
}

// newTable returns a small table.
func newTable(live, probation int) *crflow.Table {
	t := &crflow.Table{MaxConfirmed: live, MaxProbation: probation, ConfirmedIdleTimeout: time.Minute, ProbationIdleTimeout: 10 * time.Second}
	t.Init()
	return t
}

func TestTableFlood(t *testing.T) {
	const live, flood = 100, 100_000
	table := newTable(live, 10)
	for i := range live {
		table.Put(keyAt(i), crflow.Flow{ReturnAddr: back}, epoch)
		table.Confirm(keyAt(i), epoch)
	}
	for i := range flood {
		table.Put(keyAt(live+i), crflow.Flow{ReturnAddr: back}, epoch)
		table.Confirm(keyAt(live+i), epoch)
	}
	kept := 0
	for i := range live {
		if _, ok := table.Get(keyAt(i), epoch); ok {
			kept++
		}
	}
	if diff := cmp.Diff(live, kept); diff != "" {
		t.Errorf("live flows after a flood: %s", diff)
	}
	gotLive, gotProbation := table.Len()
	if diff := cmp.Diff([]int{live, 10}, []int{gotLive, gotProbation}); diff != "" {
		t.Error(diff)
	}
}

// modelFlow is a flow in the model of the table.
type modelFlow struct {
	flow crflow.Flow
	live bool
	seen time.Time
}

// TestTableModel compares the table with a map that forgets nothing but by
// age. The table's areas are larger than the number of callers.
func TestTableModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model, now := newTable(8, 8), map[crflow.Key]*modelFlow{}, epoch
		age := func() {
			for caller, m := range model {
				idle := table.ProbationIdleTimeout
				if m.live {
					idle = table.ConfirmedIdleTimeout
				}
				if now.Sub(m.seen) > idle {
					delete(model, caller)
				}
			}
		}
		caller := rapid.Map(rapid.IntRange(0, 7), keyAt)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				age()
			},
			"put": func(t *rapid.T) {
				c, f := caller.Draw(t, "caller"), crflow.Flow{ReturnAddr: back, ForwardedTo: rapid.Uint32Max(3).Draw(t, "passed")}
				table.Put(c, f, now)
				if model[c] == nil {
					model[c] = &modelFlow{}
				}
				model[c].flow, model[c].seen = f, now
			},
			"confirm": func(t *rapid.T) {
				c := caller.Draw(t, "caller")
				table.Confirm(c, now)
				if m := model[c]; m != nil && !m.live {
					m.live, m.seen = true, now
				}
			},
			"remove": func(t *rapid.T) {
				c := caller.Draw(t, "caller")
				table.Remove(c)
				delete(model, c)
			},
			"": func(t *rapid.T) {
				c := caller.Draw(t, "caller")
				got, ok := table.Get(c, now)
				m := model[c]
				if ok != (m != nil) || ok && got != m.flow {
					t.Fatalf("%+v: got %+v %v, want %+v", c, got, ok, m)
				}
				if ok {
					m.seen = now
				}
			},
		})
	})
}
