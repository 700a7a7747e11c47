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
	// renewPause is the time between two renewals: three of them fit in a
	// lease of two seconds.
	renewPause = 600 * time.Millisecond
	// retryPause is the time after a failed one.
	retryPause = 50 * time.Millisecond
	// announceTimeout bounds one call.
	announceTimeout = 800 * time.Millisecond
)

// announcer keeps an agent's membership at control.
type announcer struct {
	client *crnet.Client
	// sources returns the control instances.
	sources func() []string
	logger  *log.Logger
	changed chan struct{}

	mu     sync.Mutex
	member crwire.Member
	// due says that the member has not been announced yet.
	due bool
}

// newAnnouncer returns an announcer without a member.
func newAnnouncer(client *crnet.Client, sources func() []string, logger *log.Logger) *announcer {
	return &announcer{client: client, sources: sources, logger: logger, changed: make(chan struct{}, 1)}
}

// set announces a member from now on.
func (n *announcer) set(m crwire.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member, n.due = m, true
	n.rouse()
}

// leave announces that the member is gone.
func (n *announcer) leave() { n.become(crwire.MemberGone) }

// drain announces that the member takes no new flows.
func (n *announcer) drain() { n.become(crwire.MemberDraining) }

// become announces another state, unless the member has gone.
func (n *announcer) become(state crwire.MemberState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.member.Name != "" && n.member.State != crwire.MemberGone {
		n.member.State, n.due = state, true
		n.rouse()
	}
}

// done says that control knows the latest state.
func (n *announcer) done() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.due
}

// rouse wakes the loop; the caller holds mu.
func (n *announcer) rouse() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// run announces until ctx ends.
func (n *announcer) run(ctx context.Context) {
	failed := 0
	for next := 0; ctx.Err() == nil; {
		n.mu.Lock()
		m, due := n.member, n.due
		n.mu.Unlock()
		pause := renewPause
		if m.Name != "" && (due || m.State != crwire.MemberGone) {
			sources := n.sources()
			if err := n.call(ctx, sources[next%len(sources)], m); err != nil {
				next++
				failed++
				if failed == len(sources) {
					n.logger.WithError(err).Warn("control doesn't take the announcement")
				}
				pause = min(renewPause, retryPause*time.Duration(failed))
			} else {
				failed = 0
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-n.changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// call announces a member to one control instance.
func (n *announcer) call(ctx context.Context, source string, m crwire.Member) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var out crwire.AnnounceResponse
	if err := n.client.JSON(ctx, source, "/announce", crwire.Announce{Member: m}, &out); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.member == m {
		n.due = false
	}
	return nil
}
