package crstate_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// applyCatalog applies a change that sets the catalog.
func applyCatalog(
	state *crstate.State, id string, version uint64, source string, findings ...crdoc.Finding,
) crstate.Reply {
	c := &crwire.Change{ID: id, Kind: crwire.KindCatalog, Catalog: &crdoc.Catalog{Version: version}, Source: []byte(source)}
	return state.Apply(crstate.Entry{Kind: crwire.KindCatalog, Time: start, Change: c, Findings: findings})
}

// TestHighestCatalogWins sends catalogs out of order, with a snapshot and
// restore after each. A catalog with a lower or equal version is acknowledged
// but must not replace the current one.
func TestHighestCatalogWins(t *testing.T) {
	state := crstate.New()
	var codes []crwire.Code
	var sources []string
	for i, c := range []struct {
		version uint64
		source  string
	}{{5, "five"}, {3, "three"}, {5, "other five"}, {9, "nine"}, {5, "five"}, {9, "other nine"}} {
		reply := applyCatalog(state, fmt.Sprint(i), c.version, c.source)
		codes = append(codes, reply.Result.Code)
		sources = append(sources, string(state.CatalogSource().Source))
		restored, err := crstate.Restore(state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		state = restored
	}
	if diff := cmp.Diff([]string{"five", "five", "five", "nine", "nine", "nine"}, sources); diff != "" {
		t.Errorf("catalog sources (-want +got):\n%s", diff)
	}
	for i, code := range codes {
		if code != crwire.CodeOK {
			t.Errorf("change %d: got code %s, want ok", i, code)
		}
	}
	if diff := cmp.Diff(uint64(9), state.View().Catalog.Version); diff != "" {
		t.Errorf("current version (-want +got):\n%s", diff)
	}
}

func TestInvalidCatalogChangesNothing(t *testing.T) {
	state := crstate.New()
	applyCatalog(state, "1", 1, "one")
	reply := applyCatalog(state, "2", 2, "two", crdoc.Finding{Place: "routes.r", Text: "bad"})
	if reply.Result.Code != crwire.CodeInvalid || reply.Delta != nil || state.CatalogSource().Version != 1 {
		t.Errorf("invalid catalog: reply %+v, current version %d", reply, state.CatalogSource().Version)
	}
}
