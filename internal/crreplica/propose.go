package crreplica

import (
	"context"
	"errors"

	"cardamomring.dev/internal/crquorum"
)

// proposal is a request to append one entry.
type proposal struct {
	// append appends the entry to the log. It is called in the loop.
	append func() (index, term uint64, err error)
	// recorded is set if the result waits until a quorum has recorded the commit.
	recorded bool
	result   chan outcome
}

// outcome is the result of a proposal.
type outcome struct {
	value any
	err   error
}

// pendingProposal is a proposal whose entry has been appended in term and is not
// applied yet.
type pendingProposal struct {
	term     uint64
	recorded bool
	result   chan outcome
}

// Propose appends data to the log, waits until the entry is committed and applied,
// and returns the result of Apply. Its errors are ErrStopped, ErrNoQuorum and
// *NotLeaderError.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.propose(ctx, proposal{append: func() (index, term uint64, err error) { return r.node.Propose(data) }})
}

// AddLearner adds an instance that receives the log and has no vote. It does
// nothing if the instance is already a member with this address.
func (r *Replica) AddLearner(ctx context.Context, id uint64, addr string) error {
	_, err := r.propose(ctx, proposal{append: func() (index, term uint64, err error) { return r.node.AddLearner(id, addr) }})
	return err
}

// Promote marks a learner for promotion to voter as soon as it has all committed
// entries.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	_, err := r.propose(ctx, proposal{append: func() (index, term uint64, err error) { return r.node.Promote(id) }})
	return err
}

// Admit adds an instance as a learner. A member keeps its role and gets the address
// and the zone.
func (r *Replica) Admit(ctx context.Context, id uint64, addr, zone string) error {
	_, err := r.propose(ctx, proposal{append: func() (index, term uint64, err error) { return r.node.Admit(id, addr, zone) }})
	return err
}

// ChangeMembers calls change in the replica's goroutine and waits until the entry that
// it appended is applied. An index of 0 means that it appended none.
func (r *Replica) ChangeMembers(ctx context.Context, change func(n *crquorum.Node) (index, term uint64, err error)) error {
	_, err := r.propose(ctx, proposal{append: func() (index, term uint64, err error) { return change(r.node) }})
	return err
}

// Remove removes an instance from the cluster.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	_, err := r.propose(ctx, proposal{append: func() (index, term uint64, err error) { return r.node.Remove(id) }})
	return err
}

// propose calls p.append in the loop and waits until the entry is applied.
func (r *Replica) propose(ctx context.Context, p proposal) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p.result = make(chan outcome, 1)
	if ctx.Err() != nil {
		// The caller has left. The select below takes any case that is ready.
		return nil, ErrNoQuorum
	}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, ErrNoQuorum
	case <-r.ctx.Done():
		return nil, ErrStopped
	}
	select {
	case out := <-p.result:
		return out.value, out.err
	case <-ctx.Done():
		return nil, ErrNoQuorum
	case <-r.stopped:
		return p.finalResult()
	}
}

// finalResult returns the outcome of a proposal after the replica has stopped:
// ErrStopped if it wasn't resolved before.
func (p proposal) finalResult() (any, error) {
	select {
	case out := <-p.result:
		return out.value, out.err
	default:
		return nil, ErrStopped
	}
}

// appendProposal appends the entry of a proposal. It resolves the proposal at once
// if that fails or if there is nothing to wait for.
func (r *Replica) appendProposal(p proposal) {
	r.metrics.proposals.Inc()
	index, term, err := p.append()
	switch {
	case errors.Is(err, crquorum.ErrNotLeader):
		err = &NotLeaderError{Leader: r.otherLeaderAddr()}
	case err == nil && index > r.node.Status().Applied:
		r.pending[index] = pendingProposal{term: term, recorded: p.recorded, result: p.result}
		return
	}
	p.result <- outcome{err: err}
}

// otherLeaderAddr returns the host:port of the leader, empty if it is unknown or
// this instance.
func (r *Replica) otherLeaderAddr() string {
	leader := r.node.Status().Leader
	if leader == r.Settings.ID {
		return ""
	}
	return r.memberAddr(leader)
}

// resolveProposal returns the result of an applied entry to its proposer. If the
// entry at the proposal's index has another term, the proposal was lost and will
// never be committed.
func (r *Replica) resolveProposal(e crquorum.Entry, value any) {
	p, ok := r.pending[e.Index]
	if !ok {
		return
	}
	delete(r.pending, e.Index)
	if p.term != e.Term {
		p.result <- outcome{err: &NotLeaderError{Leader: r.otherLeaderAddr()}}
		return
	}
	if p.recorded {
		r.recordWaits = append(r.recordWaits, recordWait{index: e.Index, out: outcome{value: value}, result: p.result})
		return
	}
	p.result <- outcome{value: value}
}

// failProposals resolves the pending proposals up to index with ErrNoQuorum. Their
// entries are covered by a snapshot from the leader, so it is unknown whether
// they were committed.
func (r *Replica) failProposals(index uint64) {
	for i, p := range r.pending {
		if i <= index {
			delete(r.pending, i)
			p.result <- outcome{err: ErrNoQuorum}
		}
	}
}
