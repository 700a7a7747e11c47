package crfeed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"cardamomring.dev/internal/crwire"
)

// packMin is the size in bytes from which an answer is compressed: smaller ones
// fit in a few packets.
const packMin = 4 << 10

// Answer is an answer of the feed. Many subscribers share one; nobody
// changes it.
type Answer struct {
	// Feed is the answer.
	Feed crwire.Feed

	once sync.Once
	body []byte
	// packed is body compressed, nil for a small one.
	packed []byte

	staleOnce sync.Once
	stale     *Answer
}

// Body returns the answer in JSON, encoded once however many ask, and the same
// compressed; the latter is nil for a small answer. After a loss of power every
// daemon asks for a whole view in the same moment, by links that are thin.
func (a *Answer) Body() (plain, packed []byte) {
	a.once.Do(func() {
		a.body = encode(&a.Feed)
		if len(a.body) >= packMin {
			a.packed = pack(a.body)
		}
	})
	return a.body, a.packed
}

// AsStale returns the same answer marked as stale.
func (a *Answer) AsStale() *Answer {
	a.staleOnce.Do(func() {
		feed := a.Feed
		feed.Stale = true
		a.stale = &Answer{Feed: feed}
	})
	return a.stale
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

// pack compresses data.
func pack(data []byte) []byte {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		// The level is a known one.
		panic(fmt.Sprintf("compress a feed: %v", err))
	}
	_, err = w.Write(data)
	if err := errors.Join(err, w.Close()); err != nil {
		// A buffer takes everything.
		panic(fmt.Sprintf("compress a feed: %v", err))
	}
	return out.Bytes()
}
