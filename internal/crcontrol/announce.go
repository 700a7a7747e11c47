package crcontrol

import (
	"context"
	"net/http"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// maxTextBytes bounds each text in a request, such as a member's name or an
// idempotency key.
const maxTextBytes = 512

// serveAnnounce renews an agent's lease.
func (c *Control) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var req crwire.Announce
	if !crnet.ReadJSON(w, r, maxBodyBytes, &req) {
		return
	}
	if req.Member.Name == "" || len(req.Member.Name) > maxTextBytes {
		http.Error(w, "member.name: want 1 to 512 bytes", http.StatusBadRequest)
		return
	}
	resp, err := c.announces.do(r.Context(), req.Member)
	c.respond(w, resp, err)
}

// serveAnnounceBatch renews the leases of a batch that another instance forwarded.
func (c *Control) serveAnnounceBatch(w http.ResponseWriter, r *http.Request) {
	serveBatch(c, w, r, c.renewLeasesAsLeader)
}

// renewLeases renews leases on this instance if it leads, otherwise on the leader.
func (c *Control) renewLeases(ctx context.Context, members []crwire.Member) ([]crwire.AnnounceResponse, error) {
	return runOnLeader(ctx, c, pathAnnounceBatch, members, c.renewLeasesAsLeader)
}

// renewLeasesAsLeader renews leases on the leader. It commits only new and
// changed members; other renewals are not written to the log.
func (c *Control) renewLeasesAsLeader(ctx context.Context, members []crwire.Member) ([]crwire.AnnounceResponse, error) {
	var changed []crwire.Member
	err := c.replica.Do(func() {
		now := time.Now()
		for _, m := range members {
			if !c.state.HasMember(m) {
				changed = append(changed, m)
			} else if m.State != crwire.MemberGone {
				c.leases.Renew(m, now)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	c.metrics.renewals.Add(float64(len(members)))
	if len(changed) > 0 {
		if _, err := c.commit(ctx, crstate.Entry{Kind: crwire.KindMembers, Members: changed, FlowLifetime: c.FlowLifetime}); err != nil {
			return nil, err
		}
		for _, m := range changed {
			c.Logf("agent %s of %s is %s", m.Name, m.Service, m.State)
		}
	}
	return c.announceResponses(members)
}

// announceResponses returns a response for each announced member, in order.
func (c *Control) announceResponses(members []crwire.Member) ([]crwire.AnnounceResponse, error) {
	responses := make([]crwire.AnnounceResponse, len(members))
	err := c.replica.Do(func() {
		for i, m := range members {
			responses[i] = crwire.AnnounceResponse{
				Num:         c.state.AgentNumber(m.Name),
				LeaseMillis: c.leases.Duration.Milliseconds(),
				Revision:    c.state.Revision(),
			}
		}
	})
	return responses, err
}

// expireLeases removes the agents whose lease has expired. The members stay until
// the removal is committed, which requires that this instance still leads.
func (c *Control) expireLeases() {
	var expired []crwire.Member
	err := c.replica.Do(func() {
		if s := c.replica.Status(); s.Leading && s.Fresh {
			expired = c.leases.Expired(c.state.Agents(), time.Now())
		}
	})
	if err != nil || len(expired) == 0 {
		return
	}
	if _, err := c.commit(c.runCtx, crstate.Entry{Kind: crwire.KindMembers, Members: expired, FlowLifetime: c.FlowLifetime}); err != nil {
		return
	}
	for _, m := range expired {
		c.metrics.expiredLeases.Inc()
		c.Logf("removed agent %s: lease expired", m.Name)
	}
}
