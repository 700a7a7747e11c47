package crcontrol

import (
	"context"
	"net/http"
	"time"

	"cardamomring.dev/internal/crclock"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crwire"
)

// pathResign is the path on which an instance gives up its vote before a planned stop.
// A request is never forwarded.
const pathResign = "/leader/resignations"

const (
	// resignTimeout bounds how long a planned stop waits until another instance votes
	// in place of this one.
	resignTimeout = time.Second
	// resignInterval is the time between two requests. It is longer than a transfer of
	// the leadership usually takes.
	resignInterval = 20 * time.Millisecond
)

// resign gives up the vote of this instance before it stops, if the others suffice for
// FaultTolerance. The machine may be gone for good, and until the leader could tell, it
// would count towards the quorum. A vote that the others need is kept: most stops are
// restarts.
func (c *Control) resign() {
	if c.Settings.Replica.Address == "" {
		return
	}
	c.resigning.Store(true)
	ctx, cancel := context.WithTimeout(c.runCtx, resignTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status := c.replica.Status()
		if _, voting := status.Voters[status.ID]; !voting {
			return
		}
		resp, err := c.requestResignation(ctx, status)
		if err == nil && (!resp.Voting || resp.Needed) {
			c.Logf("resigned before the stop: voting %t, vote is needed %t", resp.Voting, resp.Needed)
			return
		}
		crnet.Pause(ctx, resignInterval)
	}
	c.Logf("failed to resign within %s; stopping with a vote", resignTimeout)
}

// requestResignation tells the leader that this instance stops.
func (c *Control) requestResignation(ctx context.Context, status crreplica.Status) (resp crwire.ResignResponse, err error) {
	switch {
	case status.Leading:
		return c.acceptResignation(ctx, status.ID)
	case status.Address == "":
		return resp, &crreplica.NotLeaderError{}
	}
	err = c.client.JSON(ctx, status.Address, pathResign, crwire.Resign{ID: status.ID}, &resp)
	return resp, err
}

// serveResign accepts the resignation of an instance if this one leads.
func (c *Control) serveResign(w http.ResponseWriter, r *http.Request) {
	var req crwire.Resign
	if !crnet.ReadJSON(w, r, maxBodyBytes, &req) {
		return
	}
	if status := c.replica.Status(); !status.Leading {
		c.respond(w, nil, &crreplica.NotLeaderError{Leader: status.Address})
		return
	}
	resp, err := c.acceptResignation(r.Context(), req.ID)
	c.respond(w, resp, err)
}

// acceptResignation takes the vote from an instance that stops, or begins to find it a
// replacement.
func (c *Control) acceptResignation(ctx context.Context, id uint64) (resp crwire.ResignResponse, err error) {
	if err := c.replica.Do(func() { c.resignedAt[id] = crclock.Now() }); err != nil {
		return resp, err
	}
	if err := retryPending(ctx, func() error { return c.adjustVoters(ctx) }); err != nil {
		return resp, err
	}
	err = c.replica.Do(func() {
		group := c.voterGroup(c.replica.Status().Members)
		resp = crwire.ResignResponse{Voting: group.Votes(id), Needed: !group.Replaceable(id)}
	})
	return resp, err
}
