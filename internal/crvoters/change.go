package crvoters

import (
	"fmt"

	"cardamomring.dev/internal/crquorum"
)

// Op is the kind of a Change.
type Op int

const (
	// OpNone changes nothing.
	OpNone Op = iota
	// OpPromote gives the instance a vote as soon as it has all committed entries.
	OpPromote
	// OpDemote takes the vote from the instance, which stays a learner.
	OpDemote
	// OpRemove removes an instance that has no vote.
	OpRemove
)

// Change is one change of the members.
type Change struct {
	Op Op
	// ID is the instance, 0 for OpNone.
	ID uint64
}

// Append appends the change to the leader's log. The index is 0 for OpNone.
func (c Change) Append(n *crquorum.Node) (index, term uint64, err error) {
	switch c.Op {
	case OpNone:
		return 0, 0, nil
	case OpPromote:
		return n.Promote(c.ID)
	case OpDemote:
		return n.Demote(c.ID)
	case OpRemove:
		return n.Remove(c.ID)
	}
	return 0, 0, fmt.Errorf("unknown change of the members: %s", c.Op)
}
