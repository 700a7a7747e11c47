package crfeed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	// pollWait is how long a poll stays open at the sender.
	pollWait = 5 * time.Second
	// pollMargin is how long a poll may take beyond pollWait.
	pollMargin = 3 * time.Second
	// freshFor is how long an answer of a fresh source proves that the view
	// is in force.
	freshFor = 2*pollWait + pollMargin
	// pullTimeout bounds a pull from a peer.
	pullTimeout = time.Second
	// pullPause is the shortest time between two pulls.
	pullPause = 20 * time.Millisecond
	// firstPause is the time between two questions to one source before there
	// is any view; it doubles up to firstPauseMax while sources answer without
	// one, as they do until the system has been founded.
	firstPause    = 25 * time.Millisecond
	firstPauseMax = 400 * time.Millisecond
	// firstStagger is how much later each further source is asked: ten round
	// trips between zones, so that a healthy system sends one view only.
	firstStagger = 30 * time.Millisecond
	// firstFor bounds all of that; meanwhile a change of Sources isn't seen.
	firstFor = 3 * time.Second
)

// Follower keeps a daemon's view up to date by long polls, and by pulls from
// peers that are known to be ahead. Its revision never goes back. Set the
// exported fields before Run.
type Follower struct {
	// Name tells sources who polls; it may be empty.
	Name string
	// Client calls the sources.
	Client *crnet.Client
	// Sources are the host:port of control instances. Those that an answer
	// names are asked as well.
	Sources []string
	// PollWait is how long a poll stays open at the sender, and PollMargin how long it
	// may take beyond that before its connection is given up; 0 takes the
	// defaults.
	PollWait, PollMargin time.Duration
	// MaxBackoff bounds the pause after failed polls; 0 takes the default.
	MaxBackoff time.Duration
	// AllowProvisional lets a follower without a view begin with a provisional one: a
	// daemon that starts while control has no quorum serves by the last state
	// that an instance has on disk. The first fresh answer replaces it whole,
	// whatever its revision, as its last changes may not be committed.
	AllowProvisional bool
	// OnView is called with each later view, one call at a time.
	OnView func(v *crwire.View)
	// OnPollError is called when a poll fails; nil ignores it.
	OnPollError func(source string, err error)
	// OnConnectivity is called with the last error when each source has failed in a
	// row, and with nil when one answers again; nil ignores it.
	OnConnectivity func(err error)
	// Downstream passes the feed on to others; nil passes nothing on.
	Downstream *Source
	// Random returns numbers from 0 to 1 for the first source and the
	// back-off; nil takes the standard library's.
	Random func() float64

	setup sync.Once
	hints chan hint
	mu    sync.Mutex
	view  *crwire.View
	// proven is when a control instance last answered that it is fresh.
	proven time.Time
	// early is the revision of the provisional view in use, 0 for none.
	early uint64
	// control lists the instances that the last answer named.
	control []string
}

// hint names a peer that is ahead.
type hint struct {
	source   string
	revision uint64
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.setup.Do(f.open)
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { f.loop(ctx) })
	if f.AllowProvisional {
		f.begin(ctx)
	}
	next := int(f.Random() * float64(len(f.ControlAddrs())))
	for failures := 0; ctx.Err() == nil; {
		sources := f.ControlAddrs()
		source := sources[next%len(sources)]
		err := f.poll(ctx, source)
		if err == nil {
			if failures >= len(sources) {
				f.OnConnectivity(nil)
			}
			failures = 0
			continue
		}
		next++
		failures++
		if ctx.Err() != nil {
			return
		}
		f.OnPollError(source, err)
		if failures == len(sources) {
			f.OnConnectivity(err)
		}
		crnet.Pause(ctx, min(f.MaxBackoff, BackoffPause(failures, len(sources), f.Random())))
	}
}

// begin asks all sources until one has a view, provisional or not. After a loss
// of power the sources start one by one within a second, and callers wait
// meanwhile: the first source that runs serves everyone.
func (f *Follower) begin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstFor)
	defer cancel()
	sources := f.ControlAddrs()
	first := int(f.Random() * float64(len(sources)))
	var questions sync.WaitGroup
	for i := range sources {
		source := sources[(first+i)%len(sources)]
		questions.Go(func() {
			crnet.Pause(ctx, time.Duration(i)*firstStagger)
			f.beginAt(ctx, source)
			if f.HasView() {
				cancel()
			}
		})
	}
	questions.Wait()
}

// beginAt asks one source until it has a view.
func (f *Follower) beginAt(ctx context.Context, source string) {
	for pause := firstPause; ctx.Err() == nil; {
		feed, err := f.ask(ctx, source, 0, f.PollWait+f.PollMargin)
		if err == nil {
			err = f.take(feed)
			pause = min(2*pause, firstPauseMax)
		}
		if err != nil && ctx.Err() == nil {
			f.OnPollError(source, err)
		}
		if f.HasView() {
			return
		}
		crnet.Pause(ctx, pause)
	}
}

// HasView reports whether there is a view, provisional or not.
func (f *Follower) HasView() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Revision > 0 || f.early > 0
}

// Hint says that a peer holds a revision. When it is ahead, the follower
// pulls from it. Hint never blocks; it is safe for concurrent use.
func (f *Follower) Hint(source string, rev uint64) {
	f.setup.Do(f.open)
	if rev <= f.Revision() {
		return
	}
	select {
	case f.hints <- hint{source: source, revision: rev}:
	default:
		// Another pull is under way; who is still ahead says so again.
	}
}

// SetSources replaces Sources while the follower runs.
func (f *Follower) SetSources(sources []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Sources = sources
}

// ControlAddrs returns the control instances to ask: the ones that the last answer
// named, then the others of Sources.
func (f *Follower) ControlAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := slices.Clone(f.control)
	for _, s := range f.Sources {
		if !slices.Contains(known, s) {
			known = append(known, s)
		}
	}
	return known
}

// Revision returns the revision in force here, 0 before the first view.
func (f *Follower) Revision() uint64 {
	f.setup.Do(f.open)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Revision
}

// Stale reports whether no control instance has lately proven that the view
// is in force.
func (f *Follower) Stale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proven.IsZero() || time.Since(f.proven) > freshFor
}

// ConfirmedWithin reports whether a control instance has proven within d that the view
// is in force.
func (f *Follower) ConfirmedWithin(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.proven.IsZero() && time.Since(f.proven) <= d
}

// open makes the follower ready.
func (f *Follower) open() {
	f.view = EmptyView()
	f.hints = make(chan hint, 1)
	if f.Random == nil {
		f.Random = rand.Float64
	}
	if f.PollWait == 0 {
		f.PollWait = pollWait
	}
	if f.PollMargin == 0 {
		f.PollMargin = pollMargin
	}
	if f.MaxBackoff == 0 {
		f.MaxBackoff = backoffMax
	}
	if f.OnPollError == nil {
		f.OnPollError = func(string, error) {}
	}
	if f.OnConnectivity == nil {
		f.OnConnectivity = func(error) {}
	}
}

// loop pulls from peers until ctx ends.
func (f *Follower) loop(ctx context.Context) {
	for {
		select {
		case h := <-f.hints:
			if h.revision > f.Revision() {
				f.pull(ctx, h.source)
			}
		case <-ctx.Done():
			return
		}
	}
}

// pull asks a peer once. A peer proves nothing about what is in force.
func (f *Follower) pull(ctx context.Context, source string) {
	feed, err := f.ask(ctx, source, 0, pullTimeout)
	if err == nil {
		err = f.take(feed)
	}
	if err != nil && ctx.Err() == nil {
		f.OnPollError(source, err)
	}
	crnet.Pause(ctx, pullPause)
}

// poll asks a control instance once.
func (f *Follower) poll(ctx context.Context, source string) error {
	asked := time.Now()
	feed, err := f.ask(ctx, source, f.PollWait, f.PollWait+f.PollMargin)
	if err != nil {
		return err
	}
	if err := f.take(feed); err != nil {
		return err
	}
	if feed.Stale {
		return fmt.Errorf("%s is stale", source)
	}
	if here := f.Revision(); feed.Revision < here {
		return fmt.Errorf("%s is at revision %d, behind %d", source, feed.Revision, here)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proven = asked
	return nil
}

// ask polls a source with a wait there.
func (f *Follower) ask(ctx context.Context, source string, wait, timeout time.Duration) (*crwire.Feed, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	path := fmt.Sprintf("/feed?after=%d&wait=%s&name=%s", f.Revision(), wait, url.QueryEscape(f.Name))
	f.mu.Lock()
	if f.AllowProvisional && f.view.Revision == 0 {
		path += fmt.Sprintf("&early=%d", f.early)
	}
	f.mu.Unlock()
	var feed crwire.Feed
	if err := f.Client.JSON(ctx, source, path, nil, &feed); err != nil {
		return nil, err
	}
	return &feed, nil
}

// take installs what an answer leads to. A stale answer moves a running
// follower forward only; one that has no view yet refuses it.
func (f *Follower) take(feed *crwire.Feed) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(feed.Control) > 0 {
		f.control = feed.Control
	}
	if feed.Stale && f.view.Revision == 0 {
		f.preview(feed)
		return nil
	}
	v, err := ApplyFeed(f.view, feed)
	if v == f.view {
		return err
	}
	f.view = v
	if f.Downstream != nil {
		passOn(f.Downstream, feed, v)
	}
	f.OnView(v)
	return err
}

// preview uses a provisional view until a fresh answer comes.
func (f *Follower) preview(feed *crwire.Feed) {
	if !f.AllowProvisional || feed.Snapshot == nil || feed.Snapshot.Revision <= f.early {
		return
	}
	f.early = feed.Snapshot.Revision
	f.OnView(feed.Snapshot)
}

// passOn moves a source to a view, by deltas where they fit.
func passOn(s *Source, feed *crwire.Feed, v *crwire.View) {
	for i := range feed.Deltas {
		if err := s.Add(&feed.Deltas[i]); err != nil {
			break
		}
	}
	s.Reset(v)
}
