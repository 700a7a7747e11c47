package crcontrol

import (
	"net/http"
	"strconv"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	// waitMax bounds how long a poll of the feed stays open.
	waitMax = 30 * time.Second
	// auditPage is how many audit lines are answered when none is asked.
	auditPage = 100
	// auditPageMax bounds the lines of one answer.
	auditPageMax = 1000
)

// serveFeed answers GET /feed?after=REV&wait=DURATION.
func (c *Control) serveFeed(w http.ResponseWriter, r *http.Request) {
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
	ctx, cancel := c.untilStop(r)
	defer cancel()
	feed := *c.source.Answer(ctx, after, min(wait, waitMax))
	// Freshness is asked for last: the process may have stood still.
	feed.Stale = !c.replica.Status().Fresh
	c.metrics.countFeed(&feed)
	crnet.WriteJSON(w, http.StatusOK, feed)
}

// serveView returns the view in force.
func (c *Control) serveView(w http.ResponseWriter, _ *http.Request) {
	crnet.WriteJSON(w, http.StatusOK, c.source.View())
}

// serveAudit answers GET /audit?before=SEQ&limit=N with the lines before
// one, oldest first.
func (c *Control) serveAudit(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	before, err := strconv.ParseUint(query.Get("before"), 10, 64)
	if err != nil {
		before = 0
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = auditPage
	}
	var lines []crwire.Audit
	err = c.replica.Do(func() { lines = c.state.Audit(before, min(limit, auditPageMax)) })
	c.answer(w, lines, err)
}
