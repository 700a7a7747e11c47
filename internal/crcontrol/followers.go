package crcontrol

import (
	"sync"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// maxFollowers bounds the number of daemons in the list.
	maxFollowers = 10_000
	// followerExpiry is how long a daemon stays in the list after its last poll.
	followerExpiry = time.Minute
)

// followers tracks the current revision of each daemon, as given in its last poll
// of the feed. It is safe for concurrent use.
type followers struct {
	mu     sync.Mutex
	byName map[string]follower
}

// follower is one daemon's last poll.
type follower struct {
	revision uint64
	polledAt time.Time
}

// newFollowers returns an empty list.
func newFollowers() *followers { return &followers{byName: map[string]follower{}} }

// recordPoll records the poll of a daemon. It ignores new daemons while the list is
// full.
func (f *followers) recordPoll(name string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(name) > maxTextBytes {
		return
	}
	if _, known := f.byName[name]; !known && len(f.byName) >= maxFollowers {
		f.removeExpired()
		if len(f.byName) >= maxFollowers {
			return
		}
	}
	f.byName[name] = follower{revision: revision, polledAt: time.Now()}
}

// list returns the daemons that have polled within followerExpiry.
func (f *followers) list() []crwire.Follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeExpired()
	out := make([]crwire.Follower, 0, len(f.byName))
	for name, last := range f.byName {
		out = append(out, crwire.Follower{
			Name: name, Revision: last.revision, AgeMillis: time.Since(last.polledAt).Milliseconds(),
		})
	}
	return out
}

// removeExpired removes the daemons that have not polled within followerExpiry. The
// caller must hold mu.
func (f *followers) removeExpired() {
	for name, last := range f.byName {
		if time.Since(last.polledAt) > followerExpiry {
			delete(f.byName, name)
		}
	}
}
