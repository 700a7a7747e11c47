package crreplica

import "time"

// Contact is what the leader knows about the connection to a member.
type Contact struct {
	// Silence is the time since this leader sent the newest message that the member has
	// responded to, limited to the time that it leads and has known the member.
	Silence time.Duration
	// Answered is set if the member has responded to this leader, or was added by it.
	Answered bool
}

// Contacts returns the contact to each member. The map is empty if this instance isn't
// the leader. It must be called in the replica's goroutine.
func (r *Replica) Contacts() map[uint64]Contact {
	out := map[uint64]Contact{}
	for id, c := range r.node.Contacts() {
		out[id] = Contact{Silence: time.Duration(c.Silence) * r.TickInterval, Answered: c.Answered}
	}
	return out
}
