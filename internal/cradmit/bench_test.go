package cradmit_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// The benchmarks run in virtual time and print figures that don't depend on
// the machine: go test -run '^$' -bench . -benchtime 1x ./internal/cradmit

const (
	// workers is how many requests a warm server runs at once.
	workers = 32
	// serviceTime is the mean service time of a request.
	serviceTime = 20 * time.Millisecond
	// deadline bounds each call.
	deadline = 2 * time.Second
)

// capacity is what a warm server runs, in requests a second.
var capacity = float64(workers) / serviceTime.Seconds()

// benchLimit is the limit of the benchmarks' document.
var benchLimit = crdoc.Limit{Start: 4, Max: 256, Headroom: 0.2}

// kinds are the gates that are compared.
var kinds = []string{"cardamomring", "fixed"}

const (
	// spikeCalls is how many priority calls of a spike come at once.
	spikeCalls = workers * 3 / 4
	// spikeEvery is the time between two spikes.
	spikeEvery = 500 * time.Millisecond
)

// newGate returns a gate of a kind before a server.
func newGate(kind string, s *sim, v *server) gate {
	doc := document(benchLimit)
	switch kind {
	case "fixed":
		return &fixed{sim: s, server: v, limit: v.full}
	case "bounded":
		return &fixed{sim: s, server: v, limit: v.full, bound: v.full}
	case "no-preemption":
		// What may not be repeated is not preempted.
		for i := range doc.Classes {
			doc.Classes[i].Repeat = false
		}
	}
	return newAdmitted(s, v, doc)
}

// priorityBurst warms a server up with routine calls, goes on with a load of
// them, and returns the delays of a burst of priority calls: a stream of half
// the capacity, or spikes.
func priorityBurst(kind string, load float64, spikes bool) []time.Duration {
	const from, to = 60 * time.Second, 70 * time.Second
	s := newSim()
	g := newGate(kind, s, newServer(s, workers))
	offer := func(class string, ended func(cradmit.Result, bool)) func() {
		return func() {
			g.offer(&call{class: class, size: s.service(serviceTime), deadline: s.now.Add(deadline), ended: ended})
		}
	}
	ignore := func(cradmit.Result, bool) {}
	s.arrivals(0, 40*time.Second, 1.2*capacity, offer("balance", ignore))
	s.arrivals(40*time.Second, to, load*capacity, offer("balance", ignore))
	var delays []time.Duration
	post := func() {
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
		s.arrivals(from, to, capacity/2, post)
	}
	for at := from; spikes && at < to; at += spikeEvery {
		for range spikeCalls {
			s.after(at, post)
		}
	}
	s.runUntil(to + 2*deadline)
	return delays
}

func BenchmarkPriorityStream(b *testing.B) { benchPriority(b, false) }

func BenchmarkPrioritySpikes(b *testing.B) { benchPriority(b, true) }

// benchPriority prints the delay of priority calls by gate and routine load.
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

// coldStart offers more than a server's full capacity from its start on, and
// turns it cold without a word at coldAgain.
func coldStart(kind string, bears float64) *server {
	s := newSim()
	v := newServer(s, workers)
	v.cold, v.warm, v.bears = 4, 20*time.Second, bears
	g := newGate(kind, s, v)
	s.arrivals(0, coldEnd, 1.5*capacity, func() {
		g.offer(&call{
			class: "balance", size: s.service(serviceTime), deadline: s.now.Add(deadline),
			ended: func(cradmit.Result, bool) {},
		})
	})
	s.after(coldAgain, func() { v.born = s.now })
	s.runUntil(coldEnd)
	return v
}

const (
	coldAgain = 60 * time.Second
	coldEnd   = 100 * time.Second
)

// beyond counts the requests beyond what the server bore in the first second
// after each start, and later.
func (v *server) beyond() (first, later int) {
	for second, n := range v.over {
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
		for _, bears := range []float64{2, 1.5, 1.25} {
			for _, kind := range kinds {
				v := coldStart(kind, bears)
				first, later := v.beyond()
				b.Logf("%-13s bears %.2f of its workers: %d beyond in the first second after a start, %d later, fell %d times",
					kind, bears, first, later, v.falls)
				b.ReportMetric(float64(later), fmt.Sprintf("%s-beyond-at-%.2f", kind, bears))
				if kind != "fixed" && bears == 2 {
					b.Log(v.seconds())
				}
			}
		}
	}
}

// seconds lists the most requests inside by second.
func (v *server) seconds() string {
	out := "most inside, second by second:"
	for second := range int(coldEnd / time.Second) {
		if second < 25 || second >= 58 && second < 85 {
			out += fmt.Sprintf(" %d:%d", second, v.peak[second])
		}
	}
	return out
}

func BenchmarkGoodput(b *testing.B) {
	const from, to = 30 * time.Second, 60 * time.Second
	for b.Loop() {
		for _, kind := range []string{"cardamomring", "fixed", "bounded"} {
			s := newSim()
			g := newGate(kind, s, newServer(s, workers))
			done, late, refused := 0, 0, 0
			s.arrivals(0, to, 3*capacity, func() {
				end := s.now.Add(deadline / 4)
				g.offer(&call{
					class: "balance", size: s.service(serviceTime), deadline: end,
					ended: func(result cradmit.Result, not bool) {
						switch {
						case s.elapsed() < from:
						case not:
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
			b.Logf("%-13s 3x load: %.1f%% of capacity in time, %d late, %d refused as not run", kind, 100*share, late, refused)
			b.ReportMetric(share, kind+"-goodput")
		}
	}
}
