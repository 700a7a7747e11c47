package crcontrol

import (
	"sync"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// followersMax bounds how many daemons are remembered.
	followersMax = 10_000
	// followerTime is how long a daemon that doesn't poll is remembered.
	followerTime = time.Minute
)

// followers remembers which revision each daemon has in force, by what it
// asked from. It is safe for concurrent use.
type followers struct {
	mu     sync.Mutex
	byName map[string]follower
}

// follower is one daemon's last poll.
type follower struct {
	revision uint64
	at       time.Time
}

// newFollowers returns an empty memory.
func newFollowers() *followers { return &followers{byName: map[string]follower{}} }

// polled notes a poll.
func (f *followers) polled(name string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(name) > nameMax {
		return
	}
	if _, known := f.byName[name]; !known && len(f.byName) >= followersMax {
		f.forget()
		if len(f.byName) >= followersMax {
			return
		}
	}
	f.byName[name] = follower{revision: revision, at: time.Now()}
}

// list returns the daemons that still poll.
func (f *followers) list() []crwire.Follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget()
	out := make([]crwire.Follower, 0, len(f.byName))
	for name, known := range f.byName {
		out = append(out, crwire.Follower{
			Name: name, Revision: known.revision, AgeMillis: time.Since(known.at).Milliseconds(),
		})
	}
	return out
}

// forget drops the daemons that have not polled for long; the caller holds
// mu.
func (f *followers) forget() {
	for name, known := range f.byName {
		if time.Since(known.at) > followerTime {
			delete(f.byName, name)
		}
	}
}
