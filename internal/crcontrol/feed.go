package crcontrol

import (
	"net/http"
	"strconv"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

const (
	// defaultAuditLines is the number of audit lines in a response if the request
	// has no valid limit.
	defaultAuditLines = 100
	// maxAuditLines bounds the audit lines in a response.
	maxAuditLines = 1000
)

// feed returns the handler of GET /feed.
func (c *Control) feed() http.Handler {
	return &crfeed.Handler{
		Source:          c.source,
		Stale:           func() bool { return !c.replica.Status().Fresh },
		ProvisionalView: c.source.View,
		OnPoll:          c.followers.recordPoll,
		OnAnswer:        c.metrics.countFeedAnswer,
		StopCtx:         c.runCtx,
	}
}

// serveView responds with the current view.
func (c *Control) serveView(w http.ResponseWriter, _ *http.Request) {
	crnet.WriteJSON(w, http.StatusOK, c.source.View())
}

// serveLatest responds with the view if this instance leads. The leader first
// commits an entry, so the view includes every change that was acknowledged
// before the call.
func (c *Control) serveLatest(w http.ResponseWriter, r *http.Request) {
	if status := c.replica.Status(); !status.Leading {
		c.respond(w, nil, &crreplica.NotLeaderError{Leader: status.Address})
		return
	}
	_, err := c.commit(r.Context(), crstate.Entry{Kind: crwire.KindRead})
	c.respond(w, c.source.View(), err)
}

// serveAudit serves GET /audit?before=SEQ&limit=N&subject=S. It responds with the
// last N audit lines before line SEQ, oldest first.
func (c *Control) serveAudit(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	before, err := strconv.ParseUint(query.Get("before"), 10, 64)
	if err != nil {
		before = 0
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultAuditLines
	}
	var lines []crwire.Audit
	err = c.replica.Do(func() { lines = c.state.Audit(before, min(limit, maxAuditLines), query.Get("subject")) })
	c.respond(w, lines, err)
}
