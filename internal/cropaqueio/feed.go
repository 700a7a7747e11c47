package cropaqueio

import (
	"time"

	"github.com/apex/log"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	// pollWait is how long a poll stays open. A control instance that stops
	// answering is detected within pollWait plus pollMargin, well within the
	// 3 s in which a change must be in force.
	pollWait = time.Second
	// pollMargin is how long an answer may take beyond pollWait.
	pollMargin = 500 * time.Millisecond
	// maxPollBackoff limits the pause after failed polls.
	maxPollBackoff = 200 * time.Millisecond
	// viewFreshFor is how long the view counts as fresh after an answer of
	// control: two polls.
	viewFreshFor = 2 * (pollWait + pollMargin)
)

// newFollower returns a follower of control's feed that logs when control
// becomes unreachable and when it is reachable again.
func newFollower(name string, client *crnet.Client, sources []string, logger *log.Logger, onView func(*crwire.View)) *crfeed.Follower {
	return &crfeed.Follower{
		Name: name, Client: client, Sources: sources, OnView: onView,
		PollWait: pollWait, PollMargin: pollMargin, MaxBackoff: maxPollBackoff, AllowProvisional: true,
		OnConnectivity: func(err error) {
			if err != nil {
				logger.WithError(err).Warn("control is out of reach; continuing with the current view")
				return
			}
			logger.Info("control is reachable again")
		},
	}
}
