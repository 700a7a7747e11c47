package cradmit

import (
	"time"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// minWindow is the shortest measurement window.
	minWindow = 500 * time.Millisecond
	// maxWindow is the age at which a window ends even with few answers.
	maxWindow = 2 * time.Second
	// fullWindowAnswers is the number of answers that ends a window older than
	// minWindow.
	fullWindowAnswers = 100
	// minWindowAnswers is the fewest answers in a window from which the limit
	// is adjusted.
	minWindowAnswers = 5

	// growLatencyRatio is the highest ratio of latency to latency floor at
	// which the limit grows.
	growLatencyRatio = 1.08
	// reduceLatencyRatio is the lowest ratio at which the limit is reduced.
	reduceLatencyRatio = 1.2
	// targetLatencyRatio is the ratio that a reduction aims at.
	targetLatencyRatio = 1.05
	// coldLatencyRatio is the ratio that indicates a cold backend server.
	coldLatencyRatio = 4.0
	// minAtLimitShare is the share of starts at the limit above which the limit
	// counts as used and may grow.
	minAtLimitShare = 0.25
	// growthShare is the growth per window, as a share of the limit.
	growthShare = 0.125
	// minReduceFactor bounds the reduction per window that latency causes.
	minReduceFactor = 0.5
	// shedFactor reduces the limit after the backend server shed a request.
	shedFactor = 0.8
	// timeoutFactor reduces the limit after a timeout.
	timeoutFactor = 0.5

	// maxFailures is the number of failures in a row that indicates a cold or
	// failing backend server.
	maxFailures = 3
	// maxErrors is the number of error answers in a row that indicates a failing
	// backend server. It is higher than maxFailures because one caller's
	// requests can cause a few errors.
	maxErrors = 10
	// minProbeDelay is the delay before the first probe of a failing backend
	// server.
	minProbeDelay = 100 * time.Millisecond
	// maxProbeDelay bounds the delay, which doubles with each failed probe.
	maxProbeDelay = 2 * time.Second
	// minCeilingHold is how long the limit stays below a value that failed.
	minCeilingHold = 10 * time.Second
	// maxCeilingHold bounds this time, which doubles with each failure.
	maxCeilingHold = 2 * time.Minute

	// remeasureEvery is the number of windows with high latency after which one
	// window runs at a lower limit, to measure the unloaded latency again.
	remeasureEvery = 40
	// remeasureShare is the share of the limit used in that window.
	remeasureShare = 0.6
)

// limit is the adaptive concurrency limit of a backend server. Only the results
// of requests change it; health and load endpoints are not used.
type limit struct {
	doc   crdoc.Limit
	value float64
	// epoch increases with each collapse. Results of requests that started in an
	// earlier epoch are ignored.
	epoch int
	// restartValue is the limit after a collapse: the configured start, or less
	// when the backend server failed at that limit.
	restartValue float64
	// failures and errors count the failed results since the last complete
	// answer without an error: errors those of type ResultError, failures all
	// others.
	failures int
	errors   int
	// reducedAt is when the limit was last reduced. Failures of requests that
	// started earlier belong to the same overload and don't reduce it again.
	reducedAt time.Time

	windowStart time.Time
	answers     int
	// starts counts the starts in the window, startsAtLimit those of them that
	// reached the limit.
	starts        int
	startsAtLimit int
	// highLatencyWindows counts the windows with high latency since the unloaded
	// latency was last measured.
	highLatencyWindows int
	// remeasuring is set during the window that measures the unloaded latency.
	remeasuring bool

	// ceiling is the last limit that failed. Growth stops below it until
	// ceilingUntil; ceilingHold is the duration of the next hold.
	ceiling      float64
	ceilingUntil time.Time
	ceilingHold  time.Duration

	// probing is set while the backend server is failing: one request runs at
	// a time, and none before probeAt. probeDelay is the next delay.
	probing    bool
	probeAt    time.Time
	probeDelay time.Duration
}

// reset sets the limit to the configured start and discards all measurements.
func (l *limit) reset(doc crdoc.Limit, now time.Time) {
	start := float64(doc.Start)
	*l = limit{doc: doc, value: start, restartValue: start, epoch: l.epoch + 1, windowStart: now, ceilingHold: minCeilingHold, probeDelay: minProbeDelay}
}

// update applies a changed configuration and keeps the measurements.
func (l *limit) update(doc crdoc.Limit) {
	l.doc = doc
	l.value = min(l.value, float64(doc.Max))
	l.restartValue = min(l.restartValue, float64(doc.Start))
}

// current returns the number of requests that may run now.
func (l *limit) current(now time.Time) int {
	switch {
	case l.probing && now.Before(l.probeAt):
		return 0
	case l.probing:
		return 1
	case l.remeasuring:
		return max(1, int(l.value*remeasureShare))
	default:
		return max(1, int(l.value))
	}
}

// recordSuccess records a complete answer. It ends probing.
func (l *limit) recordSuccess(now time.Time) {
	l.failures, l.errors = 0, 0
	l.answers++
	if !l.probing {
		return
	}
	l.probing, l.probeDelay = false, minProbeDelay
	l.value = l.restartValue
	l.openWindow(now)
}

// recordFailure records a failed result of a request that started at started.
// It reports whether the limit collapsed.
func (l *limit) recordFailure(result Result, started, now time.Time) bool {
	if result == ResultError {
		l.errors++
	} else {
		l.failures++
	}
	if l.probing {
		l.probeAt = now.Add(l.probeDelay)
		l.probeDelay = min(2*l.probeDelay, maxProbeDelay)
		return false
	}
	if result == ResultUnreachable || l.failures >= maxFailures || l.errors >= maxErrors {
		l.collapse(now)
		return true
	}
	if result == ResultError || !started.After(l.reducedAt) {
		return false
	}
	l.setCeiling(now)
	if result == ResultTimeout {
		l.reduce(timeoutFactor, now)
	} else {
		l.reduce(shedFactor, now)
	}
	return false
}

// setCeiling keeps the limit below its current value for ceilingHold.
func (l *limit) setCeiling(now time.Time) {
	l.ceiling = l.value
	l.ceilingUntil = now.Add(l.ceilingHold)
	l.ceilingHold = min(2*l.ceilingHold, maxCeilingHold)
}

// reduce multiplies the limit by factor, down to 1.
func (l *limit) reduce(factor float64, now time.Time) {
	l.value = max(1, l.value*factor)
	l.reducedAt = now
}

// collapse returns to restartValue and starts probing, because the backend
// server is cold or failing.
func (l *limit) collapse(now time.Time) {
	l.epoch++
	l.errors = 0
	// A limit that fails at restartValue is too high for a cold backend server.
	if l.value <= l.restartValue {
		l.restartValue = max(1, l.restartValue/2)
	}
	l.setCeiling(now)
	l.value = l.restartValue
	l.probing, l.probeAt = true, now.Add(l.probeDelay)
	l.probeDelay = min(2*l.probeDelay, maxProbeDelay)
	l.openWindow(now)
	l.highLatencyWindows, l.remeasuring = 0, false
}

// openWindow starts a measurement window.
func (l *limit) openWindow(now time.Time) {
	l.windowStart, l.answers, l.starts, l.startsAtLimit = now, 0, 0, 0
}

// recordStart counts a started request. atLimit reports whether it started at
// the limit.
func (l *limit) recordStart(atLimit bool) {
	l.starts++
	if atLimit {
		l.startsAtLimit++
	}
}

// windowOver reports whether the measurement window has ended.
func (l *limit) windowOver(now time.Time) bool {
	age := now.Sub(l.windowStart)
	return (age >= minWindow && l.answers >= fullWindowAnswers) || age >= maxWindow
}

// closeWindow adjusts the limit at the end of a window and opens the next one.
// ratio is the mean latency divided by the latency floor. It reports whether the
// limit collapsed.
func (l *limit) closeWindow(ratio float64, now time.Time) bool {
	enough, remeasured := l.answers >= minWindowAnswers, l.remeasuring
	used := float64(l.startsAtLimit) > minAtLimitShare*float64(l.starts)
	l.openWindow(now)
	l.remeasuring = false
	switch {
	case !enough || remeasured || l.probing:
	case ratio >= coldLatencyRatio && l.value > float64(l.doc.Start):
		l.collapse(now)
		return true
	case ratio >= reduceLatencyRatio:
		l.reduce(max(minReduceFactor, targetLatencyRatio/ratio), now)
	case ratio <= growLatencyRatio && used:
		l.grow(now)
	}
	if enough && ratio > growLatencyRatio {
		l.highLatencyWindows++
	}
	if l.highLatencyWindows >= remeasureEvery {
		l.highLatencyWindows, l.remeasuring = 0, true
	}
	return false
}

// grow raises the limit by one step. It stays below the ceiling until
// ceilingUntil.
func (l *limit) grow(now time.Time) {
	top := float64(l.doc.Max)
	if l.ceiling > 0 && now.Before(l.ceilingUntil) {
		top = min(top, max(1, l.ceiling-1))
	}
	l.value = max(l.value, min(top, l.value+max(1, l.value*growthShare)))
	if l.value > l.ceiling {
		l.ceiling, l.ceilingHold = 0, minCeilingHold
	}
	if l.value > float64(l.doc.Start) {
		l.restartValue = float64(l.doc.Start)
	}
}
