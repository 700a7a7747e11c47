package crfeed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	// pollWait is how long a poll waits for a change at the source.
	pollWait = 5 * time.Second
	// pollMargin is added to pollWait for the timeout of a poll.
	pollMargin = 3 * time.Second
	// confirmationTTL is how long a successful poll confirms that the view is in
	// force.
	confirmationTTL = 2*pollWait + pollMargin
	// pullTimeout is the timeout of a pull from a peer.
	pullTimeout = time.Second
	// pullInterval is the minimum pause between two pulls.
	pullInterval = 20 * time.Millisecond
	// firstViewPause is the pause between two requests to one source for the first
	// view. It doubles up to firstViewPauseMax while the source answers without a
	// view, as it does until the cluster is bootstrapped.
	firstViewPause    = 25 * time.Millisecond
	firstViewPauseMax = 400 * time.Millisecond
	// firstViewStagger is the delay between the first requests to successive
	// sources: ten round trips between zones, so that in a healthy system only one
	// source sends a view.
	firstViewStagger = 30 * time.Millisecond
	// firstViewTimeout is the timeout of the search for the first view. A change of
	// Sources has no effect on a search in progress.
	firstViewTimeout = 3 * time.Second
)

// Follower keeps a daemon's view up to date. It long-polls control instances and
// pulls from peers that have a higher revision. Its own revision never
// decreases. The exported fields must be set before Run.
type Follower struct {
	// Name identifies the follower to the sources; it may be empty.
	Name string
	// Client sends the requests to the sources.
	Client *crnet.Client
	// Sources lists the host:port of control instances. The follower also polls
	// the instances that answers list.
	Sources []string
	// PollWait is how long a poll waits for a change at the source. PollMargin is
	// added to it for the timeout of the request. 0 selects the defaults.
	PollWait, PollMargin time.Duration
	// MaxBackoff limits the pause after failed polls; 0 selects the default.
	MaxBackoff time.Duration
	// AllowProvisional lets a follower without a view start with a provisional
	// one, so that a daemon that starts while control has no quorum can serve
	// with the last state that an instance knows to be accepted. Later changes may
	// have been accepted without that instance, so the follower has no revision of its
	// own yet, and the first answer that is not stale replaces the view completely.
	AllowProvisional bool
	// OnView is called with each new view; calls are never concurrent.
	OnView func(v *crwire.View)
	// OnPollError is called when a poll or a pull fails; optional.
	OnPollError func(source string, err error)
	// OnConnectivity is called with the last error when all sources have failed
	// in a row, and with nil when a source answers again; optional.
	OnConnectivity func(err error)
	// Downstream is updated with each view, to serve it to other processes;
	// optional.
	Downstream *Source
	// Random returns a number from 0 to 1, which selects the first source and the
	// length of a backoff; nil selects rand.Float64.
	Random func() float64

	initOnce sync.Once
	hints    chan hint
	mu       sync.Mutex
	view     *crwire.View
	// confirmedAt is the send time of the last successful poll of a control
	// instance.
	confirmedAt time.Time
	// provisionalRevision is the revision of the provisional view; 0 for none.
	provisionalRevision uint64
	// directory holds the control instances that answers have listed.
	directory Directory
}

// hint is the address and the reported revision of a peer.
type hint struct {
	source   string
	revision uint64
}

// Run polls the sources until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	f.initOnce.Do(f.initialize)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.loop(ctx) })
	if f.AllowProvisional {
		f.fetchFirstView(ctx)
	}
	next := int(f.Random() * float64(len(f.ControlAddrs())))
	for failures := 0; ctx.Err() == nil; {
		sources := f.ControlAddrs()
		if len(sources) == 0 {
			// The settings may name some later.
			crnet.Pause(ctx, backoffBase)
			continue
		}
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

// fetchFirstView queries all sources concurrently until one returns a view,
// provisional or not. After a power loss the sources start one after another
// within a second while callers are waiting, so the first one to run is used.
func (f *Follower) fetchFirstView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstViewTimeout)
	defer cancel()
	sources := f.ControlAddrs()
	first := int(f.Random() * float64(len(sources)))
	var requests sync.WaitGroup
	for i := range sources {
		source := sources[(first+i)%len(sources)]
		requests.Go(func() {
			crnet.Pause(ctx, time.Duration(i)*firstViewStagger)
			f.fetchFirstViewFrom(ctx, source)
			if f.HasView() {
				cancel()
			}
		})
	}
	requests.Wait()
}

// fetchFirstViewFrom queries one source until the follower has a view.
func (f *Follower) fetchFirstViewFrom(ctx context.Context, source string) {
	for pause := firstViewPause; ctx.Err() == nil; {
		feed, err := f.fetch(ctx, source, 0, f.PollWait+f.PollMargin)
		if err == nil {
			err = f.apply(feed)
			pause = min(2*pause, firstViewPauseMax)
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

// HasView reports whether the follower has a view, provisional or not.
func (f *Follower) HasView() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Revision > 0 || f.provisionalRevision > 0
}

// Hint notifies the follower that the peer at the address source has the revision
// rev. The follower pulls from the peer if rev is higher than its own revision.
// Hint never blocks and is safe for concurrent use.
func (f *Follower) Hint(source string, rev uint64) {
	f.initOnce.Do(f.initialize)
	if rev <= f.Revision() {
		return
	}
	select {
	case f.hints <- hint{source: source, revision: rev}:
	default:
		// Another hint is queued. Peers repeat their hints while they are ahead.
	}
}

// SetSources replaces Sources while the follower runs.
func (f *Follower) SetSources(sources []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Sources = sources
}

// ControlAddrs returns the control instances to poll: those that answers have listed, then
// the remaining ones of Sources.
func (f *Follower) ControlAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Addrs(f.Sources)
}

// Revision returns the revision of the current view; 0 before the first one.
// Provisional views do not count.
func (f *Follower) Revision() uint64 {
	f.initOnce.Do(f.initialize)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Revision
}

// Stale reports whether no control instance has confirmed within
// confirmationTTL that the view is in force.
func (f *Follower) Stale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt.IsZero() || time.Since(f.confirmedAt) > confirmationTTL
}

// ConfirmedWithin reports whether a control instance has confirmed within the
// last d that the view is in force.
func (f *Follower) ConfirmedWithin(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmedAt.IsZero() && time.Since(f.confirmedAt) <= d
}

// ConfirmedAge returns the time since a control instance has confirmed that the view is
// in force, and false if none has.
func (f *Follower) ConfirmedAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt), !f.confirmedAt.IsZero()
}

// initialize sets the empty view and the defaults of the fields.
func (f *Follower) initialize() {
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

// loop pulls from the peers that hints name, until ctx is cancelled.
func (f *Follower) loop(ctx context.Context) {
	for {
		select {
		case h := <-f.hints:
			if h.revision > f.Revision() {
				f.pullFromPeer(ctx, h.source)
			}
		case <-ctx.Done():
			return
		}
	}
}

// pullFromPeer requests the feed of a peer once. The answer does not confirm that
// the view is in force, as only control instances can.
func (f *Follower) pullFromPeer(ctx context.Context, source string) {
	feed, err := f.fetch(ctx, source, 0, pullTimeout)
	if err == nil {
		err = f.apply(feed)
	}
	if err != nil && ctx.Err() == nil {
		f.OnPollError(source, err)
	}
	crnet.Pause(ctx, pullInterval)
}

// poll sends one long poll to a control instance.
func (f *Follower) poll(ctx context.Context, source string) error {
	sentAt := time.Now()
	feed, err := f.fetch(ctx, source, f.PollWait, f.PollWait+f.PollMargin)
	if err != nil {
		return err
	}
	if err := f.apply(feed); err != nil {
		return err
	}
	if feed.Stale {
		return fmt.Errorf("control instance %s is stale: it has no proof that its view is in force", source)
	}
	if current := f.Revision(); feed.Revision < current {
		return fmt.Errorf("control instance %s is at revision %d, behind the revision %d of this process", source, feed.Revision, current)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = sentAt
	return nil
}

// fetch requests the feed of a source. The source waits for a change, at most for
// the duration wait.
func (f *Follower) fetch(ctx context.Context, source string, wait, timeout time.Duration) (*crwire.Feed, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	path := fmt.Sprintf("/feed?after=%d&wait=%s&name=%s", f.Revision(), wait, url.QueryEscape(f.Name))
	f.mu.Lock()
	if f.AllowProvisional && f.view.Revision == 0 {
		path += fmt.Sprintf("&early=%d", f.provisionalRevision)
	}
	f.mu.Unlock()
	var feed crwire.Feed
	if err := f.Client.JSON(ctx, source, path, nil, &feed); err != nil {
		return nil, err
	}
	return &feed, nil
}

// apply applies an answer to the view. A follower that has a view accepts a stale
// answer if it leads to a higher revision. A follower without a view accepts a
// stale answer only as a provisional view.
func (f *Follower) apply(feed *crwire.Feed) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Learn(feed.Control, feed.ControlIndex, feed.Stale)
	switch {
	case feed.Stale && f.view.Revision == 0:
		f.applyProvisional(feed)
		return nil
	case feed.Stale && feed.Snapshot != nil && feed.Snapshot.Revision > feed.Revision:
		// The sender doesn't know that its view is committed, and this process has a
		// view since it asked.
		return nil
	}
	v, err := ApplyFeed(f.view, feed)
	if v == f.view {
		return err
	}
	f.view = v
	if f.Downstream != nil {
		updateDownstream(f.Downstream, feed, v)
	}
	f.OnView(v)
	return err
}

// applyProvisional passes a provisional view to OnView, if allowed. The view is
// used until the first answer that is not stale.
func (f *Follower) applyProvisional(feed *crwire.Feed) {
	if !f.AllowProvisional || feed.Snapshot == nil || feed.Snapshot.Revision <= f.provisionalRevision {
		return
	}
	f.provisionalRevision = feed.Snapshot.Revision
	f.OnView(feed.Snapshot)
}

// updateDownstream moves s to the view v, by the deltas of feed as far as they
// apply, else by a reset.
func updateDownstream(s *Source, feed *crwire.Feed, v *crwire.View) {
	for i := range feed.Deltas {
		if err := s.Add(&feed.Deltas[i]); err != nil {
			break
		}
	}
	s.Reset(v)
}
