package crobs

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxExplanations limits the explanations in a second, which take time from callers'
// traffic: each about as much as a dozen new flows.
const maxExplanations = 10

// limiter counts calls by second.
type limiter struct {
	mu    sync.Mutex
	since time.Time
	n     int
}

// take reports whether there may be another call, and counts it.
func (l *limiter) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.n, l.since = 0, now
	}
	l.n++
	return l.n <= maxExplanations
}

// serveExplain calls Explain, or responds with status 429 beyond its rate.
func (a *Admin) serveExplain(w http.ResponseWriter, r *http.Request) {
	if !a.explained.take(time.Now()) {
		http.Error(w, fmt.Sprintf("more than %d explanations in a second; try again", maxExplanations), http.StatusTooManyRequests)
		return
	}
	a.Explain(w, r)
}
