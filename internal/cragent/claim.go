package cragent

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

const (
	// controlCallTimeout bounds one call to a control instance.
	controlCallTimeout = 2 * time.Second
	// claimRetryFraction is the part of the remaining time for which a claim waits
	// for control to answer at all.
	claimRetryFraction = 0.5
	// claimBackoffMin is the first pause before a held claim is asked for again.
	claimBackoffMin = 20 * time.Millisecond
	// claimBackoffMax bounds the pause, which doubles.
	claimBackoffMax = 500 * time.Millisecond
	// settleTimeout is how long an outcome is offered to control.
	settleTimeout = 30 * time.Second
	// settleInterval is the pause between two rounds of offers.
	settleInterval = 200 * time.Millisecond
)

// Reasons of refusals around claims.
const (
	reasonControl  = "control"
	reasonHeld     = "held"
	reasonMismatch = "mismatch"
	reasonRecorded = "recorded"
	reasonTooLong  = "answer over the size that is kept"
)

// runClaimed runs a request that may not be repeated once for its key.
func (a *Agent) runClaimed(ctx context.Context, req *crrun.Request, class crdoc.Class) crrun.Answer {
	claim := crwire.Claim{
		Service: req.Service, Key: req.Key, Digest: digest(req), Attempt: rand.Text(),
	}
	switch resp := a.acquireClaim(ctx, claim); resp.Verdict {
	case crwire.VerdictGranted:
		return a.runGranted(ctx, req, class, claim)
	case crwire.VerdictRecorded:
		return recordedAnswer(resp.Record)
	case crwire.VerdictHeld:
		return crrun.NewFailure(crwire.OutcomeUnknown, reasonHeld)
	case crwire.VerdictMismatch:
		return crrun.NewRejection(http.StatusUnprocessableEntity, reasonMismatch)
	default:
		a.loops.Go(func() { a.releaseClaim(claim) })
		return crrun.NewFailure(crwire.OutcomeNotrun, reasonControl)
	}
}

// runGranted runs a request whose claim this attempt holds, and settles it.
func (a *Agent) runGranted(ctx context.Context, req *crrun.Request, class crdoc.Class, claim crwire.Claim) crrun.Answer {
	answer := crrun.NewFailure(crwire.OutcomeNotrun, reasonFrozen)
	if !deadlinePassed(ctx) {
		answer = a.runOnBackend(ctx, req, class)
	}
	// The key must be free before another agent may claim it; any other
	// outcome is kept for those who ask again.
	recorded := a.settle(claim, newRecord(answer))
	if answer.Outcome == crwire.OutcomeNotrun && !recorded {
		return crrun.NewFailure(crwire.OutcomeNotrun, reasonGone)
	}
	return answer
}

// acquireClaim asks control until the acquireClaim is granted, recorded or refused, or the
// deadline is over. While no instance answers, as during an election, it asks
// again for a part of the time only, so that enough is left to run.
func (a *Agent) acquireClaim(ctx context.Context, claim crwire.Claim) crwire.ClaimResponse {
	resp := crwire.ClaimResponse{Verdict: crwire.VerdictUnavailable}
	retryUntil := claimRetryDeadline(ctx)
	for backoff := claimBackoffMin; !deadlinePassed(ctx); backoff = min(2*backoff, claimBackoffMax) {
		resp = a.requestClaim(ctx, claim)
		switch resp.Verdict {
		case crwire.VerdictHeld:
		case crwire.VerdictUnavailable:
			if !time.Now().Before(retryUntil) {
				return resp
			}
		default:
			return resp
		}
		crnet.Pause(ctx, backoff)
	}
	return resp
}

// claimRetryDeadline returns until when an unavailable claim is asked for again.
func claimRetryDeadline(ctx context.Context) time.Time {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		return now
	}
	return now.Add(time.Duration(claimRetryFraction * float64(deadline.Sub(now))))
}

// requestClaim asks the control instances in turn; the same attempt gets the
// same verdict from each.
func (a *Agent) requestClaim(ctx context.Context, claim crwire.Claim) crwire.ClaimResponse {
	for _, addr := range a.Settings.Control {
		var resp crwire.ClaimResponse
		callCtx, cancel := context.WithTimeout(ctx, controlCallTimeout)
		err := a.client.JSON(callCtx, addr, "/claim", claim, &resp)
		cancel()
		if err == nil && resp.Verdict != crwire.VerdictUnavailable {
			return resp
		}
	}
	return crwire.ClaimResponse{Verdict: crwire.VerdictUnavailable}
}

// settle records an outcome at control. It asks each instance once while the
// caller waits, and goes on in the background. It returns whether control
// has taken it.
func (a *Agent) settle(claim crwire.Claim, record crwire.Record) bool {
	s := crwire.Settle{Service: claim.Service, Key: claim.Key, Attempt: claim.Attempt, Record: record}
	if a.sendSettle(context.Background(), s) {
		return true
	}
	a.loops.Go(func() { a.retrySettle(s) })
	return false
}

// releaseClaim frees the key of a claim that got no answer: control may have
// granted it unheard. The second time is for a claim that was still on its
// way at the first.
func (a *Agent) releaseClaim(claim crwire.Claim) {
	s := crwire.Settle{
		Service: claim.Service, Key: claim.Key, Attempt: claim.Attempt,
		Record: crwire.Record{Outcome: crwire.OutcomeNotrun},
	}
	a.retrySettle(s)
	crnet.Pause(context.Background(), controlCallTimeout)
	a.retrySettle(s)
}

// retrySettle offers an outcome to control until it is taken.
func (a *Agent) retrySettle(s crwire.Settle) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil && !a.sendSettle(ctx, s) {
		crnet.Pause(ctx, settleInterval)
	}
}

// sendSettle offers an outcome to the control instances in turn.
func (a *Agent) sendSettle(ctx context.Context, s crwire.Settle) bool {
	for _, addr := range a.Settings.Control {
		callCtx, cancel := context.WithTimeout(ctx, controlCallTimeout)
		var answer json.RawMessage
		err := a.client.JSON(callCtx, addr, "/settle", s, &answer)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// digest identifies what a key was used for.
func digest(req *crrun.Request) string {
	h := sha256.New()
	for _, part := range []string{req.Method, "\x00", req.Target, "\x00"} {
		h.Write([]byte(part))
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// newRecord returns what is kept of an answer. One that is too long to be kept
// whole is replaced by a problem that says so.
func newRecord(answer crrun.Answer) crwire.Record {
	out := crwire.Record{Outcome: answer.Outcome}
	if answer.Outcome != crwire.OutcomeDone {
		return out
	}
	if len(answer.Body) > crwire.RecordMax {
		answer = crrun.NewRejection(http.StatusConflict, reasonTooLong)
		answer.Body, _ = json.Marshal(crwire.Problem{
			Type: "about:blank", Title: "the request has run", Status: http.StatusConflict,
			Outcome: crwire.OutcomeDone, Reason: reasonTooLong,
		})
	}
	out.Status, out.Type, out.Body = answer.Status, answer.Header.Get("Content-Type"), answer.Body
	return out
}

// recordedAnswer returns the answer that was kept for a key.
func recordedAnswer(r *crwire.Record) crrun.Answer {
	if r == nil || r.Outcome != crwire.OutcomeDone {
		return crrun.NewFailure(crwire.OutcomeUnknown, reasonRecorded)
	}
	header := http.Header{}
	if r.Type != "" {
		header.Set("Content-Type", r.Type)
	}
	return crrun.Answer{Status: r.Status, Header: header, Body: r.Body, Outcome: crwire.OutcomeDone, Load: -1}
}
