package crcontrol

import (
	"context"
	"errors"
	"net"

	"cardamomring.dev/internal/crquorum"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// checkInstance returns the errors in a change of the group's membership.
func checkInstance(in *crwire.Instance) crdoc.Findings {
	var findings crdoc.Findings
	if in == nil {
		findings.Add("instance", "is missing")
		return findings
	}
	if in.ID == 0 {
		findings.Add("instance.id", "must be at least 1")
	}
	if in.Op != crwire.OpAdd {
		return findings
	}
	if _, _, err := net.SplitHostPort(in.Address); err != nil {
		findings.Add("instance.address", "%q: want host:port", in.Address)
	}
	return findings
}

// changeInstance applies a membership change once per change ID. It returns
// findings if the change was rejected, or an error if the caller may retry the same
// change.
func (c *Control) changeInstance(ctx context.Context, change *crwire.Change) (crdoc.Findings, error) {
	alreadyApplied := false
	if err := c.replica.Do(func() { _, alreadyApplied = c.state.ChangeResult(change.ID) }); err != nil {
		return nil, err
	}
	if alreadyApplied {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := c.changeMembership(ctx, change.Instance)
	var notLeader *crreplica.NotLeaderError
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &notLeader), errors.Is(err, crreplica.ErrNoQuorum),
		errors.Is(err, crreplica.ErrStopped), errors.Is(err, crquorum.ErrChangePending):
		return nil, err
	default:
		return crdoc.Findings{{Place: "instance", Text: err.Error()}}, nil
	}
}

// changeMembership applies the change to the membership of the replicated log.
func (c *Control) changeMembership(ctx context.Context, in *crwire.Instance) error {
	switch in.Op {
	case crwire.OpAdd:
		return c.replica.AddLearner(ctx, in.ID, in.Address)
	case crwire.OpPromote:
		return c.replica.Promote(ctx, in.ID)
	default:
		return c.replica.Remove(ctx, in.ID)
	}
}
