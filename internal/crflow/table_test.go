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
	epoch      = time.Unix(1_000_000, 0)
	returnAddr = netip.MustParseAddrPort("10.0.0.1:9")
)

// keyAt returns the i-th key; each caller has two keys.
func keyAt(i int) crflow.Key {
	return crflow.Key{Caller: callerAt(i / 2), OpeningKey: uint32(i % 2)}
}

// callerAt returns the address of the i-th caller.
func callerAt(i int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(i))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 4242)
}

// newTable returns an initialised table.
func newTable(confirmed, probation int) *crflow.Table {
	t := &crflow.Table{MaxConfirmed: confirmed, MaxProbation: probation, ConfirmedIdleTimeout: time.Minute, ProbationIdleTimeout: 10 * time.Second}
	t.Init()
	return t
}

func TestFloodKeepsConfirmedFlows(t *testing.T) {
	const confirmed, flood = 100, 100_000
	table := newTable(confirmed, 10)
	for i := range confirmed {
		table.Put(keyAt(i), crflow.Flow{ReturnAddr: returnAddr}, epoch)
		table.Confirm(keyAt(i), epoch)
	}
	for i := range flood {
		table.Put(keyAt(confirmed+i), crflow.Flow{ReturnAddr: returnAddr}, epoch)
		table.Confirm(keyAt(confirmed+i), epoch)
	}
	kept := 0
	for i := range confirmed {
		if _, ok := table.Get(keyAt(i), epoch); ok {
			kept++
		}
	}
	if diff := cmp.Diff(confirmed, kept); diff != "" {
		t.Errorf("confirmed flows after a flood: %s", diff)
	}
	gotConfirmed, gotProbation := table.Len()
	if diff := cmp.Diff([]int{confirmed, 10}, []int{gotConfirmed, gotProbation}); diff != "" {
		t.Error(diff)
	}
}

// modelFlow is a flow in the model map of TestTableModel.
type modelFlow struct {
	flow      crflow.Flow
	confirmed bool
	lastUsed  time.Time
}

// TestTableModel compares the table with a map that removes only idle flows. The
// areas of the table are large enough for all keys, so that nothing is evicted.
func TestTableModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model, now := newTable(8, 8), map[crflow.Key]*modelFlow{}, epoch
		expire := func() {
			for key, m := range model {
				idle := table.ProbationIdleTimeout
				if m.confirmed {
					idle = table.ConfirmedIdleTimeout
				}
				if now.Sub(m.lastUsed) > idle {
					delete(model, key)
				}
			}
		}
		keys := rapid.Map(rapid.IntRange(0, 7), keyAt)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				expire()
			},
			"put": func(t *rapid.T) {
				k, f := keys.Draw(t, "key"), crflow.Flow{ReturnAddr: returnAddr, ForwardedTo: rapid.Uint32Max(3).Draw(t, "forwarded to")}
				table.Put(k, f, now)
				if model[k] == nil {
					model[k] = &modelFlow{}
				}
				model[k].flow, model[k].lastUsed = f, now
			},
			"confirm": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				table.Confirm(k, now)
				if m := model[k]; m != nil && !m.confirmed {
					m.confirmed, m.lastUsed = true, now
				}
			},
			"remove": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				table.Remove(k)
				delete(model, k)
			},
			"": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				got, ok := table.Get(k, now)
				m := model[k]
				if ok != (m != nil) || ok && got != m.flow {
					t.Fatalf("%+v: got %+v %v, want %+v", k, got, ok, m)
				}
				if ok {
					m.lastUsed = now
				}
			},
		})
	})
}
