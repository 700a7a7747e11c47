package crdoc_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/pkg/crdoc"
)

// checkPositions fails when err lists no findings, or one without a text or with
// a position outside the document.
func checkPositions(t *testing.T, data []byte, err error) {
	t.Helper()
	var list crdoc.Findings
	if !errors.As(err, &list) || len(list) == 0 {
		t.Fatalf("error %v lists no findings", err)
	}
	for _, f := range list {
		if f.Line < 1 || f.Column < 1 || f.Column > len(data)+1 || f.Text == "" {
			t.Errorf("finding %+v has no valid position or no text", f)
		}
	}
}

func FuzzParseService(f *testing.F) {
	for _, seed := range []string{validService, `{}`, `[]`, `{"name": 1, "name": 2}`, `{"zones": [[[[]]]], "x": {}}`, `{"limit": {"start": 1e99}}`, "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := crdoc.ParseService(data, zones)
		if err != nil {
			checkPositions(t, data, err)
			return
		}
		text, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := crdoc.ParseService(text, zones)
		if err != nil {
			t.Fatalf("valid document is invalid after encoding: %v\n%s", err, text)
		}
		if diff := cmp.Diff(doc, again, cmp.Transformer("list", nilAsEmpty)); diff != "" {
			t.Errorf("document after encoding and parsing (-first +second):\n%s", diff)
		}
	})
}

// nilAsEmpty converts a list to a map, so that nil and empty lists are equal.
func nilAsEmpty(list []string) map[int]string {
	out := map[int]string{}
	for i, v := range list {
		out[i] = v
	}
	return out
}

func FuzzParseSettings(f *testing.F) {
	for _, seed := range []string{validSettings, `{}`, `null`, `{"replica": {"members": {"-1": "", "1": "", "01": ""}}}`, `{"balancer": {"listen": {"a.b[": "c"}}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := crdoc.ParseSettings(data, readFiles); err != nil {
			checkPositions(t, data, err)
		}
	})
}
