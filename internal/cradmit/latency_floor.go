package cradmit

import (
	"math"
	"time"
)

const (
	// floorWindows is the number of recent windows that the floor covers.
	floorWindows = 60
	// floorStdErrors raises the mean of a window by this many standard errors,
	// so that random variation doesn't produce too low a floor.
	floorStdErrors = 2.5
	// meanStdErrors lowers the mean compared with the floor by this many
	// standard errors, so that a small sample doesn't reduce the limit.
	meanStdErrors = 1.5
	// minAtLimitAnswers is how many answers to requests that started at the limit
	// are needed to use only these for the comparison.
	minAtLimitAnswers = 50
)

// latencyFloor compares the mean latency of a class with its floor, the lowest
// mean of recent windows. The floor approximates the latency of an unloaded
// backend server.
type latencyFloor struct {
	// sum, sumSquares and count cover the latencies of the current window, in
	// seconds.
	sum        float64
	sumSquares float64
	count      int
	// sumAtLimit and countAtLimit cover the requests that started at the limit.
	sumAtLimit   float64
	countAtLimit int
	// windowMeans is a ring buffer: next is the next index to write, filled the
	// number of valid entries.
	windowMeans [floorWindows]float64
	next        int
	filled      int
}

// add records the latency of an answer. atLimit reports whether its request
// started at the limit.
func (f *latencyFloor) add(latency time.Duration, atLimit bool) {
	seconds := latency.Seconds()
	if atLimit {
		f.sumAtLimit += seconds
		f.countAtLimit++
	}
	f.sum += seconds
	f.sumSquares += seconds * seconds
	f.count++
}

// closeWindow ends the window. It returns the ratio of the window's mean latency
// to the floor, and the number of answers in the window. The mean covers only
// the requests that started at the limit, because these show whether the limit
// is too high. If there are too few of them, it covers all requests.
func (f *latencyFloor) closeWindow() (ratio float64, count int) {
	if f.count == 0 {
		return 1, 0
	}
	count = f.count
	n := float64(count)
	mean := f.sum / n
	variance := max(0, f.sumSquares/n-mean*mean)
	f.windowMeans[f.next] = mean + floorStdErrors*math.Sqrt(variance/n)
	f.next = (f.next + 1) % floorWindows
	f.filled = min(f.filled+1, floorWindows)
	if f.countAtLimit >= minAtLimitAnswers {
		n = float64(f.countAtLimit)
		mean = f.sumAtLimit / n
	}
	mean -= meanStdErrors * math.Sqrt(variance/n)
	f.sum, f.sumSquares, f.count = 0, 0, 0
	f.sumAtLimit, f.countAtLimit = 0, 0
	low := math.Inf(1)
	for _, m := range f.windowMeans[:f.filled] {
		low = min(low, m)
	}
	return mean / low, count
}

// reset discards all measurements.
func (f *latencyFloor) reset() { *f = latencyFloor{} }
