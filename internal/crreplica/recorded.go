package crreplica

import "context"

// recordWait is an applied proposal whose caller waits until a quorum has recorded that the
// entries up to index are committed.
type recordWait struct {
	index  uint64
	out    outcome
	result chan outcome
}

// ProposeRecorded is Propose, and waits until the disks of a quorum record that the entry is
// committed. What is acknowledged after that is known as accepted by an instance of each
// quorum, also if all of them restart at once. It returns at once when this instance ceases
// to lead: the entry is committed, and the next leader has it, too.
func (r *Replica) ProposeRecorded(ctx context.Context, data []byte) (any, error) {
	return r.propose(ctx, proposal{
		append:   func() (index, term uint64, err error) { return r.node.Propose(data) },
		recorded: true,
	})
}

// unresolved returns the number of proposals whose callers wait.
func (r *Replica) unresolved() int { return len(r.pending) + len(r.recordWaits) }

// resolveRecordWaits returns the results of the applied proposals that are recorded.
func (r *Replica) resolveRecordWaits() {
	if len(r.recordWaits) == 0 {
		return
	}
	if !r.node.Status().Leading {
		r.endRecordWaits()
		return
	}
	recorded := r.node.RecordedCommit()
	waiting := r.recordWaits[:0]
	for _, w := range r.recordWaits {
		if w.index > recorded {
			waiting = append(waiting, w)
			continue
		}
		w.result <- w.out
	}
	r.recordWaits = waiting
}

// endRecordWaits returns the results of all applied proposals.
func (r *Replica) endRecordWaits() {
	for _, w := range r.recordWaits {
		w.result <- w.out
	}
	r.recordWaits = nil
}
