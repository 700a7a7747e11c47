package crquorum

// applyMax bounds the entries that one Take hands out for applying.
const applyMax = 4096

// Pending says whether Take has something to carry out.
func (n *Node) Pending() bool {
	return len(n.early) > 0 || len(n.late) > 0 || n.hardChanged || n.restored ||
		n.log.handed < n.log.last() || n.applied < n.commit
}

// Take returns what is to be carried out. The driver syncs it and calls Synced
// before it steps anything else.
func (n *Node) Take() Effects {
	if n.phase == leading {
		n.broadcast(false)
	}
	e := Effects{BeforeSync: n.early, AfterSync: n.late}
	n.early, n.late = nil, nil
	if n.restored {
		snap := n.log.snap
		e.Snapshot = &snap
		n.restored, n.hardChanged = false, true
		n.applied = snap.Index
	}
	if n.hardChanged {
		hard := n.hard
		e.HardState = &hard
		n.hardChanged = false
	}
	last := n.log.last()
	e.Entries = n.log.between(n.log.handed, last)
	n.log.handed = last
	hi := min(n.commit, n.applied+applyMax)
	e.Committed = n.log.between(n.applied, hi)
	n.applied = hi
	n.syncing = syncing{term: n.hard.Term, last: last, vote: n.phase == standing}
	return e
}

// Synced says that what Take returned is on disk. Only now do the instance's
// own vote and its own copy of entries count.
func (n *Node) Synced() {
	s := n.syncing
	if s.term != n.hard.Term {
		return
	}
	switch {
	case n.phase == standing && s.vote:
		n.count(n.ID, n.Incarnation, true)
	case n.phase == leading:
		n.synced = max(n.synced, s.last)
		n.advance()
	}
}

// Compact replaces the applied entries by a snapshot of the state after them
// and keeps some for followers that are a little behind. It returns the
// snapshot and the entries that stay, for the disk.
func (n *Node) Compact(data []byte, keep uint64) (HardState, Snapshot, []Entry) {
	n.log.compact(n.applied, data, keep)
	return n.hard, n.log.snap, n.log.between(n.log.base, n.log.handed)
}
