package crbalancer_test

import (
	"net/http"
	"sync"
	"testing"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// fakeControl stands for control: it numbers agents and serves the feed.
type fakeControl struct {
	source *crfeed.Source
	addr   string

	mu   sync.Mutex
	nums map[string]uint32
}

// newControl starts a control without documents.
func newControl(t *testing.T) *fakeControl {
	t.Helper()
	c := &fakeControl{source: crfeed.NewSource(crfeed.EmptyView()), nums: map[string]uint32{}}
	c.addr, _ = c.listen(t)
	return c
}

// listen opens one more address of the same control, and returns it with
// what closes it.
func (c *fakeControl) listen(t *testing.T) (addr string, cut func()) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("GET /feed", &crfeed.Handler{Source: c.source, Stale: func() bool { return false }})
	mux.HandleFunc("POST /announce", c.serveAnnounce)
	server := &crnet.Server{Addr: "127.0.0.1:0", Handler: mux}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	cut = sync.OnceFunc(func() { _ = server.Close() })
	t.Cleanup(cut)
	return server.Bound(), cut
}

// change moves the view forward.
func (c *fakeControl) change(d crwire.Delta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(d)
}

// add moves the view forward; the caller holds mu.
func (c *fakeControl) add(d crwire.Delta) {
	d.From = c.source.View().Revision
	d.To = d.From + 1
	if err := c.source.Add(&d); err != nil {
		panic(err)
	}
}

// apply sets a document.
func (c *fakeControl) apply(doc crdoc.Service) {
	c.change(crwire.Delta{Services: []*crdoc.Service{&doc}})
}

func (c *fakeControl) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a crwire.Announce
	if !crnet.ReadJSON(w, r, 1<<20, &a) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	num := c.nums[a.Member.Name]
	if num == 0 {
		num = uint32(len(c.nums) + 1)
		c.nums[a.Member.Name] = num
	}
	m := a.Member
	m.Num = num
	if old, ok := c.source.View().Members[num]; (!ok && m.State != crwire.MemberGone) || ok && old != m {
		c.add(crwire.Delta{Members: []crwire.Member{m}})
	}
	crnet.WriteJSON(w, http.StatusOK, crwire.AnnounceResponse{Num: num, LeaseMillis: 3000, Revision: c.source.View().Revision})
}
