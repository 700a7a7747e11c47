package cragent

import (
	"net/http"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crwire"
)

// serve answers what comes in on the run address: run calls, and polls of
// the feed, which carry no service.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/feed" && r.Header.Get(crwire.HeaderService) == "" {
		a.serveFeed(w, r)
		return
	}
	a.serveRun(w, r)
}

// serveFeed answers the feed from the view that the agent holds, for
// processes that control can't reach. The agent can't prove that it is
// fresh, and says so.
func (a *Agent) serveFeed(w http.ResponseWriter, r *http.Request) {
	handler := &crfeed.Handler{Source: a.source, Stale: func() bool { return true }}
	handler.ServeHTTP(w, r)
}
