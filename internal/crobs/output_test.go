package crobs_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crobs"
	"cardamomring.dev/pkg/crdoc"
)

// heldWriter is an output that nobody reads until release.
type heldWriter struct {
	released chan struct{}
	mu       sync.Mutex
	text     strings.Builder
	err      error
}

// Write waits for release.
func (w *heldWriter) Write(b []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	return w.text.Write(b)
}

// messages returns the messages of the lines that were written, and the fields of the last.
func (w *heldWriter) messages(t *testing.T) ([]string, map[string]any) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var messages []string
	var fields map[string]any
	for text := range strings.Lines(w.text.String()) {
		var l struct {
			Message string
			Fields  map[string]any
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatalf("line %q: %v", text, err)
		}
		messages, fields = append(messages, l.Message), l.Fields
	}
	return messages, fields
}

// newHeldLogger returns a logger whose output is held.
func newHeldLogger(t *testing.T) (*heldWriter, *crobs.Output, *log.Logger) {
	t.Helper()
	w := &heldWriter{released: make(chan struct{})}
	out := &crobs.Output{W: w, Registry: prometheus.NewRegistry()}
	logger, err := crobs.NewLogger(crdoc.Log{Format: crdoc.FormatJSON}, out)
	if err != nil {
		t.Fatal(err)
	}
	return w, out, logger
}

// droppedLines returns the metric of dropped lines by level.
func droppedLines(t *testing.T, out *crobs.Output) map[string]float64 {
	t.Helper()
	families, err := out.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			got[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return got
}

// TestOutputThatNobodyReads guards against a process that stands still because nobody reads
// its output: logging goes on, what waits is bounded, routine lines are dropped first, and
// the drops are counted in a metric and in a line once the output is read again.
func TestOutputThatNobodyReads(t *testing.T) {
	const lines, statusLines = 5000, 100
	w, out, logger := newHeldLogger(t)
	routine := crobs.Routine(logger)
	for range lines {
		routine.Info(strings.Repeat("r", 100))
	}
	for i := range statusLines {
		logger.Warn(fmt.Sprint("status ", i))
	}
	for range lines {
		routine.Info(strings.Repeat("r", 100))
	}
	dropped := droppedLines(t, out)
	close(w.released)
	out.Close()
	messages, last := w.messages(t)
	status := 0
	for _, m := range messages {
		if m == fmt.Sprint("status ", status) {
			status++
		}
	}
	total := 0
	for _, l := range messages {
		total += len(l)
	}
	const about = "log lines were dropped: the output wasn't read"
	written := len(messages) - 1
	if status != statusLines || total > 256<<10 || written+int(dropped["info"]) != 2*lines+statusLines || dropped["warn"] != 0 {
		t.Errorf("%d of %d status lines in order, %d lines of %d B written, dropped %v", status, statusLines, written, total, dropped)
	}
	// The line about the drops follows the first lines that were read.
	if i := slices.Index(messages, about); i < 0 || i > len(messages)/2 {
		t.Errorf("the line about dropped lines is number %d of %d, with %v last", i, len(messages), last)
	}
}

// TestStatusLinesOfAHeldOutputAreBounded checks that lines which aren't routine are dropped,
// too, once no routine ones are left.
func TestStatusLinesOfAHeldOutputAreBounded(t *testing.T) {
	const lines = 10_000
	w, out, logger := newHeldLogger(t)
	for range lines {
		logger.Error(strings.Repeat("s", 100))
	}
	dropped := droppedLines(t, out)["error"]
	close(w.released)
	out.Close()
	messages, _ := w.messages(t)
	if len(messages)-1+int(dropped) != lines || dropped < lines/2 {
		t.Errorf("%d lines written, %v dropped, want %d together", len(messages)-1, dropped, lines)
	}
}

// TestClosedOutput checks that lines are counted as dropped when the output can't be written,
// and that closing a held output doesn't wait for its reader.
func TestClosedOutput(t *testing.T) {
	w, out, logger := newHeldLogger(t)
	w.err = errors.New("broken pipe")
	close(w.released)
	logger.Info("one")
	logger.Warn("two")
	out.Close()
	logger.Warn("after the end")
	if diff := cmp.Diff(map[string]float64{"info": 1, "warn": 2}, droppedLines(t, out)); diff != "" {
		t.Errorf("dropped lines (-want +got):\n%s", diff)
	}
	held, heldOut, heldLogger := newHeldLogger(t)
	heldLogger.Info("one")
	heldOut.Close()
	close(held.released)
}
