package crobs_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"cardamomring.dev/internal/crobs"
	"cardamomring.dev/pkg/crdoc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAdminReportsReadiness(t *testing.T) {
	var ready atomic.Bool
	admin := &crobs.Admin{Addr: "127.0.0.1:0", Registry: crobs.NewRegistry(), Ready: func() error {
		if !ready.Load() {
			return errors.New("no view yet")
		}
		return nil
	}}
	if err := admin.Start(); err != nil {
		t.Fatal(err)
	}
	got := []string{get(t, admin, "/healthz"), get(t, admin, "/readyz"), get(t, admin, "/debug/pprof/")}
	ready.Store(true)
	got = append(got, get(t, admin, "/readyz"))
	want := []string{"200 ok", "503 no view yet", "404 404 page not found", "200 ready"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if metrics := get(t, admin, "/metrics"); !strings.Contains(metrics, "go_goroutines") {
		t.Errorf("no metrics of the Go runtime in:\n%s", metrics)
	}
	if err := admin.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// TestAdminLimitsExplanations checks that explanations beyond ten in a second are refused.
func TestAdminLimitsExplanations(t *testing.T) {
	admin := &crobs.Admin{Addr: "127.0.0.1:0", Registry: crobs.NewRegistry(), Explain: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "here") }}
	if err := admin.Start(); err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	startedAt := time.Now()
	for range 30 {
		counts[get(t, admin, "/explain")]++
	}
	seconds := 1 + int(time.Since(startedAt)/time.Second)
	if counts["200 here"] < 10 || counts["200 here"] > 10*seconds || counts["200 here"]+counts["429 more than 10 explanations in a second; try again"] != 30 {
		t.Errorf("answers %v in %d s, want 10 explanations in each and status 429 for the others", counts, seconds)
	}
	if err := admin.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// get returns the status code and the body of the response to a path.
func get(t *testing.T, admin *crobs.Admin, path string) string {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + admin.Bound() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.Status[:4] + strings.TrimSpace(string(body))
}

func TestLoggerFollowsLevelAndFormat(t *testing.T) {
	var out bytes.Buffer
	output := &crobs.Output{W: &out}
	logger, err := crobs.NewLogger(crdoc.Log{Level: "warn", Format: crdoc.FormatJSON}, output)
	if err != nil {
		t.Fatal(err)
	}
	logger.Info("not shown")
	logger.Warn("shown")
	output.Close()
	if text := out.String(); strings.Contains(text, "not shown") || !strings.Contains(text, `"message":"shown"`) {
		t.Errorf("log is %s, want only the warning, as JSON", text)
	}
	if _, err := crobs.NewLogger(crdoc.Log{Level: "loud"}, &crobs.Output{W: &out}); err == nil {
		t.Error("an unknown level was accepted")
	}
}
