package cradmit

import (
	"math"
	"time"
)

const (
	// floorWindows is how many windows the latency floor looks back.
	floorWindows = 60
	// floorMargin widens a window's mean by its statistical error, so that
	// a window that was low by chance doesn't become the floor.
	floorMargin = 1.5
)

// floor compares a class's latency with its own recent minimum.
type floor struct {
	sum   time.Duration
	count int
	means [floorWindows]float64
	next  int
	held  int
}

// add records an answer in the window.
func (f *floor) add(latency time.Duration) {
	f.sum += latency
	f.count++
}

// close ends the window. It returns the mean latency over the recent
// minimum, and how many answers that rests on.
func (f *floor) close() (ratio float64, count int) {
	if f.count == 0 {
		return 1, 0
	}
	count = f.count
	mean := float64(f.sum) / float64(count)
	f.means[f.next] = mean * (1 + floorMargin/math.Sqrt(float64(count)))
	f.next = (f.next + 1) % floorWindows
	f.held = min(f.held+1, floorWindows)
	f.sum, f.count = 0, 0
	low := math.Inf(1)
	for _, m := range f.means[:f.held] {
		low = min(low, m)
	}
	return mean / low, count
}

// forget drops everything learnt.
func (f *floor) forget() { *f = floor{} }
