package cropaqueio

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	// renewInterval is the time between two renewals. Three renewals fit in a
	// lease of 2 s.
	renewInterval = 600 * time.Millisecond
	// retryBackoff is the pause after a failed renewal. It grows with each
	// failure in a row, up to renewInterval.
	retryBackoff = 50 * time.Millisecond
	// announceTimeout limits one call to control.
	announceTimeout = 800 * time.Millisecond
)

// announcer keeps an agent registered as a member at control.
type announcer struct {
	client *crnet.Client
	// sources returns the control instances.
	sources func() []string
	logger  *log.Logger
	changed chan struct{}

	mu     sync.Mutex
	member crwire.Member
	// pending is true until control has accepted the current state of member.
	pending bool
}

// newAnnouncer returns an announcer without a member.
func newAnnouncer(client *crnet.Client, sources func() []string, logger *log.Logger) *announcer {
	return &announcer{client: client, sources: sources, logger: logger, changed: make(chan struct{}, 1)}
}

// set starts to announce a member.
func (n *announcer) set(m crwire.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member, n.pending = m, true
	n.wake()
}

// withdraw announces that the member is gone.
func (n *announcer) withdraw() { n.setState(crwire.MemberGone) }

// drain announces that the member accepts no new flows.
func (n *announcer) drain() { n.setState(crwire.MemberDraining) }

// setState announces another state, unless the member is gone.
func (n *announcer) setState(state crwire.MemberState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.member.Name != "" && n.member.State != crwire.MemberGone {
		n.member.State, n.pending = state, true
		n.wake()
	}
}

// upToDate reports whether control has accepted the current state.
func (n *announcer) upToDate() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.pending
}

// wake wakes run. Call it with mu held.
func (n *announcer) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// run announces the member and renews its lease until ctx ends.
func (n *announcer) run(ctx context.Context) {
	failures := 0
	for next := 0; ctx.Err() == nil; {
		n.mu.Lock()
		m, pending := n.member, n.pending
		n.mu.Unlock()
		wait := renewInterval
		if m.Name != "" && (pending || m.State != crwire.MemberGone) {
			sources := n.sources()
			if len(sources) == 0 {
				// The settings may name some later.
				wait = retryBackoff
			} else if err := n.announce(ctx, sources[next%len(sources)], m); err != nil {
				next++
				failures++
				if failures == len(sources) {
					n.logger.WithError(err).Warn("no control instance accepted the announcement")
				}
				wait = min(renewInterval, retryBackoff*time.Duration(failures))
			} else {
				failures = 0
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-n.changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// announce announces a member to one control instance.
func (n *announcer) announce(ctx context.Context, source string, m crwire.Member) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var resp crwire.AnnounceResponse
	if err := n.client.JSON(ctx, source, "/announce", crwire.Announce{Member: m}, &resp); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.member == m {
		n.pending = false
	}
	return nil
}
