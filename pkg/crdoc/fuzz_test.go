package crdoc_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/pkg/crdoc"
)

// checkPlaces fails when a finding stands outside the document.
func checkPlaces(t *testing.T, data []byte, err error) {
	t.Helper()
	var list crdoc.Findings
	if !errors.As(err, &list) || len(list) == 0 {
		t.Fatalf("the error %v lists no findings", err)
	}
	for _, f := range list {
		if f.Line < 1 || f.Column < 1 || f.Column > len(data)+1 || f.Text == "" {
			t.Errorf("finding %+v has no place or no text", f)
		}
	}
}

func FuzzParseService(f *testing.F) {
	for _, seed := range []string{goodService, `{}`, `[]`, `{"name": 1, "name": 2}`, `{"zones": [[[[]]]], "x": {}}`, `{"limit": {"start": 1e99}}`, "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := crdoc.ParseService(data, zones)
		if err != nil {
			checkPlaces(t, data, err)
			return
		}
		text, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := crdoc.ParseService(text, zones)
		if err != nil {
			t.Fatalf("a good document is not good any more once written: %v\n%s", err, text)
		}
		if diff := cmp.Diff(doc, again, cmp.Transformer("list", emptyList)); diff != "" {
			t.Errorf("written and read again (-first +second):\n%s", diff)
		}
	})
}

// emptyList takes a nil list for an empty one.
func emptyList(list []string) map[int]string {
	out := map[int]string{}
	for i, v := range list {
		out[i] = v
	}
	return out
}

func FuzzParseSettings(f *testing.F) {
	for _, seed := range []string{goodSettings, `{}`, `null`, `{"replica": {"members": {"-1": "", "1": "", "01": ""}}}`, `{"balancer": {"listen": {"a.b[": "c"}}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := crdoc.ParseSettings(data, readFiles); err != nil {
			checkPlaces(t, data, err)
		}
	})
}
