package cragent

import (
	"context"
	"errors"
	"sync"
	"time"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/pkg/crdoc"
)

// gateTick is how often requests that wait are looked at.
const gateTick = 20 * time.Millisecond

// errPreempted cancels a routine request for a priority one.
var errPreempted = errors.New("preempted")

// gate is the admission of the agent's backend server, for many goroutines.
type gate struct {
	// preempted is called for each request that is cancelled.
	preempted func()

	mu        sync.Mutex
	admission cradmit.Admission
	passes    map[*cradmit.Request]*pass
}

// pass is one request at the gate.
type pass struct {
	request cradmit.Request
	// decided receives one decision.
	decided chan decision
	// ctx ends when the request is to be given up.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// decision says whether a request may run.
type decision struct {
	started bool
	reason  cradmit.Reason
}

// newGate returns a gate that refuses everything until configure.
func newGate(preempted func()) *gate {
	g := &gate{preempted: preempted, passes: map[*cradmit.Request]*pass{}}
	g.admission.Start = func(r *cradmit.Request) { g.passes[r].decided <- decision{started: true} }
	g.admission.Refuse = func(r *cradmit.Request, reason cradmit.Reason) {
		g.passes[r].decided <- decision{reason: reason}
	}
	g.admission.Preempt = func(r *cradmit.Request) {
		g.passes[r].cancel(errPreempted)
		g.preempted()
	}
	return g
}

// configure takes a document.
func (g *gate) configure(doc *crdoc.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Configure(doc, time.Now())
}

// enter waits until the request may run; nil when it may not, with the
// reason. The holder of a pass calls leave.
func (g *gate) enter(ctx context.Context, class string) (*pass, string) {
	deadline, _ := ctx.Deadline()
	p := &pass{request: cradmit.Request{Class: class, Deadline: deadline}, decided: make(chan decision, 1)}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	g.mu.Lock()
	g.passes[&p.request] = p
	g.admission.Offer(&p.request, time.Now())
	g.mu.Unlock()
	select {
	case d := <-p.decided:
		return g.decide(p, d)
	case <-ctx.Done():
		return g.withdraw(p)
	}
}

// decide carries out a decision.
func (g *gate) decide(p *pass, d decision) (*pass, string) {
	if d.started {
		return p, ""
	}
	g.forget(p)
	return nil, d.reason.String()
}

// withdraw gives up a request whose caller has gone or whose time is over.
func (g *gate) withdraw(p *pass) (*pass, string) {
	g.mu.Lock()
	g.admission.Withdraw(&p.request)
	g.mu.Unlock()
	select {
	case d := <-p.decided:
		return g.decide(p, d)
	default:
		g.forget(p)
		return nil, reasonGone
	}
}

// forget drops a request that has not run.
func (g *gate) forget(p *pass) {
	p.cancel(nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.passes, &p.request)
}

// leave ends a request that ran.
func (g *gate) leave(p *pass, result cradmit.Result) {
	p.cancel(nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.passes, &p.request)
	g.admission.Finish(&p.request, result, time.Now())
}

// load returns the load in percent of the limit.
func (g *gate) load() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load(time.Now())
}

// loadFor returns the load as a new request of a class meets it.
func (g *gate) loadFor(class string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.LoadFor(class, time.Now())
}

// limit returns the limit in force.
func (g *gate) limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Limit(time.Now())
}

// room tells whether a routine request would start at once.
func (g *gate) room() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.HasCapacity(time.Now())
}

// loop looks at the requests that wait until ctx ends.
func (g *gate) loop(ctx context.Context) {
	tick := time.NewTicker(gateTick)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			g.mu.Lock()
			g.admission.Tick(now)
			g.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
