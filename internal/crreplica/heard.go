package crreplica

import "time"

// Heard returns how long ago each other member last answered this leader, nil
// when it doesn't lead. It must be called in the replica's goroutine.
func (r *Replica) Heard() map[uint64]time.Duration {
	out := map[uint64]time.Duration{}
	for id, ticks := range r.node.Heard() {
		out[id] = time.Duration(ticks) * r.Tick
	}
	return out
}
