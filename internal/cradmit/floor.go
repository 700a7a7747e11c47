package cradmit

import (
	"math"
	"time"
)

const (
	// floorWindows is how many windows the latency floor looks back.
	floorWindows = 60
	// floorMargin is how many standard errors a window's mean is raised by,
	// so that a window that was low by chance doesn't become the floor.
	floorMargin = 2.5
	// judgeMargin is how many standard errors the mean that is compared is
	// lowered by, so that few answers don't shrink the limit.
	judgeMargin = 1.5
	// reachedFew is how many requests that started at the limit tell about it.
	reachedFew = 50
)

// floor compares a class's latency with its own recent minimum.
type floor struct {
	// sum and squares add up the window's latencies in seconds.
	sum     float64
	squares float64
	count   int
	// pressed and reached are the sum and count of those latencies whose
	// request started at the limit.
	pressed float64
	reached int
	means   [floorWindows]float64
	next    int
	held    int
}

// add records an answer in the window, and whether its request started at
// the limit.
func (f *floor) add(latency time.Duration, reached bool) {
	seconds := latency.Seconds()
	if reached {
		f.pressed += seconds
		f.reached++
	}
	f.sum += seconds
	f.squares += seconds * seconds
	f.count++
}

// close ends the window. It returns the mean latency over the recent
// minimum, and how many answers that rests on. The requests that started at
// the limit tell how the limit does; without them all must do.
func (f *floor) close() (ratio float64, count int) {
	if f.count == 0 {
		return 1, 0
	}
	count = f.count
	n := float64(count)
	mean := f.sum / n
	variance := max(0, f.squares/n-mean*mean)
	f.means[f.next] = mean + floorMargin*math.Sqrt(variance/n)
	f.next = (f.next + 1) % floorWindows
	f.held = min(f.held+1, floorWindows)
	if f.reached >= reachedFew {
		n = float64(f.reached)
		mean = f.pressed / n
	}
	mean -= judgeMargin * math.Sqrt(variance/n)
	f.sum, f.squares, f.count = 0, 0, 0
	f.pressed, f.reached = 0, 0
	low := math.Inf(1)
	for _, m := range f.means[:f.held] {
		low = min(low, m)
	}
	return mean / low, count
}

// forget drops everything learnt.
func (f *floor) forget() { *f = floor{} }
