package crreplica

import (
	"time"

	"cardamomring.dev/internal/crquorum"
)

// TimeSinceContact returns for each member the time since this leader sent the
// newest message that the member has responded to. The map is empty if this
// instance isn't the leader. It must be called in the replica's goroutine.
func (r *Replica) TimeSinceContact() map[uint64]time.Duration {
	out := map[uint64]time.Duration{}
	for id, ticks := range r.node.TicksSinceContact() {
		out[id] = time.Duration(ticks) * r.TickInterval
	}
	return out
}

// PersistedState returns the snapshot and the data of the entries after it, as
// loaded by Open. The last entries may be uncommitted. Call it before Run.
func (r *Replica) PersistedState() (snap []byte, entries [][]byte) {
	s, list := r.node.SnapshotAndEntries()
	for _, e := range list {
		if e.Kind == crquorum.EntryData {
			entries = append(entries, e.Data)
		}
	}
	return s.Data, entries
}
