package crquorum

import (
	"errors"
	"fmt"
)

// ErrNotLeader is returned for a request that only the leader can handle, also
// during a leadership transfer.
var ErrNotLeader = errors.New("not the leader")

// ErrChangePending is returned while another membership change is uncommitted,
// or before the leader has committed an entry of its term.
var ErrChangePending = errors.New("another membership change is under way")

// Propose appends data to the log and returns the index and term of the entry.
// If the entry committed at that index has another term, the proposal was lost
// and will never be applied.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.phase != phaseLeader || n.transferStartedAt != 0 {
		return 0, 0, ErrNotLeader
	}
	return n.appendEntry(EntryData, data), n.hardState.Term, nil
}

// AddLearner adds an instance as a learner.
func (n *Node) AddLearner(id uint64, addr string) (index, term uint64, err error) {
	if err := n.checkCanChange(); err != nil {
		return 0, 0, err
	}
	m, ok := n.log.config().Members[id]
	if ok && m.Addr != addr {
		return 0, 0, fmt.Errorf("instance %d is a member at %s", id, m.Addr)
	}
	return n.Admit(id, addr, m.Zone)
}

// Admit adds an instance as a learner. A member keeps its role and gets the address
// and the zone: a voter that returns at another address with its disk still has all
// that it has acknowledged, and one with another disk is demoted by adjustRole.
func (n *Node) Admit(id uint64, addr, zone string) (index, term uint64, err error) {
	if err := n.checkCanChange(); err != nil {
		return 0, 0, err
	}
	m, ok := n.log.config().Members[id]
	if ok && m.Addr == addr && m.Zone == zone {
		return n.log.configIndex(), n.hardState.Term, nil
	}
	if !ok {
		m = Member{Role: RoleLearner, Since: n.log.last() + 1}
	}
	m.Addr, m.Zone = addr, zone
	return n.appendConfig(n.log.config().with(id, m))
}

// Promote marks a learner for promotion to voter as soon as it has all committed
// entries.
func (n *Node) Promote(id uint64) (index, term uint64, err error) {
	if err := n.checkCanChange(); err != nil {
		return 0, 0, err
	}
	m, ok := n.log.config().Members[id]
	if !ok {
		return 0, 0, fmt.Errorf("instance %d is not a member", id)
	}
	if m.Role != RoleLearner {
		return n.log.configIndex(), n.hardState.Term, nil
	}
	m.Role = RoleJoining
	return n.appendConfig(n.log.config().with(id, m))
}

// Demote takes the vote from an instance, which stays a learner.
func (n *Node) Demote(id uint64) (index, term uint64, err error) {
	if err := n.checkCanChange(); err != nil {
		return 0, 0, err
	}
	config := n.log.config()
	m, ok := config.Members[id]
	if !ok {
		return 0, 0, fmt.Errorf("instance %d is not a member", id)
	}
	if m.Role == RoleLearner {
		return n.log.configIndex(), n.hardState.Term, nil
	}
	if m.Role == RoleVoter && config.VoterCount() == 1 {
		return 0, 0, fmt.Errorf("instance %d is the last voter", id)
	}
	m.Role, m.Incarnation = RoleLearner, 0
	return n.appendConfig(config.with(id, m))
}

// Remove removes an instance. A leader that removes itself steps down once the
// change is committed.
func (n *Node) Remove(id uint64) (index, term uint64, err error) {
	if err := n.checkCanChange(); err != nil {
		return 0, 0, err
	}
	config := n.log.config()
	m, ok := config.Members[id]
	if !ok {
		return n.log.configIndex(), n.hardState.Term, nil
	}
	if m.Role == RoleVoter && config.VoterCount() == 1 {
		return 0, 0, fmt.Errorf("instance %d is the last voter", id)
	}
	return n.appendConfig(config.without(id))
}

// TransferLeadership asks a voter that has the whole log to become leader. From
// then on this leader rejects proposals.
func (n *Node) TransferLeadership(id uint64) error {
	p := n.peers[id]
	if n.phase != phaseLeader {
		return ErrNotLeader
	}
	if p == nil || !n.log.config().IsVoter(id, p.incarnation) || p.match < n.log.last() {
		return fmt.Errorf("instance %d is not a voter with the whole log", id)
	}
	n.transferStartedAt = n.now
	n.send(Message{Kind: KindTakeover, To: id})
	return nil
}

// checkCanChange returns an error if a membership change can't be appended now.
// The leader must have committed an entry of its term and the previous change.
func (n *Node) checkCanChange() error {
	if n.phase != phaseLeader || n.transferStartedAt != 0 {
		return ErrNotLeader
	}
	if !n.hasCommittedInTerm() || n.log.configIndex() > n.commit {
		return ErrChangePending
	}
	return nil
}

// appendConfig appends a configuration entry, which takes effect at once.
func (n *Node) appendConfig(c Config) (index, term uint64, err error) {
	return n.appendEntry(EntryConfig, c.Encode()), n.hardState.Term, nil
}

// adjustRole demotes a voter that has lost its disk and promotes a joining member
// that has all committed entries, unless another change is pending.
func (n *Node) adjustRole(id uint64) {
	config := n.log.config()
	p, m := n.peers[id], config.Members[id]
	if p == nil || p.incarnation == 0 {
		return
	}
	switch {
	case m.Role == RoleVoter && p.incarnation != m.Incarnation:
		m.Role, m.Incarnation = RoleJoining, p.incarnation
	case m.Role == RoleJoining && p.match >= n.commit:
		m.Role, m.Incarnation = RoleVoter, p.incarnation
	default:
		return
	}
	if n.checkCanChange() == nil {
		_, _, _ = n.appendConfig(config.with(id, m))
	}
}
