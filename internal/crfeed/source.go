package crfeed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// historyMax is how many deltas a source keeps.
	historyMax = 1024
	// historySlack is how many deltas beyond historyMax are cut at a time.
	historySlack = 128
)

// Source answers the feed from a view and its last deltas. It is safe for
// concurrent use.
type Source struct {
	mu      sync.Mutex
	view    *crwire.View
	history []crwire.Delta
	// answers holds the answers for the view in force by the revision that
	// was asked from.
	answers map[uint64]*Answer
	// snapshot is the answer to those who are too far behind.
	snapshot *Answer
	changed  chan struct{}
	// control lists the control instances that answers name.
	control []string
}

// NewSource returns a source that holds v.
func NewSource(v *crwire.View) *Source {
	s := &Source{changed: make(chan struct{})}
	s.set(v)
	return s
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
	next, err := ApplyDelta(s.view, d)
	if err != nil {
		return err
	}
	s.history = append(s.history, *d)
	if len(s.history) >= historyMax+historySlack {
		s.history = slices.Clone(s.history[historySlack:])
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

// SetControlAddrs names the control instances that answers tell followers of.
func (s *Source) SetControlAddrs(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(addrs, s.control) {
		return
	}
	s.control = addrs
	s.renew()
}

// set installs a view; the caller holds mu.
func (s *Source) set(v *crwire.View) {
	s.view = v
	s.renew()
	close(s.changed)
	s.changed = make(chan struct{})
}

// renew forgets the answers made so far; the caller holds mu.
func (s *Source) renew() {
	s.answers = map[uint64]*Answer{}
	s.snapshot = &Answer{Feed: crwire.Feed{Revision: s.view.Revision, Control: s.control, Snapshot: s.view}}
}

// PollFeed returns what Poll returns, not encoded. The caller doesn't change it.
func (s *Source) PollFeed(ctx context.Context, after uint64, wait time.Duration) *crwire.Feed {
	return &s.Poll(ctx, after, wait).Feed
}

// Poll returns what leads from revision after to the view in force, and
// waits up to wait for there to be something. One who is ahead of the source
// is answered at once.
func (s *Source) Poll(ctx context.Context, after uint64, wait time.Duration) *Answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed := s.since(after)
		if answer.Feed.Revision != after || wait <= 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

// since returns the answer for now and the channel that closes on a change.
func (s *Source) since(after uint64) (*Answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answers[after]
	if answer == nil {
		answer = s.lead(after)
		s.answers[after] = answer
	}
	return answer, s.changed
}

// lead makes the answer for a revision; the caller holds mu. What many
// deltas set more than once comes once; a delta that would carry more than
// the whole view gives way to a snapshot.
func (s *Source) lead(after uint64) *Answer {
	if after >= s.view.Revision {
		return &Answer{Feed: crwire.Feed{Revision: s.view.Revision, Control: s.control}}
	}
	i, ok := slices.BinarySearchFunc(s.history, after, func(d crwire.Delta, rev uint64) int {
		return cmp.Compare(d.From, rev)
	})
	if !ok {
		return s.snapshot
	}
	delta := MergeDeltas(s.history[i:])
	if len(delta.Services)+len(delta.Members) > len(s.view.Services)+len(s.view.Members) {
		return s.snapshot
	}
	return &Answer{Feed: crwire.Feed{
		Revision: s.view.Revision, Control: s.control, Deltas: []crwire.Delta{delta},
	}}
}
