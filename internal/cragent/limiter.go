package cragent

import (
	"context"
	"errors"
	"sync"
	"time"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// queueCheckInterval is how often requests that wait are looked at.
const queueCheckInterval = 20 * time.Millisecond

// errPreempted cancels a routine request for a priority one.
var errPreempted = errors.New("preempted")

// limiter is the admission of the agent's backend server, for many goroutines.
type limiter struct {
	// onPreempt is called for each request that is cancelled.
	onPreempt func()

	mu        sync.Mutex
	admission cradmit.Admission
	permits   map[*cradmit.Request]*permit
}

// permit is one request at the gate.
type permit struct {
	request cradmit.Request
	// decided receives one decision.
	decided chan decision
	// ctx ends when the request is to be given up.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// decision says whether a request may run.
type decision struct {
	admitted bool
	reason   cradmit.Reason
}

// newLimiter returns a gate that refuses everything until configure.
func newLimiter(preempted func()) *limiter {
	l := &limiter{onPreempt: preempted, permits: map[*cradmit.Request]*permit{}}
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

// configure takes a document.
func (l *limiter) configure(doc *crdoc.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.Configure(doc, time.Now())
}

// acquire waits until the request may run; nil when it may not, with the
// reason. The holder of a pass calls leave.
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

// resolve carries out a decision.
func (l *limiter) resolve(p *permit, d decision) (*permit, string) {
	if d.admitted {
		return p, ""
	}
	l.remove(p)
	return nil, d.reason.String()
}

// withdraw gives up a request whose caller has gone or whose time is over.
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

// remove drops a request that has not run.
func (l *limiter) remove(p *permit) {
	p.cancel(nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.permits, &p.request)
}

// release ends a request that ran.
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

// loadFor returns the load as a new request of a class meets it.
func (l *limiter) loadFor(class string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.LoadFor(class, time.Now())
}

// limit returns the limit in force.
func (l *limiter) limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Limit(time.Now())
}

// hasCapacity tells whether a routine request would start at once.
func (l *limiter) hasCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.HasCapacity(time.Now())
}

// loop looks at the requests that wait until ctx ends.
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
