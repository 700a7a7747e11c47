package cragent

import (
	"net/http"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crwire"
)

// serve handles requests on the run address: run calls and polls of the feed. A
// poll has no service header.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/feed" && r.Header.Get(crwire.HeaderService) == "" {
		a.serveFeed(w, r)
		return
	}
	a.serveRun(w, r)
}

// serveFeed serves the agent's view to processes that have no connection to
// control. The response is marked as stale because the agent can't prove that
// its view is up to date.
func (a *Agent) serveFeed(w http.ResponseWriter, r *http.Request) {
	handler := &crfeed.Handler{Source: a.source, Stale: func() bool { return true }}
	handler.ServeHTTP(w, r)
}
