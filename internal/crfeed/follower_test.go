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

// feedServer serves the feed of a source on a loopback address.
type feedServer struct {
	*crfeed.Source
	addr  string
	stale atomic.Bool
}

// startFeedServer starts a server of a source's feed.
func startFeedServer(tb testing.TB, source *crfeed.Source, stale bool) *feedServer {
	tb.Helper()
	s := &feedServer{Source: source}
	s.stale.Store(stale)
	ctx, cancel := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.Handle("GET /feed", &crfeed.Handler{Source: source, Stale: s.stale.Load, StopCtx: ctx})
	server := &crnet.Server{Addr: "127.0.0.1:0", Handler: mux}
	if err := server.Start(); err != nil {
		tb.Fatal(err)
	}
	s.addr = server.Bound()
	tb.Cleanup(func() {
		cancel()
		if err := server.Close(); err != nil {
			tb.Error(err)
		}
	})
	return s
}

// testFollower is a running follower whose callbacks write to channels.
type testFollower struct {
	*crfeed.Follower
	// revisions receives the revision of each new view.
	revisions chan uint64
	// failedSources receives the source of each failed poll.
	failedSources chan string
	// disconnected receives true when all sources have failed, and false when
	// one answers again.
	disconnected chan bool
}

// startFollower starts a follower of the given sources.
func startFollower(tb testing.TB, downstream *crfeed.Source, sources ...string) *testFollower {
	tb.Helper()
	client := &crnet.Client{}
	client.Open()
	d := &testFollower{revisions: make(chan uint64, 1000), failedSources: make(chan string, 1000), disconnected: make(chan bool, 1000)}
	random := rand.New(rand.NewPCG(1, 2))
	d.Follower = &crfeed.Follower{
		Name: "daemon", Client: client, Sources: sources, Downstream: downstream, Random: random.Float64,
		OnView:         func(v *crwire.View) { d.revisions <- v.Revision },
		OnPollError:    func(source string, _ error) { d.failedSources <- source },
		OnConnectivity: func(err error) { d.disconnected <- err != nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.Run(ctx) })
	tb.Cleanup(func() {
		cancel()
		wg.Wait()
		client.Close()
	})
	return d
}

// waitForRevision waits until the follower has a view of revision rev.
func (d *testFollower) waitForRevision(tb testing.TB, rev uint64) {
	tb.Helper()
	for got := range d.revisions {
		if got == rev {
			return
		}
	}
}

func TestFollowerWithoutViewRejectsStaleAnswer(t *testing.T) {
	stale := startFeedServer(t, newFilledSource(t, 100), true)
	d := startFollower(t, nil, stale.addr)
	for range 3 {
		<-d.failedSources
	}
	if rev := d.Revision(); rev != 0 || !d.Stale() {
		t.Errorf("revision %d after answers of a stale instance, want 0 and stale", rev)
	}
	stale.stale.Store(false)
	d.waitForRevision(t, 100)
	if diff := cmp.Diff([]bool{true, false}, []bool{<-d.disconnected, <-d.disconnected}); diff != "" {
		t.Errorf("disconnected (-want +got):\n%s", diff)
	}
}

func TestFollowerWithoutViewSkipsStaleInstance(t *testing.T) {
	stale, fresh := startFeedServer(t, newFilledSource(t, 100), true), startFeedServer(t, newFilledSource(t, 400), false)
	d := startFollower(t, nil, stale.addr, fresh.addr)
	if first := <-d.revisions; first != 400 {
		t.Errorf("first revision is %d, want 400", first)
	}
}

func TestFollowerRevisionNeverDecreases(t *testing.T) {
	high, low := newFilledSource(t, 10), newFilledSource(t, 5)
	highServer, lowServer := startFeedServer(t, high, false), startFeedServer(t, low, true)
	d := startFollower(t, nil, highServer.addr, lowServer.addr)
	d.waitForRevision(t, 10)
	highServer.stale.Store(true)
	if err := high.Add(memberDelta(11, 1, "x")); err != nil {
		t.Fatal(err)
	}
	// A stale instance may still raise the revision of a follower that has a view.
	d.waitForRevision(t, 11)
	for range 4 {
		<-d.failedSources
	}
	if got := d.Revision(); got != 11 {
		t.Errorf("revision %d after polls of an instance at a lower revision, want 11", got)
	}
}

func TestHintPullsFromPeerAtHigherRevision(t *testing.T) {
	control, peer := startFeedServer(t, newFilledSource(t, 5), false), startFeedServer(t, newFilledSource(t, 9), true)
	downstream := crfeed.NewSource(crfeed.EmptyView())
	d := startFollower(t, downstream, control.addr)
	d.waitForRevision(t, 5)
	d.Hint(peer.addr, 4)
	d.Hint(peer.addr, 9)
	d.waitForRevision(t, 9)
	if diff := cmp.Diff(peer.View(), downstream.View()); diff != "" {
		t.Errorf("view of the downstream source (-want +got):\n%s", diff)
	}
	// A poll of an instance whose revision is lower counts as failed.
	if err := control.Add(memberDelta(6, 1, "x")); err != nil {
		t.Fatal(err)
	}
	if source := <-d.failedSources; source != control.addr {
		t.Errorf("%s failed, want %s", source, control.addr)
	}
}

func TestBackoffDoublesUpToLimit(t *testing.T) {
	var got []time.Duration
	for _, failures := range []int{1, 3, 4, 7, 30, 3000} {
		got = append(got, crfeed.BackoffPause(failures, 3, 1))
	}
	ms := time.Millisecond
	want := []time.Duration{100 * ms, 100 * ms, 200 * ms, 400 * ms, 2000 * ms, 2000 * ms}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("pauses (-want +got):\n%s", diff)
	}
	if shortest := crfeed.BackoffPause(1, 3, 0); shortest != 50*ms {
		t.Errorf("minimum pause is %s, want 50ms", shortest)
	}
}

// TestFirstViewFromAnyAvailableSource guards against a daemon that waits for a
// source that does not answer, although another source could serve it. The first
// source accepts connections but never answers, as behind a network partition; the
// second one starts only after the daemon.
func TestFirstViewFromAnyAvailableSource(t *testing.T) {
	silentListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lateListener, err := net.Listen("tcp", "127.0.0.73:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lateListener.Addr().String()
	if err := lateListener.Close(); err != nil {
		t.Fatal(err)
	}
	client := &crnet.Client{}
	client.Open()
	failedSources, revisions := make(chan string, 1000), make(chan uint64, 100)
	f := &crfeed.Follower{
		Client: client, Sources: []string{silentListener.Addr().String(), addr}, AllowProvisional: true, PollWait: time.Minute,
		Random:      func() float64 { return 0 },
		OnView:      func(v *crwire.View) { revisions <- v.Revision },
		OnPollError: func(source string, _ error) { failedSources <- source },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	if source := <-failedSources; source != addr {
		t.Errorf("%s failed, want %s", source, addr)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /feed", &crfeed.Handler{Source: crfeed.NewSource(newFilledSource(t, 4).View()), Stale: func() bool { return false }})
	server := &crnet.Server{Addr: addr, Handler: mux}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	if rev := <-revisions; rev != 4 {
		t.Errorf("revision %d, want 4", rev)
	}
	cancel()
	wg.Wait()
	client.Close()
	if err := errors.Join(server.Close(), silentListener.Close()); err != nil {
		t.Error(err)
	}
}

// TestProvisionalView guards against a provisional view that stays in use. A
// daemon that starts while control has no quorum uses the view on an instance's
// disk. The first view that is not stale replaces it, even at a lower revision.
// After that the daemon accepts no provisional view.
func TestProvisionalView(t *testing.T) {
	disk := newFilledSource(t, 7).View()
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
	revisions := make(chan uint64, 100)
	f := &crfeed.Follower{
		Client: client, Sources: []string{server.Bound()}, AllowProvisional: true, PollWait: 50 * time.Millisecond,
		MaxBackoff: 10 * time.Millisecond, OnView: func(v *crwire.View) { revisions <- v.Revision },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	if first := <-revisions; first != 7 || f.Revision() != 0 {
		t.Errorf("provisional revision %d, current revision %d; want 7 and 0", first, f.Revision())
	}
	source.Reset(newFilledSource(t, 5).View())
	stale.Store(false)
	if next := <-revisions; next != 5 || f.Revision() != 5 {
		t.Errorf("first revision that is not stale %d, current revision %d; want 5", next, f.Revision())
	}
	stale.Store(true)
	if err := source.Add(memberDelta(6, 1, "x")); err != nil {
		t.Fatal(err)
	}
	if next := <-revisions; next != 6 {
		t.Errorf("revision %d, want 6: the view on disk may be uncommitted and must not be used", next)
	}
	cancel()
	wg.Wait()
	client.Close()
	if err := server.Close(); err != nil {
		t.Error(err)
	}
}

// TestCompleteViewIsCompressedAndCached guards against overload after a power loss,
// when all daemons request a complete view at once. The answer, stale or not, is
// encoded and compressed only once.
func TestCompleteViewIsCompressedAndCached(t *testing.T) {
	for name, stale := range map[string]bool{"fresh": false, "stale": true} {
		t.Run(name, func(t *testing.T) {
			view := &crwire.View{Revision: 7, Members: map[uint32]crwire.Member{}}
			for num := range uint32(500) {
				view.Members[num] = crwire.Member{Num: num, Name: fmt.Sprintf("agent-%d", num), Service: "ledger", Zone: "a"}
			}
			var lengths []int
			handler := &crfeed.Handler{
				Source: crfeed.NewSource(crfeed.EmptyView()), Stale: func() bool { return stale },
				ProvisionalView: func() *crwire.View { return view }, OnAnswer: func(_ string, n int) { lengths = append(lengths, n) },
			}
			if !stale {
				handler.Source.Reset(view)
			}
			plain, compressed := serveFirstPoll(t, handler, ""), serveFirstPoll(t, handler, "gzip")
			if len(compressed)*5 > len(plain) {
				t.Errorf("compressed answer has %d bytes, want at most a fifth of %d", len(compressed), len(plain))
			}
			allocated := testing.AllocsPerRun(20, func() { serveFirstPoll(t, handler, "gzip") })
			if allocated > 100 {
				t.Errorf("%v allocations for a cached answer, want at most 100", allocated)
			}
			if diff := cmp.Diff([]int{len(plain), len(compressed)}, lengths[:2]); diff != "" {
				t.Errorf("lengths passed to OnAnswer (-want +got):\n%s", diff)
			}
		})
	}
}

// serveFirstPoll returns the body of the answer to a daemon without a view.
func serveFirstPoll(t *testing.T, handler *crfeed.Handler, encoding string) []byte {
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

// TestFollowerWithoutSources guards against a process that ends because its settings name no
// control instance: it follows the first one that they name later.
func TestFollowerWithoutSources(t *testing.T) {
	source := crfeed.NewSource(crfeed.EmptyView())
	if err := source.Add(&crwire.Delta{From: 0, To: 1}); err != nil {
		t.Fatal(err)
	}
	server := startFeedServer(t, source, false)
	for _, provisional := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		client := &crnet.Client{}
		client.Open()
		seen := make(chan uint64, 1)
		f := &crfeed.Follower{Client: client, AllowProvisional: provisional, OnView: func(v *crwire.View) { seen <- v.Revision }}
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		// The follower runs without sources in this time.
		time.Sleep(50 * time.Millisecond)
		f.SetSources([]string{server.addr})
		if diff := cmp.Diff(uint64(1), <-seen); diff != "" {
			t.Errorf("revision (-want +got):\n%s", diff)
		}
		cancel()
		done.Wait()
		client.Close()
	}
}
