package crfeed

import (
	"context"
	"fmt"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	// pollWait is how long a poll stays open at the sender.
	pollWait = 10 * time.Second
	// pollMargin is how long a poll may take beyond pollWait.
	pollMargin = 3 * time.Second
	// retryWait is the pause after a failed poll.
	retryWait = 200 * time.Millisecond
)

// Follower keeps a daemon's view up to date by long polls. Set the exported
// fields before Run.
type Follower struct {
	// Client calls the sources.
	Client *crnet.Client
	// Sources are the host:port of control instances.
	Sources []string
	// Took is called with each later view, in the follower's goroutine.
	Took func(v *crwire.View)
	// Failed is called when a poll fails.
	Failed func(source string, err error)

	view *crwire.View
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.view = Empty()
	for next := 0; ctx.Err() == nil; {
		source := f.Sources[next%len(f.Sources)]
		err := f.poll(ctx, source)
		if err == nil {
			continue
		}
		next++
		if ctx.Err() == nil {
			f.Failed(source, err)
			pause(ctx, retryWait)
		}
	}
}

// poll asks one source once.
func (f *Follower) poll(ctx context.Context, source string) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	var feed crwire.Feed
	path := fmt.Sprintf("/feed?after=%d&wait=%s", f.view.Revision, pollWait)
	if err := f.Client.JSON(ctx, source, path, nil, &feed); err != nil {
		return err
	}
	if feed.Stale {
		return fmt.Errorf("%s is stale", source)
	}
	v, err := Take(f.view, &feed)
	if v != f.view {
		f.view = v
		f.Took(v)
	}
	return err
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
