package crquorum

import (
	"errors"
	"fmt"
)

// ErrNotLeader says that this instance can't append.
var ErrNotLeader = errors.New("not the leader")

// ErrChangePending says that another membership change is not committed yet.
var ErrChangePending = errors.New("another membership change is under way")

// Propose appends data to the log; the entry is applied once committed. When
// another entry is applied at the index instead, the proposal is void.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.phase != leading || n.handover != 0 {
		return 0, 0, ErrNotLeader
	}
	return n.add(EntryData, data), n.hard.Term, nil
}

// AddLearner admits an instance that only receives the log.
func (n *Node) AddLearner(id uint64, addr string) (index, term uint64, err error) {
	if err := n.mayChange(); err != nil {
		return 0, 0, err
	}
	if m, ok := n.log.config().Members[id]; ok {
		if m.Addr == addr {
			return n.log.configIndex(), n.hard.Term, nil
		}
		return 0, 0, fmt.Errorf("instance %d is a member at %s", id, m.Addr)
	}
	return n.change(n.log.config().with(id, Member{Addr: addr, Role: RoleLearner}))
}

// Promote makes a learner a voter as soon as it holds the log.
func (n *Node) Promote(id uint64) (index, term uint64, err error) {
	if err := n.mayChange(); err != nil {
		return 0, 0, err
	}
	m, ok := n.log.config().Members[id]
	if !ok {
		return 0, 0, fmt.Errorf("instance %d is not a member", id)
	}
	if m.Role != RoleLearner {
		return n.log.configIndex(), n.hard.Term, nil
	}
	m.Role = RoleJoining
	return n.change(n.log.config().with(id, m))
}

// Remove takes an instance out; a leader that removes itself steps down once
// that is committed.
func (n *Node) Remove(id uint64) (index, term uint64, err error) {
	if err := n.mayChange(); err != nil {
		return 0, 0, err
	}
	config := n.log.config()
	m, ok := config.Members[id]
	if !ok {
		return n.log.configIndex(), n.hard.Term, nil
	}
	if m.Role == RoleVoter && config.VoterCount() == 1 {
		return 0, 0, fmt.Errorf("instance %d is the last voter", id)
	}
	return n.change(config.without(id))
}

// TransferLeadership asks a voter that holds the whole log to take over. This leader
// accepts no more proposals in its term.
func (n *Node) TransferLeadership(id uint64) error {
	p := n.peers[id]
	if n.phase != leading {
		return ErrNotLeader
	}
	if p == nil || !n.log.config().IsVoter(id, p.life) || p.match < n.log.last() {
		return fmt.Errorf("instance %d doesn't hold the whole log or has no vote", id)
	}
	n.handover = n.now
	n.send(Message{Kind: KindTakeover, To: id})
	return nil
}

// mayChange says why a membership change can't be appended now: a leader
// first commits an entry of its term, and only one change is under way.
func (n *Node) mayChange() error {
	if n.phase != leading || n.handover != 0 {
		return ErrNotLeader
	}
	if !n.ownCommitted() || n.log.configIndex() > n.commit {
		return ErrChangePending
	}
	return nil
}

// change appends a configuration, which takes effect at once.
func (n *Node) change(c Config) (index, term uint64, err error) {
	return n.add(EntryConfig, c.Encode()), n.hard.Term, nil
}

// repair demotes a voter whose disk was lost, or promotes an instance that
// holds every committed entry, unless another change is under way.
func (n *Node) repair(id uint64) {
	config := n.log.config()
	p, m := n.peers[id], config.Members[id]
	if p == nil || p.life == 0 {
		return
	}
	switch {
	case m.Role == RoleVoter && p.life != m.Incarnation:
		m.Role, m.Incarnation = RoleJoining, p.life
	case m.Role == RoleJoining && p.match >= n.commit:
		m.Role, m.Incarnation = RoleVoter, p.life
	default:
		return
	}
	if n.mayChange() == nil {
		_, _, _ = n.change(config.with(id, m))
	}
}
