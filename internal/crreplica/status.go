package crreplica

import (
	"slices"
	"time"

	"cardamomring.dev/internal/crclock"
	"cardamomring.dev/internal/crquorum"
)

// Status is the state of a replica.
type Status struct {
	// ID is the ID of the instance.
	ID uint64 `json:"id"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Leader is the leader's ID, 0 when unknown.
	Leader uint64 `json:"leader"`
	// Address is the leader's host:port, empty when unknown.
	Address string `json:"address"`
	// Leading is set if this instance is the leader.
	Leading bool `json:"leading"`
	// Voting is set if this instance is a voter with its present disk. After
	// a disk loss it is false until the instance has been promoted again.
	Voting bool `json:"voting"`
	// Fresh is set while this instance may serve its state as current: on the
	// leader during its lease, on a follower for the lease duration after the
	// follower was last known to be up to date with the leader.
	Fresh bool `json:"fresh"`
	// Commit is the index of the last committed entry.
	Commit uint64 `json:"commit"`
	// Voters maps the ID of each voter to its host:port.
	Voters map[uint64]string `json:"voters"`
	// Members maps the ID of each member, including learners, to its entry in
	// the configuration.
	Members map[uint64]crquorum.Member `json:"members"`
	// AcceptedAddrs lists the host:port of each member of the latest committed
	// configuration, sorted. AcceptedIndex is the index of its entry, 0 for none.
	AcceptedAddrs []string `json:"-"`
	AcceptedIndex uint64   `json:"-"`
}

// publishedStatus is the status that other goroutines read.
type publishedStatus struct {
	status Status
	// freshUntil is the crclock time until which the status is fresh.
	freshUntil time.Duration
}

// Status returns the state of the replica. Fresh is evaluated at the time of the
// call, so that it is false if the process was paused beyond the end of the lease.
func (r *Replica) Status() Status {
	s := r.published.Load()
	if s == nil {
		return Status{ID: r.Settings.ID}
	}
	status := s.status
	status.Fresh = crclock.Now() < s.freshUntil
	return status
}

// publishStatus updates the published status and the metrics and calls
// StatusChanged if needed.
func (r *Replica) publishStatus() {
	now := r.node.Status()
	status := Status{
		ID: r.Settings.ID, Term: now.Term, Leader: now.Leader, Address: r.memberAddr(now.Leader),
		Leading: now.Leading, Voting: now.Voting, Commit: now.Commit, Voters: map[uint64]string{}, Members: now.Config.Members,
	}
	for id, m := range now.Config.Members {
		if m.Role == crquorum.RoleVoter {
			status.Voters[id] = m.Addr
		}
	}
	status.AcceptedIndex = now.AcceptedIndex
	status.AcceptedAddrs = r.acceptedAddrs(now)
	until := r.freshUntil()
	status.Fresh = crclock.Now() < until
	old := r.published.Swap(&publishedStatus{status: status, freshUntil: until})
	r.metrics.setStatus(status)
	if old == nil || old.status.Leader != now.Leader || old.status.Leading != now.Leading ||
		old.status.Fresh != status.Fresh || old.status.AcceptedIndex != status.AcceptedIndex {
		r.StatusChanged(status)
	}
}

// acceptedAddrs returns the sorted addresses of the latest committed configuration.
func (r *Replica) acceptedAddrs(now crquorum.Status) []string {
	if old := r.published.Load(); old != nil && old.status.AcceptedIndex == now.AcceptedIndex {
		return old.status.AcceptedAddrs
	}
	var addrs []string
	for _, m := range now.Accepted.Members {
		addrs = append(addrs, m.Addr)
	}
	slices.Sort(addrs)
	return addrs
}

// freshUntil returns the node's FreshUntil as crclock time, 0 if it has passed.
func (r *Replica) freshUntil() time.Duration {
	until, now := r.node.FreshUntil(), r.node.Now()
	if until <= now {
		return 0
	}
	return r.lastTick + time.Duration(until-now)*r.TickInterval
}

// memberAddr returns the host:port of an instance, empty when unknown. The
// configuration takes precedence over received batches, and these over the
// settings.
func (r *Replica) memberAddr(id uint64) string {
	if m, ok := r.node.Status().Config.Members[id]; ok && m.Addr != "" {
		return m.Addr
	}
	if addr, ok := r.learnedAddrs[id]; ok {
		return addr
	}
	return r.Settings.Members[id]
}
