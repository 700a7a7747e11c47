package crcontrol_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// daemons is a set of daemons that poll the feed of one instance.
type daemons struct {
	revisions []atomic.Uint64
	updated   chan struct{}
	cancel    context.CancelFunc
	done      sync.WaitGroup
	client    *crnet.Client
}

// startDaemons starts n daemons.
func startDaemons(b *testing.B, in *instance, n int) *daemons {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemons{revisions: make([]atomic.Uint64, n), updated: make(chan struct{}, 1), cancel: cancel, client: &crnet.Client{}}
	d.client.Open()
	for i := range n {
		f := &crfeed.Follower{
			Name: fmt.Sprint("daemon", i), Client: d.client, Sources: []string{in.addr},
			OnView: func(v *crwire.View) {
				d.revisions[i].Store(v.Revision)
				select {
				case d.updated <- struct{}{}:
				default:
				}
			},
		}
		d.done.Go(func() { f.Run(ctx) })
	}
	return d
}

// waitForRevision waits until every daemon has applied a revision.
func (d *daemons) waitForRevision(rev uint64) {
	behind := func(r *atomic.Uint64) bool { return r.Load() < rev }
	for i := range d.revisions {
		for behind(&d.revisions[i]) {
			<-d.updated
		}
	}
}

// stop stops the daemons.
func (d *daemons) stop() {
	d.cancel()
	d.done.Wait()
	d.client.Close()
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkChangePropagation measures the time from an operator's change until the
// last daemon has applied it, with 30 services and 300 agents in the view.
func BenchmarkChangePropagation(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(n, "-daemons"), func(b *testing.B) {
			in := startControl(b, crdoc.Replica{Lease: crdoc.Duration(time.Hour)})
			rev := populate(b, in)
			d := startDaemons(b, in, n)
			d.waitForRevision(rev)
			feedBytes, cpu := in.counter(b, "cardamomring_control_feed_bytes_total"), cpuTime()
			var times []time.Duration
			for i := 0; b.Loop(); i++ {
				start := time.Now()
				kind := crwire.KindZoneOut
				if i%2 == 1 {
					kind = crwire.KindZoneIn
				}
				var result crwire.Result
				base := uint64(i)
				in.mustCall(b, "/change", crwire.Change{ID: fmt.Sprint("b", i), Kind: kind, Zone: "z2", Base: &base}, &result)
				d.waitForRevision(result.Revision)
				times = append(times, time.Since(start))
			}
			updates := float64(len(times) * n)
			b.ReportMetric((in.counter(b, "cardamomring_control_feed_bytes_total")-feedBytes)/updates, "B/change/daemon")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/updates, "cpu-us/change/daemon")
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
			d.stop()
		})
	}
}

// populate creates 30 services and 300 agents and returns the revision.
func populate(b *testing.B, in *instance) uint64 {
	b.Helper()
	for i := range 30 {
		doc := document(fmt.Sprint("s", i), fmt.Sprint("127.0.0.1:", 9000+i))
		in.mustCall(b, "/change", crwire.Change{ID: fmt.Sprint("f", i), Service: doc}, &crwire.Result{})
	}
	var last crwire.AnnounceResponse
	for i := range 300 {
		in.mustCall(b, "/announce", crwire.Announce{Member: member(i)}, &last)
	}
	return last.Revision
}

// member returns the announcement of agent i.
func member(i int) crwire.Member {
	return crwire.Member{
		Name: fmt.Sprint("agent", i), Service: fmt.Sprint("s", i%30), Zone: "z1", Host: fmt.Sprint("host", i),
		RunAddr: fmt.Sprint("127.0.0.1:", 20000+i), Weight: 1,
	}
}

// BenchmarkHeartbeat measures the renewal of a lease while other agents renew
// theirs at the same time.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n, "-agents"), func(b *testing.B) {
			in := startControl(b, crdoc.Replica{Lease: crdoc.Duration(time.Hour)})
			renewAll := func() {
				var calls sync.WaitGroup
				for worker := range 30 {
					calls.Go(func() {
						for i := worker; i < n; i += 30 {
							in.mustCall(b, "/announce", crwire.Announce{Member: member(i)}, &crwire.AnnounceResponse{})
						}
					})
				}
				calls.Wait()
			}
			renewAll()
			cpu, rounds := cpuTime(), 0
			for b.Loop() {
				renewAll()
				rounds++
			}
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(rounds*n), "cpu-us/renewal")
		})
	}
}

// BenchmarkClaim measures concurrent claims, each followed by its settle call.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n, "-callers"), func(b *testing.B) {
			in := startControl(b, crdoc.Replica{})
			in.mustCall(b, "/change", crwire.Change{ID: "1", Service: document("s", "127.0.0.1:9000")}, &crwire.Result{})
			var next atomic.Int64
			b.ResetTimer()
			start := time.Now()
			var calls sync.WaitGroup
			for range n {
				calls.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						key := fmt.Sprint("k", i)
						claim := crwire.Claim{Service: "s", Key: key, Digest: "d", Attempt: key}
						settle := crwire.Settle{Service: "s", Key: key, Attempt: key, Record: crwire.Record{Outcome: crwire.OutcomeDone}}
						in.mustCall(b, "/claim", claim, &crwire.ClaimResponse{})
						in.mustCall(b, "/settle", settle, &struct{}{})
					}
				})
			}
			calls.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "claims/s")
		})
	}
}
