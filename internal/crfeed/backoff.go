package crfeed

import "time"

const (
	// backoffBase is the upper limit of the pause during the first round over the
	// sources.
	backoffBase = 100 * time.Millisecond
	// backoffMax is the upper limit of every pause.
	backoffMax = 2 * time.Second
	// doublingsMax limits how often backoffBase is doubled.
	doublingsMax = 8
)

// BackoffPause returns the pause after a number of consecutive failures. The
// upper limit of the pause doubles with each round over all sources, up to
// backoffMax. The parameter random, from 0 to 1, selects a pause between half of
// the upper limit and the whole.
func BackoffPause(failures, sources int, random float64) time.Duration {
	rounds := min((failures-1)/sources, doublingsMax)
	pause := min(backoffBase<<rounds, backoffMax)
	return pause/2 + time.Duration(random*float64(pause/2))
}
