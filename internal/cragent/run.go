package cragent

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"cardamomring.dev/internal/cradmit"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// nonRepeatableTimeout bounds a non-repeatable request. It is shorter than the
// minimum time for which control keeps a claim.
const nonRepeatableTimeout = time.Minute

// Reasons of refusals, in addition to those of cradmit and crrun.
const (
	reasonService   = "service"
	reasonClass     = "class"
	reasonGone      = "gone"
	reasonDraining  = "draining"
	reasonPreempted = "preempted"
	reasonFrozen    = "frozen"
)

// initRequests creates the limiter, the peer set and the request metrics. It
// must be called before the first request.
func (a *Agent) initRequests() {
	a.peers = newPeerSet()
	a.limiter = newLimiter(func() { a.metrics.preemptions.Inc() })
	a.metrics = newRequestMetrics(a.Registry, a.limiter.limit, a.limiter.load)
}

// serveRun serves a run call of a balancer or another agent.
func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	req, remain, err := crrun.FromPeer(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a.state.Load() != int64(crwire.MemberActive) {
		// Close the connection after this answer. On a connection that is idle
		// when the listener stops, a request could arrive and remain unread.
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithTimeout(r.Context(), remain)
	defer cancel()
	a.Serve(ctx, req).WriteToPeer(w, req.ID)
}

// Serve runs a request within its class's deadline, on this agent's backend
// server or at another agent, and returns its outcome. The outcome is unknown
// unless the agent can tell whether the request has run.
func (a *Agent) Serve(ctx context.Context, req *crrun.Request) crrun.Answer {
	doc := a.view.Load().Services[req.Service]
	if doc == nil || req.Service != a.member.Service {
		return a.metrics.count("", crrun.NewFailure(crwire.OutcomeNotrun, reasonService))
	}
	path, _, _ := strings.Cut(req.Target, "?")
	class, ok := doc.Classify(req.Method, path)
	if !ok {
		return a.metrics.count("", crrun.NewRejection(http.StatusNotFound, reasonClass))
	}
	ctx, cancel := withClassDeadline(ctx, class)
	defer cancel()
	answer := a.route(ctx, req, class)
	answer.Load = a.limiter.load()
	return a.metrics.count(class.Name, answer)
}

// withClassDeadline applies a class's deadline. A non-repeatable request isn't
// cancelled when its caller disconnects because its outcome is still needed.
func withClassDeadline(ctx context.Context, class crdoc.Class) (context.Context, context.CancelFunc) {
	if class.Repeatable {
		return context.WithTimeout(ctx, class.Deadline.D())
	}
	end := time.Now().Add(min(class.Deadline.D(), nonRepeatableTimeout))
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(end) {
		end = deadline
	}
	return context.WithDeadline(context.WithoutCancel(ctx), end)
}

// route runs a request: first at a less loaded agent if there is one, then on
// this agent's backend server, then at other agents if it may be retried.
func (a *Agent) route(ctx context.Context, req *crrun.Request, class crdoc.Class) crrun.Answer {
	if req.Hops > 0 {
		if a.state.Load() != int64(crwire.MemberActive) {
			return crrun.NewFailure(crwire.OutcomeNotrun, reasonDraining)
		}
		return a.runLocal(ctx, req, class)
	}
	a.peers.recordRequest()
	tried := map[string]bool{}
	answer, done := a.forward(ctx, req, class, tried)
	if done {
		return answer
	}
	answer = a.runLocal(ctx, req, class)
	if !retryable(answer, class) {
		return answer
	}
	return a.retryAtPeers(ctx, req, class, answer, tried)
}

// retryable reports whether a request may be tried again after answer.
func retryable(answer crrun.Answer, class crdoc.Class) bool {
	if answer.Status == http.StatusUnprocessableEntity || answer.Reason == reasonGone {
		return false
	}
	return answer.Outcome == crwire.OutcomeNotrun || answer.Outcome == crwire.OutcomeUnknown && class.Repeatable
}

// runLocal runs a request on the agent's own backend server. A non-repeatable
// request with a key needs a claim.
func (a *Agent) runLocal(ctx context.Context, req *crrun.Request, class crdoc.Class) crrun.Answer {
	if !class.Repeatable && req.Key != "" {
		return a.runClaimed(ctx, req, class)
	}
	return a.runOnBackend(ctx, req, class)
}

// runOnBackend runs a request on the backend server when the limiter admits it.
func (a *Agent) runOnBackend(ctx context.Context, req *crrun.Request, class crdoc.Class) crrun.Answer {
	p, reason := a.limiter.acquire(ctx, class.Name)
	if p == nil {
		return crrun.NewFailure(crwire.OutcomeNotrun, reason)
	}
	if deadlinePassed(ctx) {
		a.limiter.release(p, cradmit.ResultCancelled)
		return crrun.NewFailure(crwire.OutcomeNotrun, reasonFrozen)
	}
	answer := a.caller.SendToBackend(p.ctx, a.Settings.Agent.Backend, req, !class.Repeatable)
	if errors.Is(context.Cause(p.ctx), errPreempted) && answer.Outcome != crwire.OutcomeDone {
		answer = crrun.NewFailure(answer.Outcome, reasonPreempted)
	}
	a.limiter.release(p, backendResult(answer))
	a.metrics.countDropped(answer.Reason)
	return answer
}

// deadlinePassed reports whether ctx has ended or its deadline has passed by
// the clock. After a process was frozen, its timers may not have fired yet, so
// ctx.Err alone may still be nil.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// backendResult returns the result that the limiter records for an answer. An
// error status is a complete answer for the caller, but a failure for the
// limiter: a server that fails fast must not be mistaken for a fast server.
func backendResult(answer crrun.Answer) cradmit.Result {
	switch answer.Reason {
	case "":
		if answer.Status >= http.StatusInternalServerError {
			return cradmit.ResultError
		}
		return cradmit.ResultDone
	case crrun.ReasonShed:
		return cradmit.ResultShed
	case crrun.ReasonTimeout:
		return cradmit.ResultTimeout
	case crrun.ReasonUnreachable:
		return cradmit.ResultUnreachable
	case crrun.ReasonCancelled, reasonPreempted, crrun.ReasonRequest:
		return cradmit.ResultCancelled
	default:
		return cradmit.ResultBroken
	}
}

// HasCapacity reports whether a new routine request would start immediately.
func (a *Agent) HasCapacity() bool {
	return a.state.Load() == int64(crwire.MemberActive) && a.limiter.hasCapacity()
}
