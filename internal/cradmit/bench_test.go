package cradmit_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// The benchmarks run in virtual time, so their figures don't depend on the
// machine: go test -run '^$' -bench . -benchtime 1x ./internal/cradmit

const (
	// workers is how many requests a warm server runs concurrently.
	workers = 32
	// serviceTime is the mean service time of a request.
	serviceTime = 20 * time.Millisecond
	// deadline is the time that a caller waits for an answer.
	deadline = 2 * time.Second
)

// capacity is the throughput of a warm server, in requests per second.
var capacity = float64(workers) / serviceTime.Seconds()

// benchLimit is the limit in the service document of the benchmarks.
var benchLimit = crdoc.Limit{Start: 4, Max: 256, Headroom: 0.2}

// limiterKinds are the limiters compared by the benchmarks.
var limiterKinds = []string{"cardamomring", "fixed"}

const (
	// spikeCalls is the number of simultaneous priority calls in a spike.
	spikeCalls = workers * 3 / 4
	// spikeInterval is the interval between spikes.
	spikeInterval = 500 * time.Millisecond
)

// newLimiter returns a limiter of the given kind for a server.
func newLimiter(kind string, s *sim, v *server) limiter {
	doc := document(benchLimit)
	switch kind {
	case "fixed":
		return &fixedLimiter{sim: s, server: v, limit: v.warmWorkers}
	case "bounded":
		return &fixedLimiter{sim: s, server: v, limit: v.warmWorkers, maxQueue: v.warmWorkers}
	case "no-preemption":
		// Requests that may not be repeated are never preempted.
		for i := range doc.Classes {
			doc.Classes[i].Repeatable = false
		}
	}
	return newAdmissionLimiter(s, v, doc)
}

// priorityBurst warms up a server with routine calls, continues with the given
// routine load, and returns the delays of a burst of priority calls: a stream at
// half the capacity, or spikes.
func priorityBurst(kind string, load float64, spikes bool) []time.Duration {
	const from, to = 60 * time.Second, 70 * time.Second
	s := newSim()
	l := newLimiter(kind, s, newServer(s, workers))
	offer := func(class string, onEnd func(cradmit.Result, bool)) func() {
		return func() {
			l.offer(&call{class: class, workTime: s.service(serviceTime), deadline: s.now.Add(deadline), onEnd: onEnd})
		}
	}
	ignore := func(cradmit.Result, bool) {}
	s.arrivals(0, 40*time.Second, 1.2*capacity, offer("balance", ignore))
	s.arrivals(40*time.Second, to, load*capacity, offer("balance", ignore))
	var delays []time.Duration
	offerPriority := func() {
		arrived := s.now
		offer("clocking", func(result cradmit.Result, _ bool) {
			delay := s.now.Sub(arrived)
			if result != cradmit.ResultDone {
				delay = max(delay, deadline)
			}
			delays = append(delays, delay)
		})()
	}
	if !spikes {
		s.arrivals(from, to, capacity/2, offerPriority)
	}
	for at := from; spikes && at < to; at += spikeInterval {
		for range spikeCalls {
			s.after(at, offerPriority)
		}
	}
	s.runUntil(to + 2*deadline)
	return delays
}

func BenchmarkPriorityStream(b *testing.B) { benchPriority(b, false) }

func BenchmarkPrioritySpikes(b *testing.B) { benchPriority(b, true) }

// benchPriority logs the delay of priority calls by limiter and routine load.
func benchPriority(b *testing.B, spikes bool) {
	b.Helper()
	for b.Loop() {
		for _, kind := range []string{"cardamomring", "no-preemption", "fixed"} {
			alone := quantile(priorityBurst(kind, 0, spikes), 0.99)
			text := fmt.Sprintf("%-13s alone p99 %v", kind, alone.Round(time.Millisecond/10))
			for _, load := range []float64{0.5, 1, 2} {
				delays := priorityBurst(kind, load, spikes)
				p99 := quantile(delays, 0.99)
				ratio := float64(p99) / float64(alone)
				text += fmt.Sprintf("; routine %.0f%%: p50 %v p99 %v p99.9 %v, %.2f of alone",
					100*load, quantile(delays, 0.5).Round(time.Millisecond/10),
					p99.Round(time.Millisecond/10), quantile(delays, 0.999).Round(time.Millisecond/10), ratio)
				if load == 2 {
					b.ReportMetric(ratio, kind+"-p99-ratio")
				}
			}
			b.Log(text)
		}
	}
}

// coldStart offers 1.5 times the warm capacity to a server from its start on. At
// coldAgain, the server turns cold without failing a request.
func coldStart(kind string, overloadFactor float64) *server {
	s := newSim()
	v := newServer(s, workers)
	v.coldWorkers, v.warmUpTime, v.overloadFactor = 4, 20*time.Second, overloadFactor
	l := newLimiter(kind, s, v)
	s.arrivals(0, coldEnd, 1.5*capacity, func() {
		l.offer(&call{
			class: "balance", workTime: s.service(serviceTime), deadline: s.now.Add(deadline),
			onEnd: func(cradmit.Result, bool) {},
		})
	})
	s.after(coldAgain, func() { v.startedAt = s.now })
	s.runUntil(coldEnd)
	return v
}

const (
	coldAgain = 60 * time.Second
	coldEnd   = 100 * time.Second
)

// overloadCounts returns the number of requests above the server's maximum in the
// first second after each cold start, and later.
func (v *server) overloadCounts() (first, later int) {
	for second, n := range v.overloads {
		if second == 0 || second == int(coldAgain/time.Second) {
			first += n
		} else {
			later += n
		}
	}
	return first, later
}

func BenchmarkColdServer(b *testing.B) {
	for b.Loop() {
		for _, factor := range []float64{2, 1.5, 1.25} {
			for _, kind := range limiterKinds {
				v := coldStart(kind, factor)
				first, later := v.overloadCounts()
				b.Logf("%-13s up to %.2f requests per worker: %d overloads in the first second after a cold start, %d later, %d crashes",
					kind, factor, first, later, v.crashes)
				b.ReportMetric(float64(later), fmt.Sprintf("%s-beyond-at-%.2f", kind, factor))
				if kind != "fixed" && factor == 2 {
					b.Log(v.peaksBySecond())
				}
			}
		}
	}
}

// peaksBySecond formats the largest number of requests on the server by second.
func (v *server) peaksBySecond() string {
	out := "peak requests by second:"
	for second := range int(coldEnd / time.Second) {
		if second < 25 || second >= 58 && second < 85 {
			out += fmt.Sprintf(" %d:%d", second, v.peaks[second])
		}
	}
	return out
}

func BenchmarkGoodput(b *testing.B) {
	const from, to = 30 * time.Second, 60 * time.Second
	for b.Loop() {
		for _, kind := range []string{"cardamomring", "fixed", "bounded"} {
			s := newSim()
			l := newLimiter(kind, s, newServer(s, workers))
			done, late, refused := 0, 0, 0
			s.arrivals(0, to, 3*capacity, func() {
				end := s.now.Add(deadline / 4)
				l.offer(&call{
					class: "balance", workTime: s.service(serviceTime), deadline: end,
					onEnd: func(result cradmit.Result, notRun bool) {
						switch {
						case s.elapsed() < from:
						case notRun:
							refused++
						case result == cradmit.ResultDone && !s.now.After(end):
							done++
						default:
							late++
						}
					},
				})
			})
			s.runUntil(to)
			share := float64(done) / (capacity * (to - from).Seconds())
			b.Logf("%-13s 3x load: %.1f%% of capacity in time, %d late, %d refused", kind, 100*share, late, refused)
			b.ReportMetric(share, kind+"-goodput")
		}
	}
}
