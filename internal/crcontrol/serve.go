package crcontrol

import (
	"net/http"
	"strconv"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// waitMax bounds how long a poll of the feed stays open.
const waitMax = 30 * time.Second

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
	crnet.WriteJSON(w, http.StatusOK, c.source.Answer(ctx, after, min(wait, waitMax)))
}

// serveAnnounce renews an agent's lease.
func (c *Control) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a crwire.Announce
	if !crnet.ReadJSON(w, r, bodyMax, &a) {
		return
	}
	var answer crwire.Announced
	if !c.do(func() { answer = c.announce(a.Member) }) {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	crnet.WriteJSON(w, http.StatusOK, answer)
}

// announce renews a lease and commits what changed; it runs in the loop.
func (c *Control) announce(m crwire.Member) crwire.Announced {
	m.Num = 0
	old, known := c.leases[m.Name]
	if !known || old.member != m {
		c.commit(crstate.Entry{Kind: crwire.KindMembers, Members: []crwire.Member{m}})
		c.Logf("agent %s of %s is %s", m.Name, m.Service, m.State)
	}
	if m.State == crwire.MemberGone {
		delete(c.leases, m.Name)
	} else {
		c.leases[m.Name] = lease{member: m, until: time.Now().Add(leaseDefault)}
	}
	return crwire.Announced{
		Num:      c.state.Number(m.Name),
		Lease:    leaseDefault.Milliseconds(),
		Revision: c.state.Revision(),
	}
}

// serveChange carries out an operator's change.
func (c *Control) serveChange(w http.ResponseWriter, r *http.Request) {
	var change crwire.Change
	if !crnet.ReadJSON(w, r, bodyMax, &change) {
		return
	}
	var reply crstate.Reply
	if !c.do(func() { reply = c.commit(crstate.Entry{Kind: change.Kind, Change: &change}) }) {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	crnet.WriteJSON(w, http.StatusOK, reply.Result)
}

// serveAudit returns the audit trail.
func (c *Control) serveAudit(w http.ResponseWriter, _ *http.Request) {
	var lines []crwire.Audit
	c.do(func() { lines = c.state.Audit() })
	crnet.WriteJSON(w, http.StatusOK, lines)
}

// serveView returns the view in force.
func (c *Control) serveView(w http.ResponseWriter, _ *http.Request) {
	crnet.WriteJSON(w, http.StatusOK, c.source.View())
}
