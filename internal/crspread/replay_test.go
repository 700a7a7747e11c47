package crspread_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"cardamomring.dev/internal/crspread"
)

// Load of the replay: a flow a request beside flows that stay open, on servers that
// are busy for two thirds of the time.
const (
	meanWork                = 0.040 // s, on a server of speed 1
	tailShare, tailFactor   = 0.03, 7.0
	keptRequestRate         = 1.0 // requests of a kept flow in a second
	keptShare               = 0.7 // share of requests on kept flows
	targetShare             = 0.65
	keptLife                = 20.0 // s until a kept flow is opened anew
	shortListSize           = 12
	inTime                  = 0.3 // s
	crossPrice              = 75 * time.Millisecond
	replayTime, warmUp      = 9.0, 2.0  // s
	lastingWindow, sampling = 1.5, 0.01 // s
)

// scenario is a load pattern of the replay.
type scenario struct {
	choosers, servers int
	// maxAge is the largest age of a report in seconds; ages are even below it.
	maxAge float64
	// returns is set when all kept flows come back within the first second,
	// changes when servers join, leave and turn slow, priced when
	// crossing zones has a price, and uneven when one of two zones has twice the
	// demand of the other.
	returns, changes, priced, uneven bool
	seed                             uint64
}

// result is how evenly and how well requests were served.
type result struct {
	// spread is the deviation between the servers' shares of busy slots, by
	// second, passed the share of requests that waited while another server of
	// the short list idled, and overrun the longest run in seconds of one server
	// over twice the mean.
	spread, passed, overrun, inTime, crossing float64
}

// sample is a server's state at a time.
type sample struct {
	at     float64
	report crspread.Report
}

type server struct {
	zone, slots, running, kept, joined  int
	speed, lasting, keptLasting, seenAt float64
	keptInProgress                      int
	busyTime, overSince                 float64
	gone                                bool
	queue                               []func()
	history                             []sample
	latency                             float64
	keptRate                            float64
}

type event struct {
	at  float64
	run func()
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// replay runs choosers and servers in virtual time.
type replay struct {
	scenario
	choose                            contender
	rnd                               *rand.Rand
	now                               float64
	events                            events
	all                               []*server
	placed                            map[[2]int][]float64
	pools                             map[[2]int]float64
	spreads, longestRun               float64
	seconds, requests, passed, timely int
	placements, crossings             int
}

func (r *replay) after(d float64, run func()) { heap.Push(&r.events, event{r.now + d, run}) }

// run returns the result of a scenario.
func run(sc scenario, choose contender) result {
	r := &replay{scenario: sc, choose: choose, rnd: rand.New(rand.NewPCG(sc.seed, 1)), placed: map[[2]int][]float64{}, pools: map[[2]int]float64{}}
	capacity := 0.0
	for i := range sc.servers {
		s := &server{zone: i % 2, slots: 2 + r.rnd.IntN(4), speed: []float64{0.6, 1, 1.6}[r.rnd.IntN(3)]}
		s.latency = meanWork / s.speed
		capacity += float64(s.slots) * s.speed
		r.all = append(r.all, s)
	}
	rate := targetShare * capacity / (meanWork * (1 + tailShare*(tailFactor-1)))
	for range int(rate * keptShare / keptRequestRate) {
		zone := r.zone()
		start := r.rnd.Float64()
		if !sc.returns {
			start *= warmUp
		}
		r.after(start, func() { r.openKept(zone) })
	}
	r.after(0, func() { r.arrive(rate * (1 - keptShare)) })
	r.after(sampling, r.sample)
	r.after(1, r.measure)
	if sc.changes {
		r.change()
	}
	for len(r.events) > 0 && r.now < replayTime {
		e := heap.Pop(&r.events).(event) //nolint:forcetypeassert // only events are pushed
		r.now = e.at
		e.run()
	}
	return result{
		r.spreads / float64(r.seconds), float64(r.passed) / float64(r.requests), r.longestRun,
		float64(r.timely) / float64(r.requests), float64(r.crossings) / float64(r.placements),
	}
}

// zone draws the zone of a caller.
func (r *replay) zone() int {
	if r.uneven && r.rnd.IntN(3) == 0 {
		return 1
	}
	if r.uneven {
		return 0
	}
	return r.rnd.IntN(2)
}

// change makes servers leave, turn slow and join again.
func (r *replay) change() {
	for i := range max(1, r.servers/20) {
		s, slow := r.all[2*i], r.all[2*i+1]
		r.after(5, func() { s.gone = true })
		r.after(7, func() { s.gone, s.kept, s.lasting = false, 0, 0 })
		r.after(5, func() { slow.speed /= 5 })
		r.after(9, func() { slow.speed *= 5 })
	}
}

// arrive places a flow of one request and schedules the next.
func (r *replay) arrive(rate float64) {
	r.after(r.rnd.ExpFloat64()/rate, func() { r.arrive(rate) })
	list := r.shortList()
	r.request(r.all[r.place(list, r.zone(), false)], list, false)
}

// openKept places a kept flow, which sends requests until its life ends or its server
// leaves, and is then opened anew.
func (r *replay) openKept(zone int) {
	list := r.shortList()
	s := r.all[r.place(list, zone, true)]
	s.kept++
	s.joined++
	r.sendKept(s, list, r.now+r.rnd.ExpFloat64()*keptLife, zone)
}

func (r *replay) sendKept(s *server, list []int, end float64, zone int) {
	if s.gone || r.now > end {
		s.kept = max(0, s.kept-1)
		r.openKept(zone)
		return
	}
	r.request(s, list, true)
	r.after(r.rnd.ExpFloat64()/keptRequestRate, func() { r.sendKept(s, list, end, zone) })
}

// shortList draws the servers among which a flow is placed.
func (r *replay) shortList() []int {
	list := map[int]bool{}
	var ordered []int
	for len(list) < min(shortListSize, r.servers) {
		if i := r.rnd.IntN(r.servers); !list[i] {
			list[i] = true
			ordered = append(ordered, i)
		}
	}
	return ordered
}

// place returns the server that a random chooser selects for a flow.
func (r *replay) place(list []int, zone int, kept bool) int {
	chooser := r.rnd.IntN(r.choosers)
	candidates := make([]crspread.Candidate, 0, len(list))
	var at []int
	for _, i := range list {
		s := r.all[i]
		if s.gone {
			continue
		}
		age := r.rnd.Float64() * r.maxAge
		c := crspread.Candidate{Report: s.reportAt(r.now - age), Age: seconds(age)}
		for _, t := range r.placed[[2]int{chooser, i}] {
			if t > r.now-age {
				c.Placed++
			}
		}
		if r.priced && s.zone != zone {
			c.Price = crossPrice
		}
		candidates, at = append(candidates, c), append(at, i)
	}
	chosen := at[r.choose(r, question{chooser: chooser, servers: at, candidates: candidates, kept: kept})]
	key := [2]int{chooser, chosen}
	r.placed[key] = append(r.placed[key], r.now)
	if old := r.placed[key]; r.now-old[0] > r.maxAge {
		r.placed[key] = old[1:]
	}
	r.placements++
	if r.all[chosen].zone != zone {
		r.crossings++
	}
	return chosen
}

// request runs a request on a server or queues it.
func (r *replay) request(s *server, list []int, kept bool) {
	work := meanWork / s.speed * (0.5 + r.rnd.Float64())
	if r.rnd.Float64() < tailShare {
		work *= tailFactor
	}
	arrivedAt := r.now
	if r.now > warmUp || r.returns {
		r.requests++
		if s.running >= s.slots && r.anyIdle(list) {
			r.passed++
		}
	}
	s.touch(r.now)
	if kept {
		s.keptInProgress++
	}
	begin := func() {
		s.touch(r.now)
		s.running++
		r.after(work, func() {
			s.touch(r.now)
			s.running--
			if kept {
				s.keptInProgress--
			}
			s.latency += 0.1 * (work - s.latency)
			if r.now-arrivedAt <= inTime && (arrivedAt > warmUp || r.returns) {
				r.timely++
			}
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
				return
			}
			r.offerIdle(s)
		})
	}
	if s.running < s.slots {
		begin()
		return
	}
	s.queue = append(s.queue, begin)
}

// anyIdle reports whether a server of a list has a free slot.
func (r *replay) anyIdle(list []int) bool {
	for _, i := range list {
		if s := r.all[i]; !s.gone && s.running < s.slots {
			return true
		}
	}
	return false
}

// touch adds the time since the last change to a server's busy time.
func (s *server) touch(now float64) {
	d := now - s.seenAt
	weight := 1 - math.Exp(-d/lastingWindow)
	s.lasting += weight * (float64(s.running+len(s.queue)) - s.lasting)
	s.keptLasting += weight * (float64(s.keptInProgress) - s.keptLasting)
	s.busyTime += d * float64(s.running)
	s.seenAt = now
}

// sample records what each server would report now.
func (r *replay) sample() {
	keep := int(r.maxAge/sampling) + 2
	for _, s := range r.all {
		s.touch(r.now)
		s.keptRate += sampling * (float64(s.joined)/sampling - s.keptRate)
		s.joined = 0
		s.history = append(s.history, sample{r.now, crspread.Report{
			Slots: s.slots, Latency: seconds(s.latency), Busy: s.running + len(s.queue), LastingBusy: s.lasting, KeptBusy: s.keptLasting,
			Kept: s.kept, KeptRate: int(s.keptRate + 0.5),
		}})
		s.history = s.history[max(0, len(s.history)-keep):]
	}
	r.after(sampling, r.sample)
}

// reportAt returns the report that was true at a time.
func (s *server) reportAt(at float64) crspread.Report {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].at <= at {
			return s.history[i].report
		}
	}
	return crspread.Report{}
}

// measure adds up the evenness of the last second.
func (r *replay) measure() {
	r.after(1, r.measure)
	var sum, squares, n float64
	for _, s := range r.all {
		s.touch(r.now)
		if !s.gone {
			share := s.busyTime / float64(s.slots)
			sum, squares, n = sum+share, squares+share*share, n+1
		}
	}
	mean := sum / n
	for _, s := range r.all {
		if s.busyTime/float64(s.slots) <= 2*mean || r.now <= warmUp {
			s.overSince = r.now
		}
		r.longestRun = max(r.longestRun, r.now-s.overSince)
		s.busyTime = 0
	}
	if r.now > warmUp {
		r.seconds++
		r.spreads += math.Sqrt(max(0, squares/n-mean*mean))
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
