package crdoc_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/pkg/crdoc"
)

func TestClassifyPrefersMostSpecificMatch(t *testing.T) {
	doc := &crdoc.Service{Classes: []crdoc.Class{
		{Name: "all", Match: []crdoc.Match{{Prefix: "/"}}},
		{Name: "clocking", Match: []crdoc.Match{{Method: "POST", Prefix: "/clockings"}}},
		{Name: "race", Match: []crdoc.Match{{Prefix: "/clockings"}}},
	}}
	got := map[string]string{}
	for _, r := range [][2]string{{"POST", "/clockings/7"}, {"GET", "/clockings/7"}, {"GET", "/bands"}} {
		class, _ := doc.Classify(r[0], r[1])
		got[r[0]+" "+r[1]] = class.Name
	}
	want := map[string]string{"POST /clockings/7": "clocking", "GET /clockings/7": "race", "GET /bands": "all"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("classes (-want +got):\n%s", diff)
	}
}
