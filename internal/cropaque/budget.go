package cropaque

import "time"

// budget limits the frames that a balancer spends on finding owners and on testing
// agents, so that after a loss callers' packets keep most of its link and processor.
// What it doesn't grant, a caller's next packet asks for again.
type budget struct {
	// perSecond is the number of frames in a second; 0 means without limit.
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

// hasPlenty reports whether n frames leave half of the budget.
func (b *budget) hasPlenty(now time.Time, n int) bool {
	b.refill(now)
	return b.perSecond == 0 || b.tokens-float64(n) >= b.perSecond/2
}

// refill adds the frames since the last call.
func (b *budget) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.tokens = b.perSecond
	}
	b.tokens = min(b.perSecond, b.tokens+now.Sub(b.updatedAt).Seconds()*b.perSecond)
	b.updatedAt = now
}

// take reports whether n frames may be sent, and counts them if so. Up to a second's
// frames can be saved; more than these are sent at once if all are there.
func (b *budget) take(now time.Time, n int) bool {
	if b.perSecond == 0 {
		return true
	}
	b.refill(now)
	if b.tokens < min(float64(n), b.perSecond) {
		return false
	}
	b.tokens -= float64(n)
	return true
}
