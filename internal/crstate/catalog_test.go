package crstate_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// catalog sends a catalog as a change.
func catalog(state *crstate.State, id string, version uint64, source string, found ...crdoc.Finding) crstate.Reply {
	c := &crwire.Change{ID: id, Kind: crwire.KindCatalog, Catalog: &crdoc.Catalog{Version: version}, Source: []byte(source)}
	return state.Apply(crstate.Entry{Kind: crwire.KindCatalog, Time: start, Change: c, Findings: found})
}

// TestHighestCatalogWins: a lower version and another catalog of the same
// version are acknowledged and change nothing, in any order, also after a
// snapshot.
func TestHighestCatalogWins(t *testing.T) {
	state := crstate.New()
	var codes []crwire.Code
	var held []string
	for i, c := range []struct {
		version uint64
		source  string
	}{{5, "five"}, {3, "three"}, {5, "other five"}, {9, "nine"}, {5, "five"}, {9, "other nine"}} {
		reply := catalog(state, fmt.Sprint(i), c.version, c.source)
		codes = append(codes, reply.Result.Code)
		held = append(held, string(state.CatalogSource().Source))
		restored, err := crstate.Restore(state.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		state = restored
	}
	if diff := cmp.Diff([]string{"five", "five", "five", "nine", "nine", "nine"}, held); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	for i, code := range codes {
		if code != crwire.CodeOK {
			t.Errorf("change %d: %s", i, code)
		}
	}
	if diff := cmp.Diff(uint64(9), state.View().Catalog.Version); diff != "" {
		t.Errorf("version in force (-want +got):\n%s", diff)
	}
}

func TestInvalidCatalogChangesNothing(t *testing.T) {
	state := crstate.New()
	catalog(state, "1", 1, "one")
	reply := catalog(state, "2", 2, "two", crdoc.Finding{Place: "routes.r", Text: "bad"})
	if reply.Result.Code != crwire.CodeInvalid || reply.Delta != nil || state.CatalogSource().Version != 1 {
		t.Errorf("%+v, version %d", reply, state.CatalogSource().Version)
	}
}
