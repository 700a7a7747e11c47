package crreplica

import (
	"context"
	"errors"

	"cardamomring.dev/internal/crquorum"
)

// proposal is a call that appends one entry.
type proposal struct {
	// append appends the entry; it runs in the loop.
	append func() (index, term uint64, err error)
	result chan outcome
}

// outcome is the answer to a proposal.
type outcome struct {
	value any
	err   error
}

// waiter waits for the entry of a term to be applied.
type waiter struct {
	term   uint64
	result chan outcome
}

// Propose appends data to the log and returns what Apply returned once it is
// committed. Its errors are ErrStopped, ErrNoQuorum and *NotLeaderError.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.propose(ctx, func() (index, term uint64, err error) { return r.node.Propose(data) })
}

// AddLearner admits an instance that receives the log and has no vote. An
// instance that is a member at this address already is left as it is.
func (r *Replica) AddLearner(ctx context.Context, id uint64, addr string) error {
	_, err := r.propose(ctx, func() (index, term uint64, err error) { return r.node.AddLearner(id, addr) })
	return err
}

// Promote makes a learner a voter as soon as it holds the log.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	_, err := r.propose(ctx, func() (index, term uint64, err error) { return r.node.Promote(id) })
	return err
}

// Remove takes an instance out of the group.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	_, err := r.propose(ctx, func() (index, term uint64, err error) { return r.node.Remove(id) })
	return err
}

// propose appends an entry in the loop and waits until it is applied.
func (r *Replica) propose(ctx context.Context, add func() (index, term uint64, err error)) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeDefault)
	defer cancel()
	p := proposal{append: add, result: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, ErrNoQuorum
	case <-r.life.Done():
		return nil, ErrStopped
	}
	select {
	case out := <-p.result:
		return out.value, out.err
	case <-ctx.Done():
		return nil, ErrNoQuorum
	case <-r.ended:
		return p.last()
	}
}

// last returns the answer of a proposal to a replica that has stopped.
func (p proposal) last() (any, error) {
	select {
	case out := <-p.result:
		return out.value, out.err
	default:
		return nil, ErrStopped
	}
}

// accept appends a proposal's entry.
func (r *Replica) accept(p proposal) {
	r.metrics.proposals.Inc()
	index, term, err := p.append()
	switch {
	case errors.Is(err, crquorum.ErrNotLeader):
		err = &NotLeaderError{Leader: r.otherLeader()}
	case err == nil && index > r.node.Status().Applied:
		r.waiting[index] = waiter{term: term, result: p.result}
		return
	}
	p.result <- outcome{err: err}
}

// otherLeader returns the leader's host:port, empty when it is unknown or this
// instance.
func (r *Replica) otherLeader() string {
	leader := r.node.Status().Leader
	if leader == r.Settings.ID {
		return ""
	}
	return r.address(leader)
}

// answer tells the proposer of an entry what became of it. Another term's
// entry at its index means that the proposal can never be committed.
func (r *Replica) answer(e crquorum.Entry, value any) {
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.result <- outcome{err: &NotLeaderError{Leader: r.otherLeader()}}
		return
	}
	w.result <- outcome{value: value}
}

// giveUp answers the proposals up to an index whose entries came inside a
// snapshot: what became of them is unknown.
func (r *Replica) giveUp(index uint64) {
	for i, w := range r.waiting {
		if i <= index {
			delete(r.waiting, i)
			w.result <- outcome{err: ErrNoQuorum}
		}
	}
}
