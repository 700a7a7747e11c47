package crcontrol_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// instance is a control instance under test.
type instance struct {
	client   *crnet.Client
	addr     string
	registry *prometheus.Registry
}

// counter returns the value of a counter.
func (in *instance) counter(tb testing.TB, name string) float64 {
	tb.Helper()
	families, err := in.registry.Gather()
	if err != nil {
		tb.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	tb.Fatalf("no metric %s", name)
	return 0
}

// startControl runs an instance that is the only voter.
func startControl(tb testing.TB, replica crdoc.Replica) *instance {
	tb.Helper()
	replica.ID, replica.Listen = 1, "127.0.0.1:0"
	replica.DataDir = filepath.Join(tb.TempDir(), "data")
	replica.Members = map[uint64]string{1: ""}
	ready := make(chan string, 1)
	registry := prometheus.NewRegistry()
	control := &crcontrol.Control{
		Settings: &crdoc.Settings{Name: "control-1", Zone: "z1", Zones: []string{"z1", "z2"}, Replica: &replica},
		Ready:    func(addr string) { ready <- addr }, Registry: registry, Logf: func(string, ...any) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		if err := control.Run(ctx); err != nil {
			tb.Error(err)
		}
	})
	in := &instance{client: &crnet.Client{}, addr: <-ready, registry: registry}
	in.client.Open()
	tb.Cleanup(func() {
		in.client.Close()
		cancel()
		done.Wait()
		http.DefaultClient.CloseIdleConnections()
	})
	return in
}

// callTimeout is how long a call may take in all. It is long enough for the race
// detector on a busy machine.
const callTimeout = 10 * time.Second

// call makes a JSON call.
func (in *instance) call(tb testing.TB, path string, body, out any) error {
	tb.Helper()
	return callConnected(in.client, in.addr, path, body, out)
}

// callConnected makes a JSON call, and makes it again if no connection was opened
// within the client's dial timeout: then nothing was sent. On a busy machine that
// timeout is too short for many connections at once. All other errors are returned.
func callConnected(client *crnet.Client, addr, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for {
		err := client.JSON(ctx, addr, path, body, out)
		var network *net.OpError
		if ctx.Err() != nil || !errors.As(err, &network) || network.Op != "dial" || !network.Timeout() {
			return err
		}
	}
}

// mustCall makes a JSON call and fails the test on an error.
func (in *instance) mustCall(tb testing.TB, path string, body, out any) {
	tb.Helper()
	if err := in.call(tb, path, body, out); err != nil {
		tb.Fatal(err)
	}
}

// document returns a valid service document.
func document(name, address string) *crdoc.Service {
	return &crdoc.Service{
		Name: name, Customer: "c", Address: address, Zones: []string{"z1"},
		Limit: crdoc.Limit{Start: 1, Max: 4, Headroom: 0.2}, OutcomeRetention: crdoc.Duration(time.Hour),
		Grace: crdoc.Duration(time.Second),
		Classes: []crdoc.Class{{
			Name: "all", Weight: 1, Repeatable: true, Deadline: crdoc.Duration(time.Second),
			Match: []crdoc.Match{{Prefix: "/"}},
		}},
	}
}

func TestChangesAnnouncementsAndClaims(t *testing.T) {
	in := startControl(t, crdoc.Replica{})
	var result crwire.Result
	change := crwire.Change{ID: "1", Author: "forged", Service: document("s", "127.0.0.1:9000")}
	in.mustCall(t, "/change", change, &result)
	if diff := cmp.Diff(crwire.Result{Revision: 1, Version: 1}, result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
	var announced crwire.AnnounceResponse
	in.mustCall(t, "/announce", crwire.Announce{Member: crwire.Member{Name: "a", Service: "s", Zone: "z1"}}, &announced)
	if diff := cmp.Diff(crwire.AnnounceResponse{Num: 1, LeaseMillis: 3000, Revision: 2}, announced); diff != "" {
		t.Errorf("announced (-want +got):\n%s", diff)
	}
	var claimed crwire.ClaimResponse
	claim := crwire.Claim{Service: "s", Key: "k", Digest: "d", Attempt: "one"}
	in.mustCall(t, "/claim", claim, &claimed)
	record := crwire.Record{Outcome: crwire.OutcomeDone, Status: 201, Body: []byte("ok")}
	in.mustCall(t, "/settle", crwire.Settle{Service: "s", Key: "k", Attempt: "one", Record: record}, &struct{}{})
	claim.Attempt = "two"
	var again crwire.ClaimResponse
	in.mustCall(t, "/claim", claim, &again)
	got := []crwire.ClaimResponse{claimed, again}
	want := []crwire.ClaimResponse{{Verdict: crwire.VerdictGranted}, {Verdict: crwire.VerdictRecorded, Record: &record}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("claims (-want +got):\n%s", diff)
	}
	var lines []crwire.Audit
	in.mustCall(t, "/audit", nil, &lines)
	if len(lines) != 1 || lines[0].Author != "anonymous (unverified)" {
		t.Errorf("audit trail: %+v", lines)
	}
}

// TestOversizedBodyIsRefused checks that a compressed body is refused with its
// reason when it exceeds the limit, and isn't cut there.
func TestOversizedBodyIsRefused(t *testing.T) {
	in := startControl(t, crdoc.Replica{})
	const limit = 32 << 20
	var body bytes.Buffer
	zip := gzip.NewWriter(&body)
	change := `{"id":"1","service":{}}`
	if _, err := zip.Write([]byte(change + strings.Repeat(" ", limit+1-len(change)))); err != nil {
		t.Fatal(err)
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+in.addr+"/change", "application/json", &body)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf("400 decompress: more than %d bytes\n", limit)
	if diff := cmp.Diff(want, fmt.Sprintf("%d %s", resp.StatusCode, text)); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

func TestConcurrentClaimsOfOneKeyGrantOne(t *testing.T) {
	in := startControl(t, crdoc.Replica{})
	in.mustCall(t, "/change", crwire.Change{ID: "1", Service: document("s", "127.0.0.1:9000")}, &crwire.Result{})
	const attempts = 50
	verdicts := make([]crwire.Verdict, attempts)
	var calls sync.WaitGroup
	for i := range attempts {
		calls.Go(func() {
			var claimed crwire.ClaimResponse
			claim := crwire.Claim{Service: "s", Key: "k", Digest: "d", Attempt: string(rune('A' + i))}
			if err := in.call(t, "/claim", claim, &claimed); err != nil {
				t.Error(err)
			}
			verdicts[i] = claimed.Verdict
		})
	}
	calls.Wait()
	counts := map[crwire.Verdict]int{}
	for _, v := range verdicts {
		counts[v]++
	}
	want := map[crwire.Verdict]int{crwire.VerdictGranted: 1, crwire.VerdictHeld: attempts - 1}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}
