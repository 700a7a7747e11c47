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
	// historyMax is the number of recent deltas that a source keeps.
	historyMax = 1024
	// historyTrim is the number of oldest deltas that are removed at a time,
	// once that many are held in excess of historyMax.
	historyTrim = 128
)

// Source holds the current view and its most recent deltas, and serves feeds
// from them. It is safe for concurrent use.
type Source struct {
	mu      sync.Mutex
	view    *crwire.View
	history []crwire.Delta
	// answers caches the answers for the current view. The key is the revision
	// held by the follower.
	answers map[uint64]*Answer
	// snapshotAnswer contains the complete view. It is for followers whose
	// revision precedes the history, or whose delta would be larger.
	snapshotAnswer *Answer
	// changed is closed and replaced when the view changes.
	changed chan struct{}
	// controlAddrs lists the control instances that answers include, and controlIndex is
	// the index of the configuration that they come from. The index never decreases.
	controlAddrs []string
	controlIndex uint64
}

// NewSource returns a source whose current view is v.
func NewSource(v *crwire.View) *Source {
	s := &Source{changed: make(chan struct{})}
	s.setView(v)
	return s
}

// View returns the current view.
func (s *Source) View() *crwire.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Add applies a delta to the current view and wakes the waiting polls.
func (s *Source) Add(d *crwire.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := ApplyDelta(s.view, d)
	if err != nil {
		return err
	}
	s.history = append(s.history, *d)
	if len(s.history) >= historyMax+historyTrim {
		s.history = slices.Clone(s.history[historyTrim:])
	}
	s.setView(next)
	return nil
}

// Reset replaces the current view by v, for example from a snapshot, and clears
// the history. It does nothing unless the revision of v is higher.
func (s *Source) Reset(v *crwire.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Revision <= s.view.Revision {
		return
	}
	s.history = nil
	s.setView(v)
}

// SetControlAddrs sets the control instances that answers include. index is the index of
// the accepted configuration that they come from; an earlier one is ignored.
func (s *Source) SetControlAddrs(addrs []string, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < s.controlIndex || index == s.controlIndex && slices.Equal(addrs, s.controlAddrs) {
		return
	}
	s.controlAddrs, s.controlIndex = addrs, index
	s.resetAnswers()
}

// setView replaces the current view. The caller must hold mu.
func (s *Source) setView(v *crwire.View) {
	s.view = v
	s.resetAnswers()
	close(s.changed)
	s.changed = make(chan struct{})
}

// resetAnswers clears the cached answers. The caller must hold mu.
func (s *Source) resetAnswers() {
	s.answers = map[uint64]*Answer{}
	s.snapshotAnswer = &Answer{Feed: crwire.Feed{Revision: s.view.Revision, Control: s.controlAddrs, ControlIndex: s.controlIndex, Snapshot: s.view}}
}

// PollFeed is like Poll, but returns only the feed, which must not be changed.
func (s *Source) PollFeed(ctx context.Context, after uint64, wait time.Duration) *crwire.Feed {
	return &s.Poll(ctx, after, wait).Feed
}

// Poll returns the changes between the revision after and the current view. If
// there are none, it waits for a change, at most for the duration wait. A
// follower whose revision is higher than the source's gets an answer at once.
func (s *Source) Poll(ctx context.Context, after uint64, wait time.Duration) *Answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed := s.answerAfter(after)
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

// answerAfter returns the current answer for a follower at revision after, and
// the channel that is closed when the view changes.
func (s *Source) answerAfter(after uint64) (*Answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answers[after]
	if answer == nil {
		answer = s.makeAnswer(after)
		s.answers[after] = answer
	}
	return answer, s.changed
}

// makeAnswer builds the answer for a follower at revision after. Deltas are
// merged, so that each entry appears at most once. If the merged delta has more
// entries than the complete view, the answer is a snapshot. The caller must hold
// mu.
func (s *Source) makeAnswer(after uint64) *Answer {
	if after >= s.view.Revision {
		return &Answer{Feed: crwire.Feed{Revision: s.view.Revision, Control: s.controlAddrs, ControlIndex: s.controlIndex}}
	}
	i, ok := slices.BinarySearchFunc(s.history, after, func(d crwire.Delta, rev uint64) int {
		return cmp.Compare(d.From, rev)
	})
	if !ok {
		return s.snapshotAnswer
	}
	delta := MergeDeltas(s.history[i:])
	if len(delta.Services)+len(delta.Members) > len(s.view.Services)+len(s.view.Members) {
		return s.snapshotAnswer
	}
	return &Answer{Feed: crwire.Feed{
		Revision: s.view.Revision, Control: s.controlAddrs, ControlIndex: s.controlIndex, Deltas: []crwire.Delta{delta},
	}}
}
