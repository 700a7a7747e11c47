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

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
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
	g, nodes := startGroup(t, 1)
	for _, n := range nodes {
		g.waitForVoters(n, g.seeds...)
	}
	return g, nodes
}

// startGroup starts three instances for the first time.
func startGroup(t *testing.T, faultTolerance int) (*group, []*node) {
	t.Helper()
	g := &group{tb: t, client: &crnet.Client{}, faultTolerance: faultTolerance}
	g.client.Open()
	t.Cleanup(g.client.Close)
	g.seeds = []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	var nodes []*node
	for i, addr := range g.seeds {
		nodes = append(nodes, g.start(uint64(i+1), addr, filepath.Join(t.TempDir(), "data"), true))
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
