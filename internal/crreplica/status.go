package crreplica

import (
	"time"

	"cardamomring.dev/internal/crclock"
	"cardamomring.dev/internal/crquorum"
)

// Status is what a replica knows of itself.
type Status struct {
	// ID is the instance's number.
	ID uint64 `json:"id"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Leader is the leader's ID, 0 when unknown.
	Leader uint64 `json:"leader"`
	// Address is the leader's host:port, empty when unknown.
	Address string `json:"address"`
	// Leading says that this instance is the leader.
	Leading bool `json:"leading"`
	// Voting says that this instance has a vote with the disk that it has;
	// false until a lost disk is repaired.
	Voting bool `json:"voting"`
	// Fresh says that this instance has lately had proof that it holds what
	// is in force: as leader from a quorum, otherwise from the leader.
	Fresh bool `json:"fresh"`
	// Commit is the index of the last committed entry.
	Commit uint64 `json:"commit"`
	// Voters maps each voting instance to its host:port.
	Voters map[uint64]string `json:"voters"`
	// Members are all instances, learners included.
	Members map[uint64]crquorum.Member `json:"members"`
}

// shown is the status that other goroutines see.
type shown struct {
	status Status
	// until is when the status stops being fresh, by crclock.
	until time.Duration
}

// Status returns what the replica knows of itself. Fresh is judged at the time
// of the call, so that it is false in a process that was stopped for long.
func (r *Replica) Status() Status {
	s := r.shown.Load()
	if s == nil {
		return Status{ID: r.Settings.ID}
	}
	status := s.status
	status.Fresh = crclock.Now() < s.until
	return status
}

// show publishes the status and reports a change of it.
func (r *Replica) show() {
	now := r.node.Status()
	status := Status{
		ID: r.Settings.ID, Term: now.Term, Leader: now.Leader, Address: r.address(now.Leader),
		Leading: now.Leading, Voting: now.Voting, Commit: now.Commit, Voters: map[uint64]string{}, Members: now.Config.Members,
	}
	for id, m := range now.Config.Members {
		if m.Role == crquorum.RoleVoter {
			status.Voters[id] = m.Addr
		}
	}
	until := r.freshUntil()
	status.Fresh = crclock.Now() < until
	old := r.shown.Swap(&shown{status: status, until: until})
	r.metrics.show(status)
	if old == nil || old.status.Leader != now.Leader || old.status.Leading != now.Leading ||
		old.status.Fresh != status.Fresh {
		r.StatusChanged(status)
	}
}

// freshUntil converts the node's lease to time.
func (r *Replica) freshUntil() time.Duration {
	until, now := r.node.FreshUntil(), r.node.Now()
	if until <= now {
		return 0
	}
	return r.ticked + time.Duration(until-now)*r.TickInterval
}

// address returns an instance's host:port, empty when unknown.
func (r *Replica) address(id uint64) string {
	if m, ok := r.node.Status().Config.Members[id]; ok && m.Addr != "" {
		return m.Addr
	}
	if addr, ok := r.learnt[id]; ok {
		return addr
	}
	return r.Settings.Members[id]
}
