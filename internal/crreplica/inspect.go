package crreplica

import (
	"time"

	"cardamomring.dev/internal/crquorum"
)

// TimeSinceContact returns how long ago each other member last answered this leader, nil
// when it doesn't lead. It must be called in the replica's goroutine.
func (r *Replica) TimeSinceContact() map[uint64]time.Duration {
	out := map[uint64]time.Duration{}
	for id, ticks := range r.node.TicksSinceContact() {
		out[id] = time.Duration(ticks) * r.TickInterval
	}
	return out
}

// PersistedState returns the snapshot and the data of the entries after it that Open
// found. The last entries may not be committed. Call it before Run.
func (r *Replica) PersistedState() (snap []byte, entries [][]byte) {
	s, list := r.node.SnapshotAndEntries()
	for _, e := range list {
		if e.Kind == crquorum.EntryData {
			entries = append(entries, e.Data)
		}
	}
	return s.Data, entries
}
