package crcontrol_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

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
	g, nodes := startGroup(t, 1)
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
	g, nodes := startGroup(t, 2)
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
