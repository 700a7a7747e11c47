package crcontrol

import (
	"context"
	"net/http"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// nameMax bounds the texts of a member, a key or an attempt, in bytes.
const nameMax = 512

// serveAnnounce renews an agent's lease.
func (c *Control) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a crwire.Announce
	if !crnet.ReadJSON(w, r, bodyMax, &a) {
		return
	}
	if a.Member.Name == "" || len(a.Member.Name) > nameMax {
		http.Error(w, "member.name: want 1 to 512 bytes", http.StatusBadRequest)
		return
	}
	answer, err := c.announces.do(r.Context(), a.Member)
	c.answer(w, answer, err)
}

// serveAnnounces renews the leases that another instance gathered.
func (c *Control) serveAnnounces(w http.ResponseWriter, r *http.Request) {
	serveBatch(c, w, r, c.renew)
}

// commitMembers renews leases here or at the leader.
func (c *Control) commitMembers(ctx context.Context, members []crwire.Member) ([]crwire.AnnounceResponse, error) {
	return carryOut(ctx, c, pathAnnounces, members, c.renew)
}

// renew renews leases as the leader. Only what changes goes through the log.
func (c *Control) renew(ctx context.Context, members []crwire.Member) ([]crwire.AnnounceResponse, error) {
	var changed []crwire.Member
	err := c.replica.Do(func() {
		now := time.Now()
		for _, m := range members {
			if !c.state.HasMember(m) {
				changed = append(changed, m)
			} else if m.State != crwire.MemberGone {
				c.leases.Renew(m.Name, now)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	c.metrics.renewals.Add(float64(len(members)))
	if len(changed) > 0 {
		if _, err := c.commit(ctx, crstate.Entry{Kind: crwire.KindMembers, Members: changed}); err != nil {
			return nil, err
		}
		for _, m := range changed {
			c.Logf("agent %s of %s is %s", m.Name, m.Service, m.State)
		}
	}
	return c.announced(members)
}

// announced answers announcements from the state.
func (c *Control) announced(members []crwire.Member) ([]crwire.AnnounceResponse, error) {
	out := make([]crwire.AnnounceResponse, len(members))
	err := c.replica.Do(func() {
		for i, m := range members {
			out[i] = crwire.AnnounceResponse{
				Num:         c.state.AgentNumber(m.Name),
				LeaseMillis: c.leases.Duration.Milliseconds(),
				Revision:    c.state.Revision(),
			}
		}
	})
	return out, err
}

// expire removes agents whose lease has ended. The log takes it only if this
// instance still leads; until then the members stay.
func (c *Control) expire() {
	var gone []crwire.Member
	err := c.replica.Do(func() {
		if s := c.replica.Status(); s.Leading && s.Fresh {
			gone = c.leases.Expired(c.state.Agents(), time.Now())
		}
	})
	if err != nil || len(gone) == 0 {
		return
	}
	if _, err := c.commit(c.life, crstate.Entry{Kind: crwire.KindMembers, Members: gone}); err != nil {
		return
	}
	for _, m := range gone {
		c.metrics.expired.Inc()
		c.Logf("agent %s has not renewed its lease", m.Name)
	}
}
