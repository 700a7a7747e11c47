package cradmit_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// sim is an event loop in virtual time.
type sim struct {
	now    time.Time
	events events
	seq    int
	rng    *rand.Rand
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSim() *sim { return &sim{now: epoch, rng: rand.New(rand.NewPCG(1, 2))} }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: run})
}

func (s *sim) runUntil(d time.Duration) {
	end := epoch.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event) //nolint:forcetypeassert // only events are pushed
		s.now = next.at
		next.run()
	}
	s.now = end
}

// elapsed is the time since the beginning.
func (s *sim) elapsed() time.Duration { return s.now.Sub(epoch) }

// arrivals calls offer as a Poisson process from one time to another.
func (s *sim) arrivals(from, to time.Duration, perSecond float64, offer func()) {
	if perSecond <= 0 {
		return
	}
	var next func()
	gap := func() time.Duration { return time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) }
	next = func() {
		if s.elapsed() >= to {
			return
		}
		offer()
		s.after(gap(), next)
	}
	s.after(from-s.elapsed()+gap(), next)
}

// service draws a log-normal service time with a mean; its 99th percentile
// is 2.8 times the mean.
func (s *sim) service(mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
}

// server is a backend server with workers and a queue before them. It bears
// a multiple of its workers; more make it fall over for a second, and it is
// cold again. A cold server has few workers and warms up in a line.
type server struct {
	sim *sim
	// full and cold are the workers of a warm and of a cold server.
	full, cold int
	// warm is how long it warms up.
	warm time.Duration
	// bears is how many requests it bears for each worker.
	bears float64
	born  time.Time
	down  time.Time

	running []*job
	queue   []*job
	busy    time.Duration
	touched time.Time
	// over counts the requests beyond what it bears, by second.
	over map[int]int
	// peak is the most requests inside, by second.
	peak  map[int]int
	falls int
}

// job is one request inside a server.
type job struct {
	size  time.Duration
	ended bool
	done  func(cradmit.Result)
}

// downTime is how long a server that fell over fails.
const downTime = time.Second

func (v *server) workers() int {
	if v.warm == 0 {
		return v.full
	}
	share := min(1, float64(v.sim.now.Sub(v.born))/float64(v.warm))
	return v.cold + int(share*float64(v.full-v.cold))
}

// bearing is how many requests it bears now.
func (v *server) bearing() int {
	if v.bears == 0 {
		return math.MaxInt
	}
	return int(v.bears * float64(v.workers()))
}

func (v *server) submit(j *job) {
	if v.sim.now.Before(v.down) {
		v.sim.after(time.Millisecond, func() { v.end(j, cradmit.ResultBroken) })
		return
	}
	v.queue = append(v.queue, j)
	second := int(v.sim.elapsed() / time.Second)
	inside := len(v.running) + len(v.queue)
	v.peak[second] = max(v.peak[second], inside)
	if inside > v.bearing() {
		v.over[second]++
		v.fall()
		return
	}
	v.pump()
}

// fall fails everything inside.
func (v *server) fall() {
	v.falls++
	v.down = v.sim.now.Add(downTime)
	v.born = v.down
	v.account()
	all := slices.Concat(v.running, v.queue)
	v.running, v.queue = nil, nil
	for _, j := range all {
		v.sim.after(time.Millisecond, func() { v.end(j, cradmit.ResultBroken) })
	}
}

func (v *server) pump() {
	v.account()
	for len(v.queue) > 0 && len(v.running) < v.workers() {
		j := v.queue[0]
		v.queue = v.queue[1:]
		v.running = append(v.running, j)
		v.sim.after(j.size, func() {
			if slices.Contains(v.running, j) {
				v.leave(j)
				v.end(j, cradmit.ResultDone)
			}
		})
	}
}

func (v *server) cancel(j *job) {
	v.leave(j)
	v.end(j, cradmit.ResultCancelled)
}

func (v *server) leave(j *job) {
	v.account()
	v.running = slices.DeleteFunc(v.running, func(o *job) bool { return o == j })
	v.queue = slices.DeleteFunc(v.queue, func(o *job) bool { return o == j })
	v.pump()
}

func (v *server) end(j *job, result cradmit.Result) {
	if !j.ended {
		j.ended = true
		j.done(result)
	}
}

// account adds up the time that workers were busy.
func (v *server) account() {
	v.busy += time.Duration(len(v.running)) * v.sim.now.Sub(v.touched)
	v.touched = v.sim.now
}

func newServer(s *sim, workers int) *server {
	return &server{sim: s, full: workers, born: epoch, touched: epoch, over: map[int]int{}, peak: map[int]int{}}
}

// call is a request of a caller.
type call struct {
	class    string
	size     time.Duration
	deadline time.Time
	// ended takes the result; refused tells that it never started.
	ended func(result cradmit.Result, refused bool)
}

// gate is a way to admit calls to a server.
type gate interface {
	offer(c *call)
	load() int
}

// admitted is the gate that this package makes.
type admitted struct {
	sim       *sim
	server    *server
	admission *cradmit.Admission
	calls     map[*cradmit.Request]*call
	jobs      map[*cradmit.Request]*job
	cancelled int
}

// tickTime is how often a gate ticks, as in the agent.
const tickTime = 20 * time.Millisecond

func newAdmitted(s *sim, v *server, doc *crdoc.Service) *admitted {
	g := &admitted{sim: s, server: v, calls: map[*cradmit.Request]*call{}, jobs: map[*cradmit.Request]*job{}}
	g.admission = &cradmit.Admission{Start: g.start, Refuse: g.refuse, Preempt: g.preempt}
	g.admission.Configure(doc, s.now)
	s.after(tickTime, g.tick)
	return g
}

func (g *admitted) tick() {
	g.admission.Tick(g.sim.now)
	g.sim.after(tickTime, g.tick)
}

func (g *admitted) load() int { return g.admission.Load(g.sim.now) }

func (g *admitted) offer(c *call) {
	r := &cradmit.Request{Class: c.class, Deadline: c.deadline}
	g.calls[r] = c
	g.admission.Offer(r, g.sim.now)
}

func (g *admitted) start(r *cradmit.Request) {
	c := g.calls[r]
	j := &job{size: c.size}
	g.jobs[r] = j
	j.done = func(result cradmit.Result) {
		delete(g.calls, r)
		delete(g.jobs, r)
		g.admission.Finish(r, result, g.sim.now)
		c.ended(result, false)
	}
	g.sim.after(0, func() { g.server.submit(j) })
	g.sim.after(r.Deadline.Sub(g.sim.now), func() {
		if !j.ended {
			g.server.leave(j)
			g.server.end(j, cradmit.ResultTimeout)
		}
	})
}

func (g *admitted) refuse(r *cradmit.Request, _ cradmit.Reason) {
	c := g.calls[r]
	delete(g.calls, r)
	g.sim.after(0, func() { c.ended(cradmit.ResultCancelled, true) })
}

func (g *admitted) preempt(r *cradmit.Request) {
	g.cancelled++
	j := g.jobs[r]
	g.sim.after(0, func() { g.server.cancel(j) })
}

// fixed is the baseline: a fixed limit before a first-in first-out queue,
// without classes, deadlines in the queue or preemption.
type fixed struct {
	sim    *sim
	server *server
	limit  int
	// bound is the longest queue; 0 is no bound.
	bound   int
	running int
	queue   []*call
}

func (g *fixed) load() int { return (g.running + len(g.queue)) * 100 / g.limit }

func (g *fixed) offer(c *call) {
	if g.bound > 0 && len(g.queue) >= g.bound {
		c.ended(cradmit.ResultCancelled, true)
		return
	}
	g.queue = append(g.queue, c)
	g.pump()
}

func (g *fixed) pump() {
	for len(g.queue) > 0 && g.running < g.limit {
		c := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		j := &job{size: c.size}
		j.done = func(result cradmit.Result) {
			g.running--
			c.ended(result, false)
			g.pump()
		}
		g.sim.after(0, func() { g.server.submit(j) })
	}
}

// quantile returns a quantile of durations.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
