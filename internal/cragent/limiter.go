package cragent

import (
	"context"
	"errors"
	"sync"
	"time"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// queueCheckInterval is the interval at which queued requests are checked.
const queueCheckInterval = 20 * time.Millisecond

// errPreempted is the cancellation cause of a preempted request.
var errPreempted = errors.New("preempted")

// limiter limits the requests of the agent's backend server. It is safe for
// concurrent use.
type limiter struct {
	// onPreempt is called for each preempted request.
	onPreempt func()

	mu        sync.Mutex
	admission cradmit.Admission
	permits   map[*cradmit.Request]*permit
}

// permit is one request's permission to run, pending until the limiter decides.
type permit struct {
	request cradmit.Request
	// decided receives exactly one decision.
	decided chan decision
	// ctx ends with the caller's context or when the request is preempted.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// decision is the limiter's decision about a request.
type decision struct {
	admitted bool
	reason   cradmit.Reason
}

// newLimiter returns a limiter that refuses all requests until configure.
func newLimiter(onPreempt func()) *limiter {
	l := &limiter{onPreempt: onPreempt, permits: map[*cradmit.Request]*permit{}}
	l.admission.Start = func(r *cradmit.Request) { l.permits[r].decided <- decision{admitted: true} }
	l.admission.Refuse = func(r *cradmit.Request, reason cradmit.Reason) {
		l.permits[r].decided <- decision{reason: reason}
	}
	l.admission.Preempt = func(r *cradmit.Request) {
		l.permits[r].cancel(errPreempted)
		l.onPreempt()
	}
	return l
}

// configure applies a service document.
func (l *limiter) configure(doc *crdoc.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.Configure(doc, time.Now())
}

// acquire waits until the request may run and returns its permit, or nil and
// the reason of the refusal. The holder of a permit must call release.
func (l *limiter) acquire(ctx context.Context, class string) (*permit, string) {
	deadline, _ := ctx.Deadline()
	p := &permit{request: cradmit.Request{Class: class, Deadline: deadline}, decided: make(chan decision, 1)}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	l.mu.Lock()
	l.permits[&p.request] = p
	l.admission.Offer(&p.request, time.Now())
	l.mu.Unlock()
	select {
	case d := <-p.decided:
		return l.resolve(p, d)
	case <-ctx.Done():
		return l.withdraw(p)
	}
}

// resolve returns the permit if the request was admitted, and drops it
// otherwise.
func (l *limiter) resolve(p *permit, d decision) (*permit, string) {
	if d.admitted {
		return p, ""
	}
	l.remove(p)
	return nil, d.reason.String()
}

// withdraw removes a request that was cancelled or passed its deadline while it
// waited. If a decision has been made meanwhile, the decision holds.
func (l *limiter) withdraw(p *permit) (*permit, string) {
	l.mu.Lock()
	l.admission.Withdraw(&p.request)
	l.mu.Unlock()
	select {
	case d := <-p.decided:
		return l.resolve(p, d)
	default:
		l.remove(p)
		return nil, reasonGone
	}
}

// remove drops the permit of a request that has not run.
func (l *limiter) remove(p *permit) {
	p.cancel(nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.permits, &p.request)
}

// release ends a request that has run.
func (l *limiter) release(p *permit, result cradmit.Result) {
	p.cancel(nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.permits, &p.request)
	l.admission.Finish(&p.request, result, time.Now())
}

// load returns the load in percent of the limit.
func (l *limiter) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Load(time.Now())
}

// loadFor returns the load in percent that applies to a new request of a class.
func (l *limiter) loadFor(class string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.LoadFor(class, time.Now())
}

// probeDue reports whether the backend server should be tested with the next request.
func (l *limiter) probeDue(repeatable bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.ProbeDue(repeatable, time.Now())
}

// limit returns the current limit.
func (l *limiter) limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Limit(time.Now())
}

// hasCapacity reports whether a new routine request would start immediately.
func (l *limiter) hasCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.HasCapacity(time.Now())
}

// loop checks queued requests at each interval until ctx ends.
func (l *limiter) loop(ctx context.Context) {
	tick := time.NewTicker(queueCheckInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			l.mu.Lock()
			l.admission.Tick(now)
			l.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
