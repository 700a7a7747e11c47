package crcontrol

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crwire"
)

// Paths between control instances. A call on them is never passed on, so
// that a call can't loop while instances disagree about the leader.
const (
	pathAnnounces = "/leader/announces"
	pathClaims    = "/leader/claims"
	pathSettles   = "/leader/settles"
)

const (
	// leaderWait is how long a call waits for an election to end. It covers
	// several election timeouts.
	leaderWait = 2 * time.Second
	// leaderPoll is how often a waiting call looks for a leader.
	leaderPoll = 10 * time.Millisecond
)

// awaitLeader returns the status once a leader is known, or the last status
// after leaderWait.
func (c *Control) awaitLeader(ctx context.Context) crreplica.Status {
	status := c.replica.Status()
	if status.Leading || status.Address != "" {
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	tick := time.NewTicker(leaderPoll)
	defer tick.Stop()
	for !status.Leading && status.Address == "" {
		select {
		case <-tick.C:
			status = c.replica.Status()
		case <-c.life.Done():
			return status
		case <-ctx.Done():
			return status
		}
	}
	return status
}

// carryOut runs items here when this instance leads, and otherwise hands
// them to the leader once.
func carryOut[T, R any](
	ctx context.Context, c *Control, path string, items []T,
	lead func(context.Context, []T) ([]R, error),
) ([]R, error) {
	status := c.awaitLeader(ctx)
	if status.Leading {
		return lead(ctx, items)
	}
	if status.Address == "" {
		return nil, &crreplica.NotLeaderError{}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var out []R
	if err := c.client.JSON(ctx, status.Address, path, items, &out); err != nil {
		return nil, errors.Join(&crreplica.NotLeaderError{Leader: status.Address}, err)
	}
	if len(out) != len(items) {
		return nil, fmt.Errorf("the leader answered %d of %d items", len(out), len(items))
	}
	return out, nil
}

// serveBatch runs items that another instance handed over.
func serveBatch[T, R any](
	c *Control, w http.ResponseWriter, r *http.Request,
	lead func(context.Context, []T) ([]R, error),
) {
	var items []T
	if !crnet.ReadJSON(w, r, bodyMax, &items) {
		return
	}
	if !c.replica.Status().Leading {
		c.answer(w, nil, &crreplica.NotLeaderError{Leader: c.replica.Status().Address})
		return
	}
	out, err := lead(r.Context(), items)
	c.answer(w, out, err)
}

// answer writes a value, or 503 with the leader's address.
func (c *Control) answer(w http.ResponseWriter, v any, err error) {
	if err == nil {
		crnet.WriteJSON(w, http.StatusOK, v)
		return
	}
	crnet.WriteJSON(w, http.StatusServiceUnavailable, crwire.Unavailable{
		Leader: c.replica.Status().Address, Text: err.Error(),
	})
}
