package crcontrol

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cardamomring.dev/internal/crclock"
	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crvoters"
)

const (
	// voterCheckInterval is the time between two checks whether the right instances
	// vote.
	voterCheckInterval = 100 * time.Millisecond
	// resignationTime is how long a resignation lasts. It covers the stop of the
	// process. An instance that is admitted again has its vote back earlier.
	resignationTime = 10 * time.Second
)

// voterLoop checks which instances vote until the instance stops.
func (c *Control) voterLoop() {
	ticker := time.NewTicker(voterCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.checkVoters()
		case <-c.runCtx.Done():
			return
		}
	}
}

// checkVoters changes the voters if this instance leads.
func (c *Control) checkVoters() {
	if !c.replica.Status().Leading {
		return
	}
	ctx, cancel := context.WithTimeout(c.runCtx, commitTimeout)
	defer cancel()
	err := c.adjustVoters(ctx)
	var notLeader *crreplica.NotLeaderError
	if err == nil || c.runCtx.Err() != nil || errors.Is(err, crquorum.ErrChangePending) || errors.As(err, &notLeader) {
		return
	}
	c.Logf("failed to change the voters: %v", err)
}

// adjustVoters carries out the next change of the voters, if there is one, and waits
// until it is committed. Without contact with the quorum it changes nothing.
func (c *Control) adjustVoters(ctx context.Context) error {
	return c.replica.ChangeMembers(ctx, func(n *crquorum.Node) (index, term uint64, err error) {
		if !n.Status().Leading || n.FreshUntil() <= n.Now() {
			return 0, 0, nil
		}
		group := c.voterGroup(n.Status().Config.Members)
		change := group.Next()
		if change.Op == crvoters.OpDemote && change.ID == c.Settings.Replica.ID {
			c.handOver(n, group)
			return 0, 0, nil
		}
		index, term, err = change.Append(n)
		if err == nil && change.Op != crvoters.OpNone {
			c.metrics.memberChanges.WithLabelValues(change.Op.String()).Inc()
			c.Logf("changing the voters: %s instance %d, no contact for %s, resigned %t; voters so far: %v", change.Op, change.ID,
				group.Silence[change.ID], group.Stopping[change.ID], slices.Sorted(maps.Keys(c.replica.Status().Voters)))
		}
		return index, term, err
	})
}

// voterGroup returns what this leader knows about the members. It runs in the replica's
// goroutine.
func (c *Control) voterGroup(members map[uint64]crquorum.Member) *crvoters.Group {
	group := &crvoters.Group{
		Config: crquorum.Config{Members: members}, Silence: map[uint64]time.Duration{}, Answered: map[uint64]bool{},
		Stopping: map[uint64]bool{}, FaultTolerance: c.FaultTolerance,
	}
	for id, contact := range c.replica.Contacts() {
		group.Silence[id], group.Answered[id] = contact.Silence, contact.Answered
	}
	for id, at := range c.resignedAt {
		if crclock.Now()-at > resignationTime {
			delete(c.resignedAt, id)
			continue
		}
		group.Stopping[id] = true
	}
	return group
}

// handOver transfers the leadership of an instance that should not vote any more. The
// new leader takes the vote from it, so that the group is never without a leader for an
// election timeout. Successors that lack the newest entries have them at a later check.
func (c *Control) handOver(n *crquorum.Node, group *crvoters.Group) {
	for _, id := range group.Successors(c.Settings.Replica.ID) {
		if n.TransferLeadership(id) == nil {
			c.Logf("transferring leadership to instance %d, which votes in place of this one", id)
			return
		}
	}
}
