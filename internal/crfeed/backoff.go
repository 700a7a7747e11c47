package crfeed

import "time"

const (
	// backoffMin is the pause after the first failed round of sources.
	backoffMin = 100 * time.Millisecond
	// backoffMax bounds the pause.
	backoffMax = 2 * time.Second
	// roundsMax bounds the doublings.
	roundsMax = 8
)

// BackoffPause returns the pause after a number of failures in a row: it doubles
// with each round over all sources, up to a bound, and lies between half and
// the whole of that. Random is from 0 to 1.
func BackoffPause(failures, sources int, random float64) time.Duration {
	rounds := min((failures-1)/sources, roundsMax)
	pause := min(backoffMin<<rounds, backoffMax)
	return pause/2 + time.Duration(random*float64(pause/2))
}
