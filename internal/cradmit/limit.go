package cradmit

import (
	"time"

	"cardamomring.dev/pkg/crdoc"
)

const (
	// windowTime is the shortest time between two looks at the latency.
	windowTime = 500 * time.Millisecond
	// windowLong closes a window that has few answers.
	windowLong = 2 * time.Second
	// windowAnswers closes a window after windowTime.
	windowAnswers = 100
	// windowFew is the fewest answers that a decision rests on.
	windowFew = 5

	// growRatio is the latency over its floor up to which the limit grows.
	growRatio = 1.08
	// fallRatio is the latency over its floor from which the limit falls.
	fallRatio = 1.2
	// aimRatio is the latency over its floor that a fall aims at.
	aimRatio = 1.05
	// coldRatio is a latency jump that means a cold backend server.
	coldRatio = 4.0
	// pressedShare is the share of starts that reach a limit in use.
	pressedShare = 0.25
	// growShare is the growth in one window.
	growShare = 0.125
	// fallMin bounds the fall in one window.
	fallMin = 0.5
	// shedShare is what is left of the limit after a shed.
	shedShare = 0.8
	// timeoutShare is what is left of the limit after a time-out.
	timeoutShare = 0.5

	// failuresMax in a row mean a cold or broken backend server.
	failuresMax = 3
	// errorsMax errors in a row mean the same.
	errorsMax = 10
	// probeWait is the pause before the first probe of a failing server.
	probeWait = 100 * time.Millisecond
	// probeWaitMax bounds the pause, which doubles with each failed probe.
	probeWaitMax = 2 * time.Second
	// ceilingHold is how long a limit that failed isn't tried again.
	ceilingHold = 10 * time.Second
	// ceilingHoldMax bounds the hold, which doubles with each failure.
	ceilingHoldMax = 2 * time.Minute

	// dipEvery is how many windows of raised latency come before a dip,
	// which measures the unloaded latency again.
	dipEvery = 40
	// dipShare is the share of the limit during a dip.
	dipShare = 0.6
)

// limit is the adaptive concurrency limit. It learns from answers alone.
type limit struct {
	doc   crdoc.Limit
	value float64
	// epoch counts collapses; results of an earlier epoch say nothing.
	epoch int
	// begin is where it starts again after a collapse: the document's start,
	// or less when that was too much.
	begin float64
	// failures counts failed results since the last whole answer, errors
	// those that came as an answer.
	failures int
	errors   int
	// cut is when the limit last fell; failures of requests that started
	// before it are the same overload.
	cut time.Time

	// opened is when the window began.
	opened  time.Time
	answers int
	// starts counts the window's starts, pressed those that reached the limit.
	starts  int
	pressed int
	// raised counts windows with a raised latency since the last dip.
	raised int
	dipped bool

	// ceiling is the limit that failed; growth stops below it until lifted.
	ceiling float64
	lifted  time.Time
	hold    time.Duration

	// probing says that the backend server fails: one request at a time
	// runs, none before probeAt.
	probing bool
	probeAt time.Time
	wait    time.Duration
}

// reset begins at the document's start.
func (l *limit) reset(doc crdoc.Limit, now time.Time) {
	start := float64(doc.Start)
	*l = limit{doc: doc, value: start, begin: start, epoch: l.epoch + 1, opened: now, hold: ceilingHold, wait: probeWait}
}

// update takes a changed document and keeps what was learnt.
func (l *limit) update(doc crdoc.Limit) {
	l.doc = doc
	l.value = min(l.value, float64(doc.Max))
	l.begin = min(l.begin, float64(doc.Start))
}

// at returns the limit in force.
func (l *limit) at(now time.Time) int {
	switch {
	case l.probing && now.Before(l.probeAt):
		return 0
	case l.probing:
		return 1
	case l.dipped:
		return max(1, int(l.value*dipShare))
	default:
		return max(1, int(l.value))
	}
}

// done takes a whole answer.
func (l *limit) done(now time.Time) {
	l.failures, l.errors = 0, 0
	l.answers++
	if !l.probing {
		return
	}
	l.probing, l.wait = false, probeWait
	l.value = l.begin
	l.open(now)
}

// fail takes a failed result of a request that started at started. It
// returns true when the limit collapses.
func (l *limit) fail(result Result, started, now time.Time) bool {
	if result == ResultError {
		l.errors++
	} else {
		l.failures++
	}
	if l.probing {
		l.probeAt = now.Add(l.wait)
		l.wait = min(2*l.wait, probeWaitMax)
		return false
	}
	if result == ResultUnreachable || l.failures >= failuresMax || l.errors >= errorsMax {
		l.collapse(now)
		return true
	}
	if result == ResultError || !started.After(l.cut) {
		return false
	}
	l.hit(now)
	if result == ResultTimeout {
		l.fall(timeoutShare, now)
	} else {
		l.fall(shedShare, now)
	}
	return false
}

// hit remembers the limit that failed.
func (l *limit) hit(now time.Time) {
	l.ceiling = l.value
	l.lifted = now.Add(l.hold)
	l.hold = min(2*l.hold, ceilingHoldMax)
}

// fall multiplies the limit by a share, down to 1.
func (l *limit) fall(share float64, now time.Time) {
	l.value = max(1, l.value*share)
	l.cut = now
}

// collapse goes back to the beginning: the backend server is cold or broken.
func (l *limit) collapse(now time.Time) {
	l.epoch++
	l.errors = 0
	// A limit that fails where it began was too much for a cold server.
	if l.value <= l.begin {
		l.begin = max(1, l.begin/2)
	}
	l.hit(now)
	l.value = l.begin
	l.probing, l.probeAt = true, now.Add(l.wait)
	l.wait = min(2*l.wait, probeWaitMax)
	l.open(now)
	l.raised, l.dipped = 0, false
}

// open begins a window.
func (l *limit) open(now time.Time) {
	l.opened, l.answers, l.starts, l.pressed = now, 0, 0, 0
}

// started takes a start, and whether it reached the limit.
func (l *limit) started(reached bool) {
	l.starts++
	if reached {
		l.pressed++
	}
}

// due tells whether the window is over.
func (l *limit) due(now time.Time) bool {
	age := now.Sub(l.opened)
	return (age >= windowTime && l.answers >= windowAnswers) || age >= windowLong
}

// close ends the window with the mean latency over its floor. It returns
// true when the limit collapses.
func (l *limit) close(ratio float64, now time.Time) bool {
	enough, dipped := l.answers >= windowFew, l.dipped
	used := float64(l.pressed) > pressedShare*float64(l.starts)
	l.open(now)
	l.dipped = false
	switch {
	case !enough || dipped || l.probing:
	case ratio >= coldRatio && l.value > float64(l.doc.Start):
		l.collapse(now)
		return true
	case ratio >= fallRatio:
		l.fall(max(fallMin, aimRatio/ratio), now)
	case ratio <= growRatio && used:
		l.grow(now)
	}
	if enough && ratio > growRatio {
		l.raised++
	}
	if l.raised >= dipEvery {
		l.raised, l.dipped = 0, true
	}
	return false
}

// grow raises the limit by one step, below a ceiling that holds.
func (l *limit) grow(now time.Time) {
	top := float64(l.doc.Max)
	if l.ceiling > 0 && now.Before(l.lifted) {
		top = min(top, max(1, l.ceiling-1))
	}
	l.value = max(l.value, min(top, l.value+max(1, l.value*growShare)))
	if l.value > l.ceiling {
		l.ceiling, l.hold = 0, ceilingHold
	}
	if l.value > float64(l.doc.Start) {
		l.begin = float64(l.doc.Start)
	}
}
