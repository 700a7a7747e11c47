package crfeed_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sender serves a feed on loopback.
type sender struct {
	*crfeed.Source
	addr  string
	stale atomic.Bool
}

// serve starts a sender of a source.
func serve(tb testing.TB, source *crfeed.Source, stale bool) *sender {
	tb.Helper()
	s := &sender{Source: source}
	s.stale.Store(stale)
	stopping, stop := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.Handle("GET /feed", &crfeed.Handler{Source: source, Stale: s.stale.Load, StopCtx: stopping})
	server := &crnet.Server{Addr: "127.0.0.1:0", Handler: mux}
	if err := server.Start(); err != nil {
		tb.Fatal(err)
	}
	s.addr = server.Bound()
	tb.Cleanup(func() {
		stop()
		if err := server.Close(); err != nil {
			tb.Error(err)
		}
	})
	return s
}

// daemon is a follower under test.
type daemon struct {
	*crfeed.Follower
	took   chan uint64
	failed chan string
	cut    chan bool
}

// follow starts a follower of senders.
func follow(tb testing.TB, source *crfeed.Source, sources ...string) *daemon {
	tb.Helper()
	client := &crnet.Client{}
	client.Open()
	d := &daemon{took: make(chan uint64, 1000), failed: make(chan string, 1000), cut: make(chan bool, 1000)}
	random := rand.New(rand.NewPCG(1, 2))
	d.Follower = &crfeed.Follower{
		Name: "daemon", Client: client, Sources: sources, Downstream: source, Random: random.Float64,
		OnView:         func(v *crwire.View) { d.took <- v.Revision },
		OnPollError:    func(source string, _ error) { d.failed <- source },
		OnConnectivity: func(err error) { d.cut <- err != nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { d.Run(ctx) })
	tb.Cleanup(func() {
		cancel()
		done.Wait()
		client.Close()
	})
	return d
}

// until waits for a revision.
func (d *daemon) until(tb testing.TB, rev uint64) {
	tb.Helper()
	for got := range d.took {
		if got == rev {
			return
		}
	}
}

func TestStartingDaemonTakesNoStaleSettings(t *testing.T) {
	stale := serve(t, filled(t, 100), true)
	d := follow(t, nil, stale.addr)
	for range 3 {
		<-d.failed
	}
	if rev := d.Revision(); rev != 0 || !d.Stale() {
		t.Errorf("a stale instance fed revision %d", rev)
	}
	stale.stale.Store(false)
	d.until(t, 100)
	if diff := cmp.Diff([]bool{true, false}, []bool{<-d.cut, <-d.cut}); diff != "" {
		t.Errorf("cut off (-want +got):\n%s", diff)
	}
}

func TestRestartedDaemonFindsTheFreshInstance(t *testing.T) {
	stale, fresh := serve(t, filled(t, 100), true), serve(t, filled(t, 400), false)
	d := follow(t, nil, stale.addr, fresh.addr)
	if first := <-d.took; first != 400 {
		t.Errorf("the first settings are of revision %d", first)
	}
}

func TestRunningDaemonKeepsTheHighest(t *testing.T) {
	high, low := filled(t, 10), filled(t, 5)
	one, two := serve(t, high, false), serve(t, low, true)
	d := follow(t, nil, one.addr, two.addr)
	d.until(t, 10)
	one.stale.Store(true)
	if err := high.Add(memberDelta(11, 1, "x")); err != nil {
		t.Fatal(err)
	}
	// A stale instance may still move a running daemon forward.
	d.until(t, 11)
	for range 4 {
		<-d.failed
	}
	if got := d.Revision(); got != 11 {
		t.Errorf("revision %d after asking a lower instance, want 11", got)
	}
}

func TestHintPullsFromAPeerThatIsAhead(t *testing.T) {
	control, peer := serve(t, filled(t, 5), false), serve(t, filled(t, 9), true)
	own := crfeed.NewSource(crfeed.EmptyView())
	d := follow(t, own, control.addr)
	d.until(t, 5)
	d.Hint(peer.addr, 4)
	d.Hint(peer.addr, 9)
	d.until(t, 9)
	if diff := cmp.Diff(peer.View(), own.View()); diff != "" {
		t.Errorf("what the daemon passes on (-want +got):\n%s", diff)
	}
	// An instance that is behind is left for another one.
	if err := control.Add(memberDelta(6, 1, "x")); err != nil {
		t.Fatal(err)
	}
	if source := <-d.failed; source != control.addr {
		t.Errorf("%s failed, want %s", source, control.addr)
	}
}

func TestBackoffGrowsToABound(t *testing.T) {
	var got []time.Duration
	for _, failures := range []int{1, 3, 4, 7, 30, 3000} {
		got = append(got, crfeed.BackoffPause(failures, 3, 1))
	}
	ms := time.Millisecond
	want := []time.Duration{100 * ms, 100 * ms, 200 * ms, 400 * ms, 2000 * ms, 2000 * ms}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("pauses (-want +got):\n%s", diff)
	}
	if low := crfeed.BackoffPause(1, 3, 0); low != 50*ms {
		t.Errorf("least pause %s", low)
	}
}

// TestFirstViewFromWhoRuns: a daemon that starts before any source does gets its
// view from the first one that runs, while another takes connections and is
// silent, as one behind a cut does.
func TestFirstViewFromWhoRuns(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	late, err := net.Listen("tcp", "127.0.0.73:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := late.Addr().String()
	if err := late.Close(); err != nil {
		t.Fatal(err)
	}
	client := &crnet.Client{}
	client.Open()
	refused, took := make(chan string, 1000), make(chan uint64, 100)
	f := &crfeed.Follower{
		Client: client, Sources: []string{silent.Addr().String(), addr}, AllowProvisional: true, PollWait: time.Minute,
		Random:      func() float64 { return 0 },
		OnView:      func(v *crwire.View) { took <- v.Revision },
		OnPollError: func(source string, _ error) { refused <- source },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	if source := <-refused; source != addr {
		t.Errorf("%s failed, want %s", source, addr)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /feed", &crfeed.Handler{Source: crfeed.NewSource(filled(t, 4).View()), Stale: func() bool { return false }})
	server := &crnet.Server{Addr: addr, Handler: mux}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	if rev := <-took; rev != 4 {
		t.Errorf("revision %d, want 4", rev)
	}
	cancel()
	done.Wait()
	client.Close()
	if err := errors.Join(server.Close(), silent.Close()); err != nil {
		t.Error(err)
	}
}

// TestProvisionalView: a daemon that starts while control has no quorum serves
// by the view that an instance has on disk, and the first fresh view replaces
// it, also when its revision is lower; a running daemon takes no such view.
func TestProvisionalView(t *testing.T) {
	disk := filled(t, 7).View()
	source := crfeed.NewSource(crfeed.EmptyView())
	var stale atomic.Bool
	stale.Store(true)
	mux := http.NewServeMux()
	mux.Handle("GET /feed", &crfeed.Handler{
		Source: source, Stale: stale.Load, ProvisionalView: func() *crwire.View { return disk },
	})
	server := &crnet.Server{Addr: "127.0.0.1:0", Handler: mux}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	client := &crnet.Client{}
	client.Open()
	took := make(chan uint64, 100)
	f := &crfeed.Follower{
		Client: client, Sources: []string{server.Bound()}, AllowProvisional: true, PollWait: 50 * time.Millisecond,
		MaxBackoff: 10 * time.Millisecond, OnView: func(v *crwire.View) { took <- v.Revision },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	if first := <-took; first != 7 || f.Revision() != 0 {
		t.Errorf("provisional revision %d, in force %d; want 7 and 0", first, f.Revision())
	}
	source.Reset(filled(t, 5).View())
	stale.Store(false)
	if next := <-took; next != 5 || f.Revision() != 5 {
		t.Errorf("first fresh revision %d, in force %d; want 5", next, f.Revision())
	}
	stale.Store(true)
	if err := source.Add(memberDelta(6, 1, "x")); err != nil {
		t.Fatal(err)
	}
	if next := <-took; next != 6 {
		t.Errorf("revision %d, want 6: the view on disk may never have been committed", next)
	}
	cancel()
	done.Wait()
	client.Close()
	if err := server.Close(); err != nil {
		t.Error(err)
	}
}

// TestWholeViewsAreSmall: after a loss of power every daemon asks for a whole
// view at once; it goes out compressed, and is made once for all of them, fresh
// or from the disk.
func TestWholeViewsAreSmall(t *testing.T) {
	for name, stale := range map[string]bool{"fresh": false, "stale": true} {
		t.Run(name, func(t *testing.T) {
			view := &crwire.View{Revision: 7, Members: map[uint32]crwire.Member{}}
			for num := range uint32(500) {
				view.Members[num] = crwire.Member{Num: num, Name: fmt.Sprintf("agent-%d", num), Service: "ledger", Zone: "a"}
			}
			var sent []int
			handler := &crfeed.Handler{
				Source: crfeed.NewSource(crfeed.EmptyView()), Stale: func() bool { return stale },
				ProvisionalView: func() *crwire.View { return view }, OnAnswer: func(_ string, n int) { sent = append(sent, n) },
			}
			if !stale {
				handler.Source.Reset(view)
			}
			plain, packed := answer(t, handler, ""), answer(t, handler, "gzip")
			if len(packed)*5 > len(plain) {
				t.Errorf("%d bytes compressed of %d", len(packed), len(plain))
			}
			allocated := testing.AllocsPerRun(20, func() { answer(t, handler, "gzip") })
			if allocated > 100 {
				t.Errorf("%v allocations for an answer that is made already", allocated)
			}
			if diff := cmp.Diff([]int{len(plain), len(packed)}, sent[:2]); diff != "" {
				t.Errorf("counted lengths (-want +got):\n%s", diff)
			}
		})
	}
}

// answer returns the body of an answer to a daemon that starts.
func answer(t *testing.T, handler *crfeed.Handler, encoding string) []byte {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, "/feed?after=0&early=0", nil)
	r.Header.Set("Accept-Encoding", encoding)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if got := w.Header().Get("Content-Encoding"); got != encoding {
		t.Errorf("encoding %q, want %q", got, encoding)
	}
	return w.Body.Bytes()
}
