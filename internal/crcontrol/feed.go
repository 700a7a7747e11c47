package crcontrol

import (
	"net/http"
	"strconv"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	// auditPage is how many audit lines are answered when none is asked.
	auditPage = 100
	// auditPageMax bounds the lines of one answer.
	auditPageMax = 1000
)

// feed returns the handler of GET /feed.
func (c *Control) feed() http.Handler {
	return &crfeed.Handler{
		Source:          c.source,
		Stale:           func() bool { return !c.replica.Status().Fresh },
		ProvisionalView: func() *crwire.View { return c.early },
		OnPoll:          c.followers.polled,
		OnAnswer:        c.metrics.countFeed,
		StopCtx:         c.life,
	}
}

// serveView returns the view in force.
func (c *Control) serveView(w http.ResponseWriter, _ *http.Request) {
	crnet.WriteJSON(w, http.StatusOK, c.source.View())
}

// serveAudit answers GET /audit?before=SEQ&limit=N&subject=S with the lines before
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
	err = c.replica.Do(func() { lines = c.state.Audit(before, min(limit, auditPageMax), query.Get("subject")) })
	c.answer(w, lines, err)
}
