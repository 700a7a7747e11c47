package crfeed_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

// TestProvisionalViewAfterAFreshOne guards against a view with an entry that was never
// committed, which a daemon takes for a real one: an instance without a quorum answers a
// request for the first view just after another instance has.
func TestProvisionalViewAfterAFreshOne(t *testing.T) {
	view := func(revision uint64) *crwire.View {
		v := *crfeed.EmptyView()
		v.Revision = revision
		return &v
	}
	hasView, answered := make(chan struct{}), make(chan struct{})
	var once sync.Once
	serve := func(handle http.HandlerFunc) string {
		server := httptest.NewServer(handle)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	fresh := serve(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "0" {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(crwire.Feed{Revision: 5, Snapshot: view(5)})
	})
	stale := serve(func(w http.ResponseWriter, _ *http.Request) {
		<-hasView
		_ = json.NewEncoder(w).Encode(crwire.Feed{Stale: true, Revision: 4, Snapshot: view(6)})
		once.Do(func() { close(answered) })
	})
	client := &crnet.Client{}
	client.Open()
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var revisions []uint64
	f := &crfeed.Follower{
		Client: client, Sources: []string{fresh, stale}, AllowProvisional: true, Random: func() float64 { return 0.6 },
		OnView: func(v *crwire.View) {
			if revisions = append(revisions, v.Revision); len(revisions) == 1 {
				close(hasView)
				<-answered
				// Both requests have been sent. The second answer is read in this
				// time, before the first one ends the search.
				time.Sleep(100 * time.Millisecond)
			}
		},
	}
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	<-answered
	// The answer is applied, or its request was cancelled.
	f.SetSources([]string{fresh})
	cancel()
	done.Wait()
	for _, r := range revisions {
		if r != 5 {
			t.Errorf("views of the revisions %v were applied, want 5 only", revisions)
		}
	}
}
