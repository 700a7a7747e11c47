package crshare

import "time"

const (
	// shareTolerance is how many times an equal share an account may have got
	// before it goes after the others. Below it the difference costs the others
	// less than a change of the order.
	shareTolerance = 1.25
	// chanceRequests is how many requests beyond that an account may have got:
	// requests that arrive at random come in small groups.
	chanceRequests = 3
	// minimumMargin is how many times its minimum a route must have got before it
	// waits like the others, because its flows don't wait at every moment.
	minimumMargin = 1.5
)

// Limit returns the work up to which an account is within its share. It answers
// callers who compete for too little room: one account sends many times as much as
// its neighbours, or tries again at once whenever it is refused. While others wait,
// accounts beyond the limit go after them, the one that got most last. That
// approaches max-min fairness: accounts that want less than an equal share get what
// they want, and the others get equal parts of the rest. The work is that of all
// accounts, with that of the requests that wait; request is the work of an average
// one.
func Limit(work time.Duration, accounts float64, request time.Duration) time.Duration {
	equalShare := float64(work) / max(1, accounts)
	return time.Duration(shareTolerance*equalShare) + chanceRequests*request
}

// Minimum returns the share of the work that each of some routes gets when it
// needs it; reserve is the share that is divided between all of them.
func Minimum(reserve, routes float64) float64 { return reserve / max(1, routes) }

// Starved reports whether a route has got less than its minimum while one of its
// flows has waited for at least half of its target latency. It answers a burst on
// an urgent route that takes all room: the other routes wait for their turn as
// long as they can, then get their minimum. What a route doesn't need, the others
// may use.
func Starved[K comparable](now time.Time, u *Usage[K], route K, reserve float64, waited, target time.Duration) bool {
	return waited >= target/2 && BelowMinimum(now, u, route, reserve)
}

// BelowMinimum reports whether a route has got less than its minimum, or so little
// more that it would fall below it.
func BelowMinimum[K comparable](now time.Time, u *Usage[K], route K, reserve float64) bool {
	return u.Share(now, route) < minimumMargin*Minimum(reserve, u.Holders(now))
}
