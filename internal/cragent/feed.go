package cragent

import (
	"net/http"
	"strconv"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

// feedWaitMax bounds how long a poll of the feed stays open.
const feedWaitMax = 10 * time.Second

// serve answers what comes in on the run address: run calls, and polls of
// the feed, which carry no service.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/feed" && r.Header.Get(crwire.HeaderService) == "" {
		a.serveFeed(w, r)
		return
	}
	a.serveRun(w, r)
}

// serveFeed answers GET /feed?after=REV&wait=DURATION from the view that the
// agent holds, for processes that control can't reach. The agent can't prove
// that it is fresh, and says so.
func (a *Agent) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	feed := *a.source.Answer(r.Context(), after, min(wait, feedWaitMax))
	feed.Stale = true
	crnet.WriteJSON(w, http.StatusOK, feed)
}
