package crfeed_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// agentCounts lists the numbers of agents in the benchmarked views.
var agentCounts = []int{1_000, 10_000, 100_000}

// benchMember returns the entry of an agent in a view.
func benchMember(num int) crwire.Member {
	return crwire.Member{
		Num: uint32(num), Name: fmt.Sprintf("service-%05d-%06d", num%17_000, num), Service: fmt.Sprintf("service-%05d", num%17_000),
		Zone: "neng-a", Host: fmt.Sprintf("host-%05d", num/5), RunAddr: "198.51.100.200:17101", DatagramAddr: "198.51.100.200:17102", Weight: 4,
	}
}

// benchService returns a service document of the size of those in examples.
func benchService(num int) *crdoc.Service {
	return &crdoc.Service{
		Name: fmt.Sprintf("service-%05d", num), Customer: "consortium", Version: 7, Address: "198.51.100.10:4433",
		Hosts: []string{"ledger.example"}, Zones: []string{"neng-a", "neng-b", "neng-c"},
		Limit: crdoc.Limit{Start: 4, Max: 64, Headroom: 0.25},
		Classes: []crdoc.Class{
			{Name: "clocking", Priority: true, Deadline: crdoc.Duration(5 * time.Second), Match: []crdoc.Match{{Method: "POST", Prefix: "/clockings"}}},
			{Name: "lookup", Repeatable: true, Weight: 1, Deadline: crdoc.Duration(2 * time.Second), Match: []crdoc.Match{{Method: "GET", Prefix: "/"}}},
		},
		OutcomeRetention: crdoc.Duration(10 * time.Minute), Grace: crdoc.Duration(30 * time.Second),
	}
}

// benchView returns a view with n agents and one service per 14 agents.
func benchView(n int) *crwire.View {
	v := crfeed.EmptyView()
	v.Revision = 1
	for i := range n {
		v.Members[uint32(i)+1] = benchMember(i + 1)
	}
	for i := range n / 14 {
		doc := benchService(i)
		v.Services[doc.Name] = doc
	}
	return v
}

// heapBytes returns the bytes of heap objects in use. The second garbage
// collection frees what sync.Pool still holds after the first.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSnapshot measures the initial view of a daemon: its bytes on the wire,
// the time to decode it, and its memory.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			before := heapBytes()
			data, err := json.Marshal(&crwire.Feed{Revision: 1, Snapshot: benchView(n)})
			if err != nil {
				b.Fatal(err)
			}
			var feed crwire.Feed
			for b.Loop() {
				feed = crwire.Feed{}
				if err := json.Unmarshal(data, &feed); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "wire-B")
			b.ReportMetric(float64(heapBytes()-before), "held-B")
			runtime.KeepAlive(feed)
		})
	}
}

// BenchmarkDelta measures one change for a daemon whose view has n agents: the
// bytes of the answer, and the time to decode and apply it.
func BenchmarkDelta(b *testing.B) {
	changes := map[string]crwire.Delta{
		"member":   {From: 1, To: 2, Members: []crwire.Member{benchMember(1)}},
		"document": {From: 1, To: 2, Services: []*crdoc.Service{benchService(1)}},
		"zone":     {From: 1, To: 2, ZonesOutChanged: true, ZonesOut: []string{"neng-a"}},
	}
	for _, kind := range []string{"member", "document", "zone"} {
		for _, n := range agentCounts {
			b.Run(fmt.Sprintf("%s/agents=%d", kind, n), func(b *testing.B) {
				view := benchView(n)
				data, err := json.Marshal(&crwire.Feed{Revision: 2, Deltas: []crwire.Delta{changes[kind]}})
				if err != nil {
					b.Fatal(err)
				}
				for b.Loop() {
					var feed crwire.Feed
					if err := json.Unmarshal(data, &feed); err != nil {
						b.Fatal(err)
					}
					if _, err := crfeed.ApplyFeed(view, &feed); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(data)), "wire-B")
			})
		}
	}
}

// BenchmarkAnnounce measures one heartbeat of an agent: its bytes and the time to
// decode it.
func BenchmarkAnnounce(b *testing.B) {
	data, err := json.Marshal(crwire.Announce{Member: benchMember(1)})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var a crwire.Announce
		if err := json.Unmarshal(data, &a); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "wire-B")
}
