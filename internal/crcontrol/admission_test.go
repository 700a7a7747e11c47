package crcontrol_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

// group is a group of instances that are configured with seed addresses only.
type group struct {
	tb     testing.TB
	seeds  []string
	client *crnet.Client
	// single means that the group has one instance and tolerates no failure.
	single bool
	// faultTolerance is how many disks may be lost at once, 0 for one.
	faultTolerance int
}

// node is an instance of a group.
type node struct {
	*crcontrol.Control
	addr, data string
	stop       func()
}

// newGroup starts a group of three voters.
func newGroup(t *testing.T) (*group, []*node) {
	t.Helper()
	g := &group{tb: t, client: &crnet.Client{}}
	g.client.Open()
	t.Cleanup(g.client.Close)
	g.seeds = []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	var nodes []*node
	for i, addr := range g.seeds {
		nodes = append(nodes, g.start(uint64(i+1), addr, filepath.Join(t.TempDir(), "data"), true))
	}
	for _, n := range nodes {
		g.waitForVoters(n, g.seeds...)
	}
	return g, nodes
}

// freeAddr returns an unused port on an address from which no client connects.
func freeAddr(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		tb.Fatal(err)
	}
	if err := l.Close(); err != nil {
		tb.Fatal(err)
	}
	return l.Addr().String()
}

// start runs an instance. If firstStart is set, the whole system starts for the
// first time and the instances with the seed addresses found the group.
func (g *group) start(id uint64, addr, data string, firstStart bool) *node {
	g.tb.Helper()
	replica := &crdoc.Replica{ID: id, Listen: addr, Address: addr, DataDir: data, Members: map[uint64]string{}}
	for i, seed := range g.seeds {
		if firstStart {
			replica.Members[uint64(i+1)] = seed
		}
	}
	ready := make(chan string, 1)
	n := &node{addr: addr, data: data}
	n.Control = &crcontrol.Control{
		Settings: &crdoc.Settings{Name: fmt.Sprint("control-", id), Zone: "z1", Zones: []string{"z1"}, Replica: replica},
		Ready:    func(addr string) { ready <- addr }, Registry: prometheus.NewRegistry(), Logf: func(string, ...any) {},
		Peers: func() []string { return g.seeds }, FirstStart: firstStart, FaultTolerance: 1, TickInterval: 10 * time.Millisecond, ElectionTicks: 20,
	}
	if g.faultTolerance > 0 {
		n.FaultTolerance = g.faultTolerance
	}
	if g.single {
		n.FaultTolerance = 0
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		if err := n.Run(ctx); err != nil {
			g.tb.Error(err)
		}
	})
	<-ready
	n.stop = sync.OnceFunc(func() { cancel(); done.Wait() })
	g.tb.Cleanup(n.stop)
	return n
}

// waitForVoters waits until an instance has contact with the quorum and knows
// exactly the given voters.
func (g *group) waitForVoters(n *node, voters ...string) {
	g.tb.Helper()
	g.waitForAddrs(n, "voters", voters, func(s crwire.Status) []string { return slices.Collect(maps.Values(s.Voters)) })
}

// waitForMembers waits until an instance has contact with the quorum and knows
// exactly the given members, with a vote and without.
func (g *group) waitForMembers(n *node, members ...string) {
	g.tb.Helper()
	g.waitForAddrs(n, "members", members, func(s crwire.Status) []string {
		var addrs []string
		for _, m := range s.Members {
			addrs = append(addrs, m.Address)
		}
		return addrs
	})
}

// waitForAddrs waits until an instance has contact with the quorum and its status lists
// exactly the given addresses.
func (g *group) waitForAddrs(n *node, what string, want []string, list func(s crwire.Status) []string) {
	g.tb.Helper()
	want = slices.Sorted(slices.Values(want))
	var got []string
	for range 3000 {
		status, err := g.status(n.addr)
		got = slices.Sorted(slices.Values(list(status)))
		if err == nil && status.QuorumContact && slices.Equal(got, want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.tb.Fatalf("%s %v at %s, want %v", what, got, n.addr, want)
}

// status returns the status of an instance.
func (g *group) status(addr string) (status crwire.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err = g.client.JSON(ctx, addr, "/status", nil, &status)
	return status, err
}

// applyCatalog submits a catalog through an instance until it is acknowledged.
func (g *group) applyCatalog(n *node, version uint64) {
	g.tb.Helper()
	change := &crwire.Change{
		ID: fmt.Sprint("c", version), Kind: crwire.KindCatalog, Catalog: &crdoc.Catalog{Version: version},
		Source: fmt.Append(nil, version),
	}
	var result crwire.Result
	for range 1000 {
		if result = n.Submit(context.Background(), change); result.Code == crwire.CodeOK {
			return
		}
		// A change may be rejected immediately while instances are admitted.
		time.Sleep(10 * time.Millisecond)
	}
	g.tb.Fatalf("submit catalog version %d: %+v", version, result)
}

// expectCatalog reads the catalog through an instance and checks its version
// and source.
func (g *group) expectCatalog(n *node, version uint64) {
	g.tb.Helper()
	var stored crwire.StoredCatalog
	var err error
	for range 100 {
		if stored, err = n.Catalog(context.Background()); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil || stored.Version != version || string(stored.Source) != fmt.Sprint(version) {
		g.tb.Errorf("catalog %+v, %v; want version %d", stored, err, version)
	}
}

// TestGroupFromSeeds guards against the loss of acknowledged catalogs while the
// group changes. Four instances that are configured with three seed addresses form
// one group, in which three vote. A voter stops, the fourth instance votes in its
// place, and an empty one is added at another address. A voter restarts with an empty
// disk. Then two instances stop, one of them a voter.
func TestGroupFromSeeds(t *testing.T) {
	g := &group{tb: t, client: &crnet.Client{}}
	g.client.Open()
	t.Cleanup(g.client.Close)
	var addrs []string
	for range 5 {
		addrs = append(addrs, freeAddr(t))
	}
	g.seeds = addrs[:3]
	dir := t.TempDir()
	dataDir := func(name string) string { return filepath.Join(dir, name) }
	var nodes []*node
	for i, addr := range addrs[:4] {
		nodes = append(nodes, g.start(uint64(i+1), addr, dataDir(fmt.Sprint(i)), true))
	}
	for _, n := range nodes {
		g.waitForMembers(n, addrs[:4]...)
		g.waitForVoters(n, addrs[1:4]...)
	}
	g.applyCatalog(nodes[3], 4)
	g.expectCatalog(nodes[0], 4)

	nodes[1].stop()
	g.applyCatalog(nodes[0], 6)
	g.waitForVoters(nodes[0], addrs[0], addrs[2], addrs[3])
	added := g.start(5, addrs[4], dataDir("4"), false)
	g.waitForMembers(added, addrs[0], addrs[2], addrs[3], addrs[4])
	g.waitForVoters(added, addrs[2], addrs[3], addrs[4])
	g.expectCatalog(added, 6)

	nodes[2].stop()
	wiped := g.start(3, addrs[2], dataDir("wiped"), false)
	g.waitForMembers(wiped, addrs[0], addrs[2], addrs[3], addrs[4])
	g.waitForVoters(wiped, addrs[2], addrs[3], addrs[4])
	g.applyCatalog(wiped, 9)
	nodes[0].stop()
	nodes[3].stop()
	g.expectCatalog(wiped, 9)
}

// TestViewIncludesAcceptedChanges guards against an operator who reads an older
// document than the one whose change was just accepted, from a follower that has
// the entry but hasn't heard yet that it is committed.
func TestViewIncludesAcceptedChanges(t *testing.T) {
	g, _ := newGroup(t)
	editor := &croper.Client{Control: g.seeds}
	editor.Open()
	t.Cleanup(editor.Close)
	doc := document("s", "127.0.0.1:9000")
	for i := range 60 {
		doc.Limit.Max++
		result, err := editor.Apply(t.Context(), doc)
		if err != nil {
			t.Fatal(err)
		}
		doc.Version = result.Version
		reader := &croper.Client{Control: []string{g.seeds[i%len(g.seeds)]}}
		reader.Open()
		view, err := reader.View(t.Context())
		reader.Close()
		if err != nil {
			t.Fatal(err)
		}
		if got := view.Services["s"]; got == nil || got.Version < doc.Version {
			t.Fatalf("read %+v after version %d was accepted", got, doc.Version)
		}
	}
}

// TestServingBeforeRun checks that an instance doesn't report to be ready before
// it listens and has contact with a quorum.
func TestServingBeforeRun(t *testing.T) {
	if err := new(crcontrol.Control).Serving(); err == nil {
		t.Error("an instance that hasn't started reports to be ready")
	}
	g := &group{tb: t, client: &crnet.Client{}, single: true}
	g.client.Open()
	t.Cleanup(g.client.Close)
	g.seeds = []string{freeAddr(t)}
	n := g.start(1, g.seeds[0], filepath.Join(t.TempDir(), "data"), true)
	g.waitForVoters(n, g.seeds...)
	if err := n.Serving(); err != nil {
		t.Errorf("with contact to the quorum: %v", err)
	}
}

// TestReturnAtAnotherAddress guards against a group that bears no loss after one of
// its three voters has returned at another address: the voter was removed first, and
// two voters were left until it had been admitted anew. An instance under the ID of
// one that answers isn't admitted.
func TestReturnAtAnotherAddress(t *testing.T) {
	g, nodes := newGroup(t)
	moved := freeAddr(t)
	for _, n := range nodes {
		var resp crwire.AdmitResponse
		req := crwire.Admit{ID: 3, Address: moved}
		if err := g.client.JSON(t.Context(), n.addr, crcontrol.PathAdmit, req, &resp); err == nil {
			t.Errorf("%s admitted a second instance 3", n.addr)
		}
	}
	g.applyCatalog(nodes[0], 4)
	nodes[2].stop()
	ctx, cancel := context.WithCancel(t.Context())
	var watch sync.WaitGroup
	watch.Go(func() { g.watchVoterCount(ctx, nodes[0], 3) })
	back := g.start(3, moved, nodes[2].data, false)
	g.waitForVoters(back, g.seeds[0], g.seeds[1], moved)
	cancel()
	watch.Wait()
	g.expectCatalog(back, 4)
}

// watchVoterCount fails the test if an instance ever knows fewer voters than min,
// until ctx ends.
func (g *group) watchVoterCount(ctx context.Context, n *node, minVoters int) {
	for ctx.Err() == nil {
		if status, err := g.status(n.addr); err == nil && len(status.Voters) < minVoters {
			g.tb.Errorf("%d voters, want at least %d", len(status.Voters), minVoters)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRelay checks that a relay forwards changes and reads to a control instance.
func TestRelay(t *testing.T) {
	g := &group{tb: t, client: &crnet.Client{}, single: true}
	g.client.Open()
	t.Cleanup(g.client.Close)
	g.seeds = []string{freeAddr(t)}
	n := g.start(1, g.seeds[0], filepath.Join(t.TempDir(), "data"), true)
	g.waitForVoters(n, g.seeds...)
	relay := &crcontrol.Relay{Client: g.client, Sources: func() []string { return g.seeds }}
	change := &crwire.Change{ID: "1", Kind: crwire.KindCatalog, Catalog: &crdoc.Catalog{Version: 3}, Source: []byte("3")}
	if result := relay.Submit(t.Context(), change); result.Code != crwire.CodeOK {
		t.Errorf("submit catalog: %+v", result)
	}
	stored, err := relay.Catalog(t.Context())
	if err != nil || stored.Version != 3 || string(stored.Source) != "3" {
		t.Errorf("catalog %+v, %v; want version 3", stored, err)
	}
}

// TestFirstCatalogWaitsForVoters guards against a first catalog that is acknowledged
// on fewer disks than FaultTolerance requires. In a soak test, a group of two voters
// lost its quorum when a disk was lost 40 ms after the first acknowledgement.
func TestFirstCatalogWaitsForVoters(t *testing.T) {
	g := &group{tb: t, client: &crnet.Client{}}
	g.client.Open()
	t.Cleanup(g.client.Close)
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	g.seeds = addrs
	var nodes []*node
	for i, addr := range addrs {
		nodes = append(nodes, g.start(uint64(i+1), addr, filepath.Join(t.TempDir(), "data"), true))
	}
	g.applyCatalog(nodes[0], 1)
	status, err := g.status(nodes[0].addr)
	if err != nil {
		t.Fatal(err)
	}
	if len(status.Voters) != 3 {
		t.Errorf("acknowledged with %d voters, want 3", len(status.Voters))
	}
}

// TestNoFirstChangeWithTooFewVoters guards against a change of any kind that is
// acknowledged on fewer disks than FaultTolerance requires, however long the missing
// instances take.
func TestNoFirstChangeWithTooFewVoters(t *testing.T) {
	g := &group{tb: t, client: &crnet.Client{}, faultTolerance: 2}
	g.client.Open()
	t.Cleanup(g.client.Close)
	g.seeds = []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	var nodes []*node
	for i, addr := range g.seeds {
		nodes = append(nodes, g.start(uint64(i+1), addr, filepath.Join(t.TempDir(), "data"), true))
	}
	g.waitForVoters(nodes[0], g.seeds...)
	want := "the new group has 3 voters and waits for 5"
	for _, change := range []*crwire.Change{
		{ID: "1", Kind: crwire.KindCatalog, Catalog: &crdoc.Catalog{Version: 1}, Source: []byte("1")},
		{ID: "2", Kind: crwire.KindZoneOut, Zone: "z1", Base: new(uint64)},
		{ID: "3", Kind: crwire.KindApply, Service: document("s", "127.0.0.1:9000")},
	} {
		result := nodes[0].Submit(t.Context(), change)
		if diff := cmp.Diff([]any{crwire.CodeUnavailable, want}, []any{result.Code, result.Text}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", change.Kind, diff)
		}
	}
	for id := uint64(4); id <= 5; id++ {
		g.start(id, freeAddr(t), filepath.Join(t.TempDir(), "data"), true)
	}
	g.applyCatalog(nodes[0], 1)
}

// TestAdmissionRequestIsForwardedOnce guards against admission requests that loop
// between instances that disagree about the leader: only the leader accepts a
// request that was already forwarded.
func TestAdmissionRequestIsForwardedOnce(t *testing.T) {
	g, nodes := newGroup(t)
	for _, n := range nodes {
		status, err := g.status(n.addr)
		if err != nil {
			t.Fatal(err)
		}
		var resp crwire.AdmitResponse
		req := crwire.Admit{ID: 1, Address: g.seeds[0], Forwarded: true}
		err = g.client.JSON(t.Context(), n.addr, crcontrol.PathAdmit, req, &resp)
		if (err == nil) != status.Leading {
			t.Errorf("admission request forwarded to %s, leading %t: %v", n.addr, status.Leading, err)
		}
	}
}
