package crfeed_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfeed"
)

func TestOutagesWriteChangesOnly(t *testing.T) {
	var lines []string
	o := &crfeed.Outages{Logf: func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }}
	o.Answered("a")
	for range 3 {
		o.Failed("a", errors.New("refused"))
		o.Answered("b")
	}
	for range 2 {
		o.Answered("a")
	}
	o.Failed("a", errors.New("stale"))
	want := []string{"feed of a: refused", "feed of a: answers again", "feed of a: stale"}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
