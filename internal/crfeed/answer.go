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

// compressMinBytes is the size from which an answer is compressed. Smaller
// answers fit in a few packets.
const compressMinBytes = 4 << 10

// Answer is a feed together with its encoded forms. It is shared between
// followers and must not be changed.
type Answer struct {
	Feed crwire.Feed

	once sync.Once
	body []byte
	// compressed is body in compressed form; nil if body is too small.
	compressed []byte

	staleOnce sync.Once
	stale     *Answer
}

// Body returns the JSON encoding of the answer, plain and compressed. The
// compressed form is nil for a small answer. The answer is encoded only once:
// after a power loss all daemons request a complete view at the same time, over
// links of low bandwidth.
func (a *Answer) Body() (plain, compressed []byte) {
	a.once.Do(func() {
		a.body = encode(&a.Feed)
		if len(a.body) >= compressMinBytes {
			a.compressed = compress(a.body)
		}
	})
	return a.body, a.compressed
}

// AsStale returns a copy of the answer that is marked as stale.
func (a *Answer) AsStale() *Answer {
	a.staleOnce.Do(func() {
		feed := a.Feed
		feed.Stale = true
		a.stale = &Answer{Feed: feed}
	})
	return a.stale
}

// Kind returns what the answer contains: snapshot, deltas or empty.
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

// encode returns the JSON encoding of a feed.
func encode(feed *crwire.Feed) []byte {
	data, err := json.Marshal(feed)
	if err != nil {
		// Cannot fail: a feed contains only data that was decoded from JSON.
		panic(fmt.Sprintf("encode a feed: %v", err))
	}
	return data
}

// compress returns data compressed by gzip.
func compress(data []byte) []byte {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		// Cannot fail: the level is valid.
		panic(fmt.Sprintf("compress a feed: %v", err))
	}
	_, err = w.Write(data)
	if err := errors.Join(err, w.Close()); err != nil {
		// Cannot fail: writes to a bytes.Buffer return no error.
		panic(fmt.Sprintf("compress a feed: %v", err))
	}
	return out.Bytes()
}
