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

// pollWaitMax is the longest time for which a poll is kept open.
const pollWaitMax = 30 * time.Second

// Handler serves GET /feed?after=REV&wait=DURATION&name=NAME from a source. The
// exported fields must be set before use.
type Handler struct {
	Source *Source
	// Stale reports whether the process cannot prove that its view is in force.
	// It is called again after the wait for a change, because the process may
	// have been suspended meanwhile.
	Stale func() bool
	// ProvisionalView returns the latest accepted view that the process knows, for
	// followers without a view while the process is stale. Every change in it must be
	// committed: a follower obeys it at once. It may be nil or return nil.
	ProvisionalView func() *crwire.View
	// OnPoll is called with the name and the current revision of each follower
	// that polls; optional.
	OnPoll func(name string, after uint64)
	// OnAnswer is called with the kind and the length in bytes of each answer;
	// optional.
	OnAnswer func(kind string, n int)
	// StopCtx ends the open polls when it is cancelled; optional.
	StopCtx context.Context

	mu sync.Mutex
	// provisional caches the last stale answer that contains a complete view.
	provisional *Answer
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter \"after\" is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	if name := query.Get("name"); h.OnPoll != nil && name != "" {
		h.OnPoll(name, after)
	}
	answer := h.poll(r, after, min(wait, pollWaitMax))
	kind := answer.Kind()
	if h.Stale() {
		answer, kind = h.staleAnswer(answer, query.Get("early")), "stale"
	}
	body, compressed := answer.Body()
	if compressed != nil && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		body = compressed
		w.Header().Set("Content-Encoding", "gzip")
	}
	if h.OnAnswer != nil {
		h.OnAnswer(kind, len(body))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// staleAnswer returns an answer that is marked as stale. A follower that accepts
// a provisional view sends the revision of the one it has as heldRevision; 0 for
// none. For such a follower, the answer contains the newer of the provisional and the
// current view, if the revision of that view is higher than heldRevision.
func (h *Handler) staleAnswer(answer *Answer, heldRevision string) *Answer {
	held, err := strconv.ParseUint(heldRevision, 10, 64)
	if err != nil || h.ProvisionalView == nil {
		return answer.AsStale()
	}
	view := h.ProvisionalView()
	if view == nil || answer.Feed.Revision >= view.Revision {
		view = h.Source.View()
	}
	if view.Revision <= held {
		return &Answer{Feed: crwire.Feed{Stale: true, Revision: answer.Feed.Revision, Control: answer.Feed.Control, ControlIndex: answer.Feed.ControlIndex}}
	}
	return h.provisionalAnswer(answer, view)
}

// provisionalAnswer returns a stale answer that contains a complete view. The
// answer is cached, as many followers request the same one.
func (h *Handler) provisionalAnswer(answer *Answer, view *crwire.View) *Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.provisional == nil || h.provisional.Feed.Snapshot != view || h.provisional.Feed.Revision != answer.Feed.Revision ||
		h.provisional.Feed.ControlIndex != answer.Feed.ControlIndex || !slices.Equal(h.provisional.Feed.Control, answer.Feed.Control) {
		h.provisional = &Answer{Feed: crwire.Feed{
			Stale: true, Revision: answer.Feed.Revision, Control: answer.Feed.Control, ControlIndex: answer.Feed.ControlIndex, Snapshot: view,
		}}
	}
	return h.provisional
}

// poll waits for an answer and returns early when the process stops. It does not
// wait if the process is stale.
func (h *Handler) poll(r *http.Request, after uint64, wait time.Duration) *Answer {
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
