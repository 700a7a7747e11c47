package crfeed

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomring.dev/internal/crwire"
)

// waitMax bounds how long a poll stays open.
const waitMax = 30 * time.Second

// Handler serves GET /feed?after=REV&wait=DURATION&name=NAME from a source.
// Set the exported fields before use.
type Handler struct {
	Source *Source
	// Stale reports whether the sender can't prove that its view is the one
	// in force. It is asked last, since the process may have stood still.
	Stale func() bool
	// ProvisionalView returns the last view that the sender has on disk, committed or
	// not; nil or a nil view serves none.
	ProvisionalView func() *crwire.View
	// OnPoll is called with the name and the revision in force of a
	// follower that polls; nil ignores it.
	OnPoll func(name string, after uint64)
	// OnAnswer is called with the kind and length of each answer; nil
	// ignores it.
	OnAnswer func(kind string, n int)
	// StopCtx ends open polls when it ends; nil never does.
	StopCtx context.Context

	mu sync.Mutex
	// early is the last stale answer with a whole view.
	early *Answer
}

// ServeHTTP answers one poll.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	if name := query.Get("name"); h.OnPoll != nil && name != "" {
		h.OnPoll(name, after)
	}
	answer := h.wait(r, after, min(wait, waitMax))
	kind := answer.Kind()
	if h.Stale() {
		answer, kind = h.stale(answer, query.Get("early")), "stale"
	}
	body, packed := answer.Body()
	if packed != nil && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		body = packed
		w.Header().Set("Content-Encoding", "gzip")
	}
	if h.OnAnswer != nil {
		h.OnAnswer(kind, len(body))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// stale returns an answer marked as stale. A follower that asks for an early
// view gets the one on disk, unless it has it already.
func (h *Handler) stale(answer *Answer, early string) *Answer {
	have, err := strconv.ParseUint(early, 10, 64)
	if err != nil || h.ProvisionalView == nil {
		return answer.AsStale()
	}
	view := h.ProvisionalView()
	if view == nil || answer.Feed.Revision >= view.Revision {
		view = h.Source.View()
	}
	if view.Revision <= have {
		return &Answer{Feed: crwire.Feed{Stale: true, Revision: answer.Feed.Revision, Control: answer.Feed.Control}}
	}
	return h.whole(answer, view)
}

// whole returns a stale answer with a whole view. It is made once for as many as
// ask for the same.
func (h *Handler) whole(answer *Answer, view *crwire.View) *Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.early == nil || h.early.Feed.Snapshot != view || h.early.Feed.Revision != answer.Feed.Revision ||
		!slices.Equal(h.early.Feed.Control, answer.Feed.Control) {
		h.early = &Answer{Feed: crwire.Feed{
			Stale: true, Revision: answer.Feed.Revision, Control: answer.Feed.Control, Snapshot: view,
		}}
	}
	return h.early
}

// wait returns the answer, at the latest when the sender stops. A sender
// that is stale doesn't keep a follower waiting.
func (h *Handler) wait(r *http.Request, after uint64, wait time.Duration) *Answer {
	if h.Stale() {
		wait = 0
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if h.StopCtx != nil {
		defer context.AfterFunc(h.StopCtx, cancel)()
	}
	return h.Source.Poll(ctx, after, wait)
}
