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

// Paths of calls between control instances. Calls on these paths are never
// forwarded, so that they can't loop while instances disagree about the leader.
const (
	pathAnnounceBatch = "/leader/announces"
	pathClaimBatch    = "/leader/claims"
	pathSettleBatch   = "/leader/settles"
)

const (
	// leaderWaitTimeout bounds how long a call waits for a leader to be elected.
	// It covers several election timeouts.
	leaderWaitTimeout = 2 * time.Second
	// leaderPollInterval is the time between two checks for a leader.
	leaderPollInterval = 10 * time.Millisecond
)

// waitForLeader waits until a leader is known, at most leaderWaitTimeout, and
// returns the latest status.
func (c *Control) waitForLeader(ctx context.Context) crreplica.Status {
	status := c.replica.Status()
	if status.Leading || status.Address != "" {
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for !status.Leading && status.Address == "" {
		select {
		case <-ticker.C:
			status = c.replica.Status()
		case <-c.runCtx.Done():
			return status
		case <-ctx.Done():
			return status
		}
	}
	return status
}

// runOnLeader calls process if this instance leads, and otherwise forwards the
// items to the leader. It does not retry.
func runOnLeader[T, R any](
	ctx context.Context, c *Control, path string, items []T,
	process func(context.Context, []T) ([]R, error),
) ([]R, error) {
	status := c.waitForLeader(ctx)
	if status.Leading {
		return process(ctx, items)
	}
	if status.Address == "" {
		return nil, &crreplica.NotLeaderError{}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var results []R
	if err := c.client.JSON(ctx, status.Address, path, items, &results); err != nil {
		return nil, errors.Join(&crreplica.NotLeaderError{Leader: status.Address}, err)
	}
	if len(results) != len(items) {
		return nil, fmt.Errorf("the leader returned %d results for %d items", len(results), len(items))
	}
	return results, nil
}

// serveBatch serves a batch of items that another instance forwarded to the leader.
func serveBatch[T, R any](
	c *Control, w http.ResponseWriter, r *http.Request,
	process func(context.Context, []T) ([]R, error),
) {
	var items []T
	if !crnet.ReadJSON(w, r, maxBodyBytes, &items) {
		return
	}
	if !c.replica.Status().Leading {
		c.respond(w, nil, &crreplica.NotLeaderError{Leader: c.replica.Status().Address})
		return
	}
	results, err := process(r.Context(), items)
	c.respond(w, results, err)
}

// respond writes v as JSON, or 503 with the leader's address if err is not nil.
func (c *Control) respond(w http.ResponseWriter, v any, err error) {
	if err == nil {
		crnet.WriteJSON(w, http.StatusOK, v)
		return
	}
	crnet.WriteJSON(w, http.StatusServiceUnavailable, crwire.Unavailable{
		Leader: c.replica.Status().Address, Text: err.Error(),
	})
}
