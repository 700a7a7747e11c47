package crcontrol_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crstore"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// firstViewPath is the request of a daemon without a view that accepts a provisional one.
const firstViewPath = "/feed?after=0&wait=0s&early=0"

// firstView returns the answer of an instance to a daemon that starts. It repeats the
// request until the instance knows a change.
func (g *group) firstView(addr string) *crwire.Feed {
	g.tb.Helper()
	var feed crwire.Feed
	for range 500 {
		feed = crwire.Feed{}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := g.client.JSON(ctx, addr, firstViewPath, nil, &feed)
		cancel()
		if err == nil && (feed.Revision > 0 || feed.Snapshot != nil) {
			return &feed
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.tb.Fatalf("%s knows no change: %+v", addr, feed)
	return nil
}

// appendUncommitted appends a catalog to the log in a folder, as a leader without a quorum
// does.
func appendUncommitted(t *testing.T, dir string, version uint64) {
	t.Helper()
	folder, err := crstore.OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	store := &crstore.Store{Folder: folder}
	state, err := store.Open()
	if err != nil {
		t.Fatal(err)
	}
	change := &crwire.Change{
		ID: fmt.Sprint("uncommitted-", version), Kind: crwire.KindCatalog,
		Catalog: &crdoc.Catalog{Version: version}, Source: fmt.Append(nil, version),
	}
	data, err := json.Marshal(crstate.Entry{Kind: crwire.KindCatalog, Time: time.Now(), Change: change})
	if err != nil {
		t.Fatal(err)
	}
	entry := crquorum.Entry{Index: state.Entries[len(state.Entries)-1].Index + 1, Term: state.HardState.Term, Data: data}
	if err := store.Append(nil, []crquorum.Entry{entry}); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestViewWithoutQuorumHoldsAcceptedChanges guards against daemons that obey a change that
// was never accepted: they start beside an instance that has it on its disk and no quorum.
// The accepted changes are served at once.
func TestViewWithoutQuorumHoldsAcceptedChanges(t *testing.T) {
	g, nodes := newGroup(t)
	g.applyCatalog(nodes[0], 1)
	for _, n := range nodes {
		g.firstView(n.addr)
	}
	for _, n := range nodes {
		n.stop()
	}
	appendUncommitted(t, nodes[0].data, 2)
	var got []uint64
	for range 2 {
		alone := g.start(1, nodes[0].addr, nodes[0].data, false)
		feed := g.firstView(alone.addr)
		if feed.Snapshot == nil || feed.Snapshot.Catalog == nil {
			t.Fatalf("the first view has no catalog: %+v", feed)
		}
		got = append(got, feed.Snapshot.Catalog.Version)
		alone.stop()
	}
	if diff := cmp.Diff([]uint64{1, 1}, got); diff != "" {
		t.Errorf("versions of the catalog that daemons get from the lone instance, started twice (-want +got):\n%s", diff)
	}
}
