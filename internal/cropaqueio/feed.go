package cropaqueio

import (
	"time"

	"github.com/apex/log"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
)

const (
	// feedWait is how long a poll stays open: an instance that goes silent is
	// noticed within the wait and the margin, well inside the 3 s in which a
	// change must be in force.
	feedWait = time.Second
	// feedMargin is how long an answer may take beyond that.
	feedMargin = 500 * time.Millisecond
	// feedPause bounds the pause between failed polls.
	feedPause = 200 * time.Millisecond
	// freshFor is how long an answer of control proves that the view is in
	// force: two polls.
	freshFor = 2 * (feedWait + feedMargin)
)

// newFollower returns a follower of control's feed that logs what it loses and
// regains.
func newFollower(name string, client *crnet.Client, sources []string, logger *log.Logger, took func(*crwire.View)) *crfeed.Follower {
	return &crfeed.Follower{
		Name: name, Client: client, Sources: sources, OnView: took,
		PollWait: feedWait, PollMargin: feedMargin, MaxBackoff: feedPause, AllowProvisional: true,
		OnConnectivity: func(err error) {
			if err != nil {
				logger.WithError(err).Warn("control is out of reach; going on with the view in force")
				return
			}
			logger.Info("control is in reach again")
		},
	}
}
