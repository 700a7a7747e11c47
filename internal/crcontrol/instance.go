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

// checkInstance returns what is wrong with the change of an instance.
func checkInstance(in *crwire.Instance) crdoc.Findings {
	var f crdoc.Findings
	if in == nil {
		f.Add("instance", "is missing")
		return f
	}
	if in.ID == 0 {
		f.Add("instance.id", "must be at least 1")
	}
	if in.Op != crwire.OpAdd {
		return f
	}
	if _, _, err := net.SplitHostPort(in.Address); err != nil {
		f.Add("instance.address", "%q: want host:port", in.Address)
	}
	return f
}

// changeInstance carries out the change of an instance once per ID. It
// returns why the log refused it, or an error when the same change may be
// sent again.
func (c *Control) changeInstance(ctx context.Context, change *crwire.Change) (crdoc.Findings, error) {
	answered := false
	if err := c.replica.Do(func() { _, answered = c.state.ChangeResult(change.ID) }); err != nil {
		return nil, err
	}
	if answered {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := c.operate(ctx, change.Instance)
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

// operate hands the change to the replicated log.
func (c *Control) operate(ctx context.Context, in *crwire.Instance) error {
	switch in.Op {
	case crwire.OpAdd:
		return c.replica.AddLearner(ctx, in.ID, in.Address)
	case crwire.OpPromote:
		return c.replica.Promote(ctx, in.ID)
	default:
		return c.replica.Remove(ctx, in.ID)
	}
}
