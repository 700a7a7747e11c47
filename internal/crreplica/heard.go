package crreplica

import (
	"time"

	"cardamomring.dev/internal/crquorum"
)

// Heard returns how long ago each other member last answered this leader, nil
// when it doesn't lead. It must be called in the replica's goroutine.
func (r *Replica) Heard() map[uint64]time.Duration {
	out := map[uint64]time.Duration{}
	for id, ticks := range r.node.Heard() {
		out[id] = time.Duration(ticks) * r.Tick
	}
	return out
}

// OnDisk returns the snapshot and the data of the entries after it that Open
// found. The last entries may not be committed. Call it before Run.
func (r *Replica) OnDisk() (snap []byte, entries [][]byte) {
	s, list := r.node.Held()
	for _, e := range list {
		if e.Kind == crquorum.EntryData {
			entries = append(entries, e.Data)
		}
	}
	return s.Data, entries
}
