package crfeed

import (
	"context"
	"sync"
	"time"

	"cardamomring.dev/internal/crwire"
)

// historyMax is how many deltas a source keeps.
const historyMax = 1024

// Source answers the feed from a view and its last deltas. It is safe for
// concurrent use.
type Source struct {
	mu      sync.Mutex
	view    *crwire.View
	history []crwire.Delta
	changed chan struct{}
}

// NewSource returns a source that holds v.
func NewSource(v *crwire.View) *Source {
	return &Source{view: v, changed: make(chan struct{})}
}

// View returns the view in force.
func (s *Source) View() *crwire.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Add moves the view forward by a delta and wakes those who wait.
func (s *Source) Add(d *crwire.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := Apply(s.view, d)
	if err != nil {
		return err
	}
	s.history = append(s.history, *d)
	if len(s.history) > historyMax {
		s.history = s.history[len(s.history)-historyMax:]
	}
	s.set(next)
	return nil
}

// Reset replaces the view by a later one, after a snapshot.
func (s *Source) Reset(v *crwire.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Revision <= s.view.Revision {
		return
	}
	s.history = nil
	s.set(v)
}

// set installs a view; the caller holds mu.
func (s *Source) set(v *crwire.View) {
	s.view = v
	close(s.changed)
	s.changed = make(chan struct{})
}

// Answer returns what leads from revision after to the view in force, and
// waits up to wait for there to be something.
func (s *Source) Answer(ctx context.Context, after uint64, wait time.Duration) *crwire.Feed {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		feed, changed := s.since(after)
		if feed.Revision > after || wait <= 0 {
			return feed
		}
		select {
		case <-changed:
		case <-timer.C:
			return feed
		case <-ctx.Done():
			return feed
		}
	}
}

// since returns the answer for now and the channel that closes on a change.
func (s *Source) since(after uint64) (*crwire.Feed, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	feed := &crwire.Feed{Revision: s.view.Revision}
	if after >= s.view.Revision {
		return feed, s.changed
	}
	for i := range s.history {
		if s.history[i].From == after {
			feed.Deltas = s.history[i:]
			return feed, s.changed
		}
	}
	feed.Snapshot = s.view
	return feed, s.changed
}
