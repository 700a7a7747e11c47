package crstate_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// applyService applies a change that sets a service document.
func applyService(
	state *crstate.State, id, author string, doc crdoc.Service, findings ...crdoc.Finding,
) crstate.Reply {
	c := &crwire.Change{ID: id, Author: author, Service: &doc}
	return state.Apply(crstate.Entry{Time: start, Change: c, Findings: findings})
}

// applyZone applies a change of a zone.
func applyZone(state *crstate.State, id string, kind crwire.Kind, name string) {
	c := &crwire.Change{ID: id, Author: "ann", Kind: kind, Zone: name}
	state.Apply(crstate.Entry{Kind: kind, Time: start, Change: c})
}

func TestConcurrentChangesOfOneVersionHaveOneWinner(t *testing.T) {
	state := crstate.New()
	applyService(state, "0", "ann", crdoc.Service{Name: "s"})
	codes := map[crwire.Code]int{}
	winners := map[string]int{}
	for i := range 10 {
		r := applyService(state, fmt.Sprint("id", i), fmt.Sprint("operator", i), crdoc.Service{Name: "s", Version: 1}).Result
		codes[r.Code]++
		winners[r.Winner]++
	}
	if diff := cmp.Diff(map[crwire.Code]int{crwire.CodeOK: 1, crwire.CodeConflict: 9}, codes); diff != "" {
		t.Errorf("codes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"": 1, "operator0": 9}, winners); diff != "" {
		t.Errorf("winners (-want +got):\n%s", diff)
	}
}

func TestRetryWithSameIDGetsTheSameResult(t *testing.T) {
	state := crstate.New()
	first := applyService(state, "1", "ann", crdoc.Service{Name: "s"})
	applyService(state, "2", "bob", crdoc.Service{Name: "s", Version: 1})
	retry := applyService(state, "1", "ann", crdoc.Service{Name: "s"})
	if diff := cmp.Diff(first.Result, retry.Result); diff != "" || retry.Delta != nil {
		t.Errorf("result of the retry, with delta %v (-first +retry):\n%s", retry.Delta, diff)
	}
	other := applyService(state, "1", "ann", crdoc.Service{Name: "other"}).Result
	if other.Code != crwire.CodeInvalid {
		t.Errorf("a different change with the same ID: %+v", other)
	}
}

func TestRejectedChangesAreAuditedAndChangeNothing(t *testing.T) {
	state := crstate.New()
	applyService(state, "1", "ann", crdoc.Service{Name: "s", Address: "x", Hosts: []string{"h"}})
	applyService(state, "2", "bob", crdoc.Service{Name: "t", Address: "x", Hosts: []string{"h"}})
	applyService(state, "3", "bob", crdoc.Service{Name: "t"}, crdoc.Finding{Place: "name", Text: "is bad"})
	applyService(state, "4", "bob", crdoc.Service{Name: "t", Version: 3})
	applyZone(state, "5", crwire.KindZoneOut, "z")
	applyZone(state, "6", crwire.KindZoneOut, "z")
	var got []string
	for _, a := range state.Audit(0, 100, "") {
		got = append(got, fmt.Sprintf("%d rev %d %s %s %s %s", a.Seq, a.Revision, a.Author, a.Kind, a.Subject, a.Code))
	}
	want := []string{
		"1 rev 1 ann apply s ok", "2 rev 1 bob apply t invalid", "3 rev 1 bob apply t invalid",
		"4 rev 1 bob apply t conflict", "5 rev 2 ann zoneout z ok", "6 rev 2 ann zoneout z ok",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("audit trail (-want +got):\n%s", diff)
	}
	if got := state.Audit(0, 1, "t"); len(got) != 1 || got[0].Seq != 4 {
		t.Errorf("last audit line of t: %+v", got)
	}
	if got := len(state.Audit(4, 2, "")); got != 2 || state.Audit(4, 2, "")[1].Seq != 3 {
		t.Errorf("two audit lines before 4: %+v", state.Audit(4, 2, ""))
	}
}
