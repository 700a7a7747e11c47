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

// fakeControl stands in for control: it assigns numbers to agents and serves
// the feed.
type fakeControl struct {
	source *crfeed.Source
	addr   string

	mu        sync.Mutex
	agentNums map[string]uint32
}

// newControl starts a fakeControl without services.
func newControl(t *testing.T) *fakeControl {
	t.Helper()
	c := &fakeControl{source: crfeed.NewSource(crfeed.EmptyView()), agentNums: map[string]uint32{}}
	c.addr, _ = c.listen(t)
	return c
}

// listen opens another address of the same control. It returns the address and
// a function that closes it.
func (c *fakeControl) listen(t *testing.T) (addr string, closeAddr func()) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("GET /feed", &crfeed.Handler{Source: c.source, Stale: func() bool { return false }})
	mux.HandleFunc("POST /announce", c.serveAnnounce)
	server := &crnet.Server{Addr: "127.0.0.1:0", Handler: mux}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	closeAddr = sync.OnceFunc(func() { _ = server.Close() })
	t.Cleanup(closeAddr)
	return server.Bound(), closeAddr
}

// applyDelta applies a change to the view, as its next revision.
func (c *fakeControl) applyDelta(d crwire.Delta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyDeltaLocked(d)
}

// applyDeltaLocked applies a change to the view. Call it with mu held.
func (c *fakeControl) applyDeltaLocked(d crwire.Delta) {
	d.From = c.source.View().Revision
	d.To = d.From + 1
	if err := c.source.Add(&d); err != nil {
		panic(err)
	}
}

// applyService adds or replaces a service.
func (c *fakeControl) applyService(doc crdoc.Service) {
	c.applyDelta(crwire.Delta{Services: []*crdoc.Service{&doc}})
}

// serveAnnounce registers the announced agent and answers with its number.
func (c *fakeControl) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a crwire.Announce
	if !crnet.ReadJSON(w, r, 1<<20, &a) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	num := c.agentNums[a.Member.Name]
	if num == 0 {
		num = uint32(len(c.agentNums) + 1)
		c.agentNums[a.Member.Name] = num
	}
	m := a.Member
	m.Num = num
	if old, ok := c.source.View().Members[num]; (!ok && m.State != crwire.MemberGone) || ok && old != m {
		c.applyDeltaLocked(crwire.Delta{Members: []crwire.Member{m}})
	}
	crnet.WriteJSON(w, http.StatusOK, crwire.AnnounceResponse{Num: num, LeaseMillis: 3000, Revision: c.source.View().Revision})
}
