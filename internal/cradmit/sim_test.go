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

// sim is a discrete event simulation in virtual time.
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

// elapsed returns the virtual time since the start of the simulation.
func (s *sim) elapsed() time.Duration { return s.now.Sub(epoch) }

// arrivals calls offer as a Poisson process between two times.
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

// service returns a random service time with a log-normal distribution. Its 99th
// percentile is 2.8 times the mean.
func (s *sim) service(mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
}

// server simulates a backend server with workers and a queue. More than
// overloadFactor requests per worker crash it: it fails for downTime and then
// restarts cold. The number of workers of a cold server grows linearly during
// warmUpTime.
type server struct {
	sim *sim
	// warmWorkers and coldWorkers are the numbers of workers of a warm server
	// and of a cold one.
	warmWorkers, coldWorkers int
	warmUpTime               time.Duration
	// overloadFactor is the largest number of requests per worker, running and
	// queued; 0 means no bound.
	overloadFactor float64
	startedAt      time.Time
	downUntil      time.Time

	running []*job
	queue   []*job
	// busyTime is the running time of all workers up to accountedAt.
	busyTime    time.Duration
	accountedAt time.Time
	// overloads counts the requests above maxRequests, by second.
	overloads map[int]int
	// peaks holds the largest number of running and queued requests, by second.
	peaks   map[int]int
	crashes int
}

// job is one request on a server.
type job struct {
	workTime time.Duration
	ended    bool
	done     func(cradmit.Result)
}

// downTime is how long a crashed server fails all requests.
const downTime = time.Second

func (v *server) workers() int {
	if v.warmUpTime == 0 {
		return v.warmWorkers
	}
	share := min(1, float64(v.sim.now.Sub(v.startedAt))/float64(v.warmUpTime))
	return v.coldWorkers + int(share*float64(v.warmWorkers-v.coldWorkers))
}

// maxRequests returns how many running and queued requests the server can hold
// now without crashing.
func (v *server) maxRequests() int {
	if v.overloadFactor == 0 {
		return math.MaxInt
	}
	return int(v.overloadFactor * float64(v.workers()))
}

func (v *server) submit(j *job) {
	if v.sim.now.Before(v.downUntil) {
		v.sim.after(time.Millisecond, func() { v.end(j, cradmit.ResultBroken) })
		return
	}
	v.queue = append(v.queue, j)
	second := int(v.sim.elapsed() / time.Second)
	n := len(v.running) + len(v.queue)
	v.peaks[second] = max(v.peaks[second], n)
	if n > v.maxRequests() {
		v.overloads[second]++
		v.crash()
		return
	}
	v.startQueued()
}

// crash fails all running and queued requests.
func (v *server) crash() {
	v.crashes++
	v.downUntil = v.sim.now.Add(downTime)
	v.startedAt = v.downUntil
	v.addBusyTime()
	all := slices.Concat(v.running, v.queue)
	v.running, v.queue = nil, nil
	for _, j := range all {
		v.sim.after(time.Millisecond, func() { v.end(j, cradmit.ResultBroken) })
	}
}

func (v *server) startQueued() {
	v.addBusyTime()
	for len(v.queue) > 0 && len(v.running) < v.workers() {
		j := v.queue[0]
		v.queue = v.queue[1:]
		v.running = append(v.running, j)
		v.sim.after(j.workTime, func() {
			if slices.Contains(v.running, j) {
				v.remove(j)
				v.end(j, cradmit.ResultDone)
			}
		})
	}
}

func (v *server) cancel(j *job) {
	v.remove(j)
	v.end(j, cradmit.ResultCancelled)
}

func (v *server) remove(j *job) {
	v.addBusyTime()
	v.running = slices.DeleteFunc(v.running, func(o *job) bool { return o == j })
	v.queue = slices.DeleteFunc(v.queue, func(o *job) bool { return o == j })
	v.startQueued()
}

func (v *server) end(j *job, result cradmit.Result) {
	if !j.ended {
		j.ended = true
		j.done(result)
	}
}

// addBusyTime adds the running time of the workers since the last call.
func (v *server) addBusyTime() {
	v.busyTime += time.Duration(len(v.running)) * v.sim.now.Sub(v.accountedAt)
	v.accountedAt = v.sim.now
}

func newServer(s *sim, workers int) *server {
	return &server{sim: s, warmWorkers: workers, startedAt: epoch, accountedAt: epoch, overloads: map[int]int{}, peaks: map[int]int{}}
}

// call is a request of a caller.
type call struct {
	class    string
	workTime time.Duration
	deadline time.Time
	// onEnd receives the result. refused reports that the call never started.
	onEnd func(result cradmit.Result, refused bool)
}

// limiter admits calls to a server.
type limiter interface {
	offer(c *call)
	load() int
}

// admissionLimiter is a limiter that uses cradmit.Admission.
type admissionLimiter struct {
	sim       *sim
	server    *server
	admission *cradmit.Admission
	calls     map[*cradmit.Request]*call
	jobs      map[*cradmit.Request]*job
	preempted int
}

// tickInterval is the interval between calls of Admission.Tick, as in the agent.
const tickInterval = 20 * time.Millisecond

func newAdmissionLimiter(s *sim, v *server, doc *crdoc.Service) *admissionLimiter {
	g := &admissionLimiter{sim: s, server: v, calls: map[*cradmit.Request]*call{}, jobs: map[*cradmit.Request]*job{}}
	g.admission = &cradmit.Admission{Start: g.start, Refuse: g.refuse, Preempt: g.preempt}
	g.admission.Configure(doc, s.now)
	s.after(tickInterval, g.tick)
	return g
}

func (g *admissionLimiter) tick() {
	g.admission.Tick(g.sim.now)
	g.sim.after(tickInterval, g.tick)
}

func (g *admissionLimiter) load() int { return g.admission.Load(g.sim.now) }

func (g *admissionLimiter) offer(c *call) {
	r := &cradmit.Request{Class: c.class, Deadline: c.deadline}
	g.calls[r] = c
	g.admission.Offer(r, g.sim.now)
}

func (g *admissionLimiter) start(r *cradmit.Request) {
	c := g.calls[r]
	j := &job{workTime: c.workTime}
	g.jobs[r] = j
	j.done = func(result cradmit.Result) {
		delete(g.calls, r)
		delete(g.jobs, r)
		g.admission.Finish(r, result, g.sim.now)
		c.onEnd(result, false)
	}
	g.sim.after(0, func() { g.server.submit(j) })
	g.sim.after(r.Deadline.Sub(g.sim.now), func() {
		if !j.ended {
			g.server.remove(j)
			g.server.end(j, cradmit.ResultTimeout)
		}
	})
}

func (g *admissionLimiter) refuse(r *cradmit.Request, _ cradmit.Reason) {
	c := g.calls[r]
	delete(g.calls, r)
	g.sim.after(0, func() { c.onEnd(cradmit.ResultCancelled, true) })
}

func (g *admissionLimiter) preempt(r *cradmit.Request) {
	g.preempted++
	j := g.jobs[r]
	g.sim.after(0, func() { g.server.cancel(j) })
}

// fixedLimiter is the baseline for comparisons: a fixed limit with a first-in
// first-out queue, without classes, deadlines in the queue or preemption.
type fixedLimiter struct {
	sim    *sim
	server *server
	limit  int
	// maxQueue bounds the queue; 0 means no bound.
	maxQueue int
	running  int
	queue    []*call
}

func (g *fixedLimiter) load() int { return (g.running + len(g.queue)) * 100 / g.limit }

func (g *fixedLimiter) offer(c *call) {
	if g.maxQueue > 0 && len(g.queue) >= g.maxQueue {
		c.onEnd(cradmit.ResultCancelled, true)
		return
	}
	g.queue = append(g.queue, c)
	g.startQueued()
}

func (g *fixedLimiter) startQueued() {
	for len(g.queue) > 0 && g.running < g.limit {
		c := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		j := &job{workTime: c.workTime}
		j.done = func(result cradmit.Result) {
			g.running--
			c.onEnd(result, false)
			g.startQueued()
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
