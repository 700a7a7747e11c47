package crreplica_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstore"
	"cardamomring.dev/pkg/crdoc"
)

// instance is a replica of a counter that sums what is proposed.
type instance struct {
	*crreplica.Replica
	id       uint64
	sum      int
	server   *crnet.Server
	routes   atomic.Pointer[http.Handler]
	received atomic.Int64
	handed   atomic.Int64 // how often this leader handed over
	stop     context.CancelFunc
	done     chan error
}

// group is a set of instances over loopback.
type group struct {
	tb      testing.TB
	client  *crnet.Client
	members map[uint64]string
	all     map[uint64]*instance
	every   uint64        // entries between snapshots
	tick    time.Duration // 0 for the default
}

// initial is how many instances found the group.
const initial = 3

// newGroup starts the listeners of all instances, the initial ones first.
func newGroup(tb testing.TB, all int) *group {
	tb.Helper()
	g := &group{tb: tb, client: &crnet.Client{}, members: map[uint64]string{}, all: map[uint64]*instance{}, every: 50, tick: 10 * time.Millisecond}
	g.client.Open()
	for id := uint64(1); id <= uint64(all); id++ {
		in := &instance{id: id}
		in.server = &crnet.Server{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(in.serve)}
		g.check(in.server.Start())
		g.all[id] = in
		if id <= initial {
			g.members[id] = in.server.Bound()
		}
	}
	return g
}

func (in *instance) serve(w http.ResponseWriter, r *http.Request) {
	in.received.Add(r.ContentLength)
	if h := in.routes.Load(); h != nil {
		(*h).ServeHTTP(w, r)
		return
	}
	http.Error(w, "down", http.StatusServiceUnavailable)
}

func (g *group) check(err error) {
	g.tb.Helper()
	if err != nil {
		g.tb.Fatal(err)
	}
}

// start runs an instance on a data folder.
func (g *group) start(id uint64, dir string) {
	in := g.all[id]
	in.sum = 0
	in.Replica = &crreplica.Replica{
		Settings: &crdoc.Replica{ID: id, Data: dir, Members: g.members}, Client: g.client,
		TickInterval: g.tick, SnapshotThreshold: g.every, Registry: prometheus.NewRegistry(),
		Apply: func(_ uint64, data []byte) any {
			n, _ := strconv.Atoi(string(data))
			in.sum += n
			return in.sum
		},
		Snapshot:      func() []byte { return []byte(strconv.Itoa(in.sum)) },
		Restore:       func(data []byte) (err error) { in.sum, err = strconv.Atoi(string(data)); return err },
		StatusChanged: func(crreplica.Status) {},
		Logf: func(format string, _ ...any) {
			if strings.Contains(format, "take over") {
				in.handed.Add(1)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.stop, in.done = cancel, make(chan error, 1)
	g.check(in.Open(ctx))
	handler := in.Routes()
	in.routes.Store(&handler)
	go func() { in.done <- in.Run() }()
}

func (g *group) halt(id uint64) {
	g.tb.Helper()
	in := g.all[id]
	in.stop()
	g.check(<-in.done)
	in.routes.Store(nil)
	in.done = nil
}

func (g *group) close() {
	for id, in := range g.all {
		if in.done != nil {
			g.halt(id)
		}
		g.check(in.server.Close())
	}
	g.client.Close()
}

// propose adds n through whichever instance leads.
func (g *group) propose(n int) int {
	g.tb.Helper()
	for {
		for _, in := range g.all {
			if in.done == nil || !in.Status().Leading {
				continue
			}
			value, err := in.Propose(context.Background(), []byte(strconv.Itoa(n)))
			if sum, ok := value.(int); ok && err == nil {
				return sum
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// wait polls until an instance satisfies a condition.
func (g *group) wait(id uint64, ok func(in *instance) bool) {
	g.tb.Helper()
	for in := g.all[id]; ; time.Sleep(time.Millisecond) {
		good := false
		g.check(in.Do(func() { good = ok(in) }))
		if good {
			return
		}
	}
}

func (g *group) leader() *instance {
	for {
		for _, in := range g.all {
			if in.done != nil && in.Status().Leading {
				return in
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// A group of three counts on while each instance in turn is stopped, loses
// its disk, and comes back.
func TestReplicaLostDisks(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newGroup(t, 3)
	defer g.close()
	for id := range g.members {
		g.start(id, t.TempDir())
	}
	total := 0
	for range 3 {
		for id := range g.members {
			for range 20 {
				total++
				if got := g.propose(1); got != total {
					t.Fatalf("sum %d, want %d", got, total)
				}
			}
			g.halt(id)
			total++
			if got := g.propose(1); got != total {
				t.Fatalf("sum %d without instance %d, want %d", got, id, total)
			}
			g.start(id, t.TempDir())
			g.wait(id, func(in *instance) bool {
				s := in.Status()
				return s.Fresh && s.Voting && len(s.Voters) == 3 && in.sum == total
			})
		}
	}
}

// Every instance of a stopped group comes back with what was accepted.
func TestReplicaRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newGroup(t, 3)
	defer g.close()
	dirs := map[uint64]string{}
	for id := range g.members {
		dirs[id] = t.TempDir()
		g.start(id, dirs[id])
	}
	for n := range 130 {
		if got := g.propose(1); got != n+1 {
			t.Fatalf("sum %d, want %d", got, n+1)
		}
	}
	for id := range g.members {
		g.halt(id)
	}
	for id, dir := range dirs {
		g.start(id, dir)
	}
	if got := g.propose(1); got != 131 {
		t.Fatalf("sum %d after the restart, want 131", got)
	}
}

// An instance is replaced by command: a learner is added, promoted, and the
// old one removed.
func TestReplicaReplace(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newGroup(t, 4)
	defer g.close()
	for id := range g.members {
		g.start(id, t.TempDir())
	}
	total := g.propose(5)
	g.start(4, t.TempDir())
	ctx := context.Background()
	change := func(f func(r *crreplica.Replica) error) {
		for f(g.leader().Replica) != nil {
			time.Sleep(time.Millisecond)
		}
	}
	addr := g.all[4].server.Bound()
	change(func(r *crreplica.Replica) error { return r.AddLearner(ctx, 4, addr) })
	change(func(r *crreplica.Replica) error { return r.Promote(ctx, 4) })
	g.wait(4, func(in *instance) bool { return len(in.Status().Voters) == 4 && in.sum == total })
	change(func(r *crreplica.Replica) error { return r.Remove(ctx, 1) })
	g.halt(1)
	total += 2
	if got := g.propose(2); got != total {
		t.Fatalf("sum %d, want %d", got, total)
	}
	g.wait(4, func(in *instance) bool { return in.sum == total })
	want := map[uint64]string{2: g.members[2], 3: g.members[3], 4: addr}
	if d := cmp.Diff(want, g.leader().Status().Voters); d != "" {
		t.Error(d)
	}
}

// A leader that was held up while another one took over isn't fresh, neither
// for those who ask meanwhile nor for the first call after it.
func TestReplicaFrozenLeader(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newGroup(t, 3)
	defer g.close()
	for id := range g.members {
		g.start(id, t.TempDir())
	}
	g.propose(1)
	frozen := g.leader()
	for id := range g.members {
		g.wait(id, func(in *instance) bool { return in.sum == 1 })
	}
	release, held := make(chan struct{}), make(chan error)
	go func() { held <- frozen.Do(func() { <-release }) }()
	for g.leaderBut(frozen) == nil {
		time.Sleep(time.Millisecond)
	}
	if frozen.Status().Fresh {
		t.Error("fresh beside another leader")
	}
	close(release)
	g.check(<-held)
	g.check(frozen.Do(func() {
		if s := frozen.Status(); s.Fresh && s.Leading {
			t.Errorf("leads after it was held up: %+v", s)
		}
	}))
}

// leaderBut returns a leader other than one instance, nil for none.
func (g *group) leaderBut(one *instance) *instance {
	for _, in := range g.all {
		if in != one && in.Status().Leading {
			return in
		}
	}
	return nil
}

// A group that has lost all its disks starts again from a copy of one log.
func TestReplicaRestoreBackup(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := newGroup(t, 3)
	defer g.close()
	dir := t.TempDir()
	g.start(1, t.TempDir())
	g.start(2, dir)
	g.start(3, t.TempDir())
	for range 70 {
		g.propose(1)
	}
	g.wait(2, func(in *instance) bool { return in.sum == 70 })
	data, err := os.ReadFile(filepath.Join(dir, "log"))
	g.check(err)
	for id := range g.members {
		g.halt(id)
	}
	restored := t.TempDir()
	folder, err := crstore.OpenFolder(restored)
	g.check(err)
	backup, err := crreplica.RestoreFolder(folder, data, 2, g.members)
	if err != nil || backup.LastIndex < 70 || backup.SnapshotIndex < 50 {
		t.Fatalf("backup %+v: %v", backup, err)
	}
	if _, err := crreplica.RestoreFolder(folder, data, 2, g.members); !errors.Is(err, crreplica.ErrLogExists) {
		t.Errorf("restored over a log: %v", err)
	}
	g.start(1, t.TempDir())
	g.start(2, restored)
	g.start(3, t.TempDir())
	if got := g.propose(1); got != 71 {
		t.Errorf("sum %d, want 71", got)
	}
	for id := range g.members {
		g.wait(id, func(in *instance) bool { return in.sum == 71 && len(in.Status().Voters) == 3 && in.Status().Voting })
	}
}

// A follower refuses a proposal and names the leader.
func TestReplicaFollowerRefuses(t *testing.T) {
	g := newGroup(t, 3)
	defer g.close()
	for id := range g.members {
		g.start(id, t.TempDir())
	}
	leader := g.leader().id
	for id, in := range g.all {
		if id == leader {
			continue
		}
		g.wait(id, func(in *instance) bool { return in.Status().Fresh })
		_, err := in.Propose(context.Background(), []byte("1"))
		var refused *crreplica.NotLeaderError
		if !errors.As(err, &refused) || refused.Leader != g.members[leader] {
			t.Errorf("instance %d: %v, want the address of instance %d", id, err, leader)
		}
	}
}

// BenchmarkPropose measures commits a second of three instances by the number
// of concurrent proposers, how many entries share the leader's sync, and the
// bytes that the leader sends to a follower for an entry of 200 bytes.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 4, 16, 64, 256, 1024} {
		b.Run(fmt.Sprint(proposers), func(b *testing.B) {
			g := newGroup(b, 3)
			defer g.close()
			g.every = 0
			for id := range g.members {
				g.start(id, b.TempDir())
			}
			g.propose(0)
			r := g.leader()
			syncs, bytes := g.syncs(r.id), g.received(r.id)
			data := make([]byte, 200)
			work := make(chan struct{}, proposers)
			var group sync.WaitGroup
			for range proposers {
				group.Go(func() {
					for range work {
						_, _ = r.Propose(context.Background(), data)
					}
				})
			}
			b.ResetTimer()
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(b.N)/float64(g.syncs(r.id)-syncs), "entries/sync")
			b.ReportMetric(float64(g.received(r.id)-bytes)/2/float64(b.N), "wire-B/entry")
		})
	}
}

// BenchmarkHandOver measures a planned stop of the leader: from its start to
// the first commit of the next leader, with the default tick.
func BenchmarkHandOver(b *testing.B) {
	g := newGroup(b, 3)
	defer g.close()
	g.tick = 0
	dirs := map[uint64]string{}
	for id := range g.members {
		dirs[id] = b.TempDir()
		g.start(id, dirs[id])
	}
	g.propose(1)
	longest := time.Duration(0)
	for b.Loop() {
		id, start := g.leader().id, time.Now()
		g.halt(id)
		g.propose(1)
		longest = max(longest, time.Since(start))
		b.StopTimer()
		g.start(id, dirs[id])
		g.wait(id, func(in *instance) bool { return in.Status().Fresh })
		b.StartTimer()
	}
	b.ReportMetric(longest.Seconds()*1000, "longest-ms")
}

// BenchmarkIdle measures what a follower receives when nothing happens.
func BenchmarkIdle(b *testing.B) {
	g := newGroup(b, 3)
	defer g.close()
	g.tick = 0
	for id := range g.members {
		g.start(id, b.TempDir())
	}
	g.propose(1)
	leader := g.leader().id
	bytes := g.received(leader)
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(g.received(leader)-bytes)/2/b.Elapsed().Seconds(), "wire-B/s")
}

// syncs returns how often an instance has synced its log.
func (g *group) syncs(id uint64) uint64 {
	families, err := g.all[id].Registry.Gather()
	g.check(err)
	for _, f := range families {
		if f.GetName() == "cardamomring_quorum_sync_seconds" {
			return f.GetMetric()[0].GetHistogram().GetSampleCount()
		}
	}
	return 0
}

// received returns the bytes that the others have received.
func (g *group) received(id uint64) int64 {
	total := int64(0)
	for other, in := range g.all {
		if other != id {
			total += in.received.Load()
		}
	}
	return total
}

// TestReplicaHandsOverUnderLoad stops the leader while entries are on their
// way: a follower takes over at once, without an election timeout.
func TestReplicaHandsOverUnderLoad(t *testing.T) {
	defer goleak.VerifyNone(t)
	const rounds = 20
	g := newGroup(t, initial)
	defer g.close()
	for id := uint64(1); id <= initial; id++ {
		g.start(id, filepath.Join(t.TempDir(), fmt.Sprint(id)))
	}
	g.propose(1)
	for round := range rounds {
		leader := g.leader()
		dir, before := leader.Settings.Data, leader.handed.Load()
		term := leader.Status().Term
		ctx, cancel := context.WithCancel(context.Background())
		var load sync.WaitGroup
		for range 8 {
			load.Go(func() {
				for ctx.Err() == nil {
					_, _ = leader.Propose(ctx, []byte("1"))
				}
			})
		}
		other := g.all[leader.id%initial+1]
		g.halt(other.id)
		g.propose(1)
		g.start(other.id, other.Settings.Data)
		g.halt(leader.id)
		cancel()
		load.Wait()
		if leader.handed.Load() == before {
			t.Errorf("round %d: instance %d stopped without handing over", round, leader.id)
		}
		g.propose(1)
		if now := g.leader().Status().Term; now != term+1 {
			t.Errorf("round %d: the lead went from term %d to term %d", round, term, now)
		}
		g.start(leader.id, dir)
		g.propose(1)
		g.settled()
	}
}

// settled waits until every running instance holds what is committed.
func (g *group) settled() {
	for {
		commits := map[uint64]bool{}
		for _, in := range g.all {
			commits[in.Status().Commit] = true
		}
		if len(commits) == 1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
