package crfeed

import (
	"encoding/json"
	"fmt"
	"sync"

	"cardamomring.dev/internal/crwire"
)

// Answer is an answer of the feed. Many subscribers share one; nobody
// changes it.
type Answer struct {
	// Feed is the answer; Stale is false.
	Feed crwire.Feed

	once sync.Once
	body []byte
}

// Body returns the answer in JSON, encoded once however many ask.
func (a *Answer) Body() []byte {
	a.once.Do(func() { a.body = encode(&a.Feed) })
	return a.body
}

// StaleBody returns the answer in JSON, marked as stale.
func (a *Answer) StaleBody() []byte {
	feed := a.Feed
	feed.Stale = true
	return encode(&feed)
}

// Kind names what the answer holds: snapshot, deltas or empty.
func (a *Answer) Kind() string {
	switch {
	case a.Feed.Snapshot != nil:
		return "snapshot"
	case len(a.Feed.Deltas) > 0:
		return "deltas"
	default:
		return "empty"
	}
}

// encode returns a feed in JSON.
func encode(feed *crwire.Feed) []byte {
	data, err := json.Marshal(feed)
	if err != nil {
		// A feed holds plain data that came by JSON.
		panic(fmt.Sprintf("encode a feed: %v", err))
	}
	return data
}
