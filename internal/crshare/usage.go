// Package crshare decides who is within its share of a resource that is too
// small for all. It reads no clock and opens no socket.
package crshare

import "time"

// Usage is the work that holders, such as accounts or routes, got in a sliding
// window of time. Work rather than requests is counted, because a holder of few
// long requests takes as much room as one of many short ones. Usage remembers
// two windows at most, and weighs the former one by the part of it that the
// sliding window covers. Set the exported fields before use. Usage is not safe
// for concurrent use.
type Usage[K comparable] struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// MaxHolders limits the holders that are remembered for each window. The work
	// of further holders counts in the total only.
	MaxHolders int

	current, former period[K]
	// returned counts the holders of the former window that are in the current
	// one, too.
	returned int
}

// period is the work in one window.
type period[K comparable] struct {
	startedAt time.Time
	work      map[K]time.Duration
	total     time.Duration
}

// Add adds work of a holder. No work adds the holder: it asked for some. The
// work is negative when an estimate that was added before was too high.
func (u *Usage[K]) Add(now time.Time, holder K, work time.Duration) {
	u.advance(now)
	sum, known := u.current.work[holder]
	switch {
	case known:
	case len(u.current.work) >= u.MaxHolders:
		u.current.total = max(0, u.current.total+work)
		return
	default:
		if _, former := u.former.work[holder]; former {
			u.returned++
		}
	}
	work = max(work, -sum)
	u.current.work[holder] = sum + work
	u.current.total += work
}

// advance begins a new window if the current one is over.
func (u *Usage[K]) advance(now time.Time) {
	age := now.Sub(u.current.startedAt)
	if age < u.Window {
		return
	}
	u.former, u.returned = u.current, 0
	u.current = period[K]{startedAt: now.Add(-age % u.Window), work: map[K]time.Duration{}}
	if age >= 2*u.Window {
		u.former, u.current.startedAt = period[K]{}, now
	}
}

// formerWeight returns the part of the former window that the sliding window
// covers.
func (u *Usage[K]) formerWeight(now time.Time) float64 {
	return 1 - min(1, float64(now.Sub(u.current.startedAt))/float64(u.Window))
}

// Of returns the work of a holder.
func (u *Usage[K]) Of(now time.Time, holder K) time.Duration {
	u.advance(now)
	return u.current.work[holder] + time.Duration(u.formerWeight(now)*float64(u.former.work[holder]))
}

// Total returns the work of all holders.
func (u *Usage[K]) Total(now time.Time) time.Duration {
	u.advance(now)
	return u.current.total + time.Duration(u.formerWeight(now)*float64(u.former.total))
}

// Holders returns the number of holders. Those that were seen in the former
// window only count in part.
func (u *Usage[K]) Holders(now time.Time) float64 {
	u.advance(now)
	return float64(len(u.current.work)) + u.formerWeight(now)*float64(len(u.former.work)-u.returned)
}

// Share returns a holder's share of the work, 0 if there was none.
func (u *Usage[K]) Share(now time.Time, holder K) float64 {
	total := u.Total(now)
	if total <= 0 {
		return 0
	}
	return float64(u.Of(now, holder)) / float64(total)
}
