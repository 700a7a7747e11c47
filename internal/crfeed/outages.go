package crfeed

import "sync"

// Outages writes a line when a source of the feed stops answering, and one
// when it answers again. It is safe for concurrent use.
type Outages struct {
	// Logf writes a line.
	Logf func(format string, args ...any)

	mu   sync.Mutex
	down map[string]bool
}

// Failed notes a failed poll.
func (o *Outages) Failed(source string, err error) {
	if o.change(source, true) {
		o.Logf("feed of %s: %v", source, err)
	}
}

// Answered notes a poll that was answered.
func (o *Outages) Answered(source string) {
	if o.change(source, false) {
		o.Logf("feed of %s: answers again", source)
	}
}

// change sets whether a source is down and returns whether that is new.
func (o *Outages) change(source string, down bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down[source] == down {
		return false
	}
	if o.down == nil {
		o.down = map[string]bool{}
	}
	o.down[source] = down
	return true
}
