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
	// controlCallTimeout bounds one call to one control instance.
	controlCallTimeout = 2 * time.Second
	// claimRetryFraction is the fraction of the remaining time during which a
	// claim is retried while control is unavailable.
	claimRetryFraction = 0.5
	// claimBackoffMin is the first pause before a claim is retried.
	claimBackoffMin = 20 * time.Millisecond
	// claimBackoffMax bounds the pause, which doubles with each retry.
	claimBackoffMax = 500 * time.Millisecond
	// settleTimeout bounds the background retries of recording an outcome.
	settleTimeout = 30 * time.Second
	// settleInterval is the pause between these retries.
	settleInterval = 200 * time.Millisecond
)

// Reasons for refusing a request with an idempotency key.
const (
	reasonControl  = "control"
	reasonHeld     = "held"
	reasonMismatch = "mismatch"
	reasonRecorded = "recorded"
	reasonTooLong  = "answer over the size that is kept"
)

// runClaimed runs a non-repeatable request with an idempotency key, at most
// once for the key.
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
		a.loops.Go(func() { a.runRelease(claim) })
		return crrun.NewFailure(crwire.OutcomeNotrun, reasonControl)
	}
}

// runGranted runs a request whose claim was granted to this attempt, and
// records the outcome.
func (a *Agent) runGranted(ctx context.Context, req *crrun.Request, class crdoc.Class, claim crwire.Claim) crrun.Answer {
	answer := crrun.NewFailure(crwire.OutcomeNotrun, reasonFrozen)
	if !deadlinePassed(ctx) {
		answer = a.runOnBackend(ctx, req, class)
	}
	// If the request has not run, its key must be released before another
	// agent can claim it. Any other outcome is recorded for later requests
	// with the key.
	recorded := a.settle(claim, newRecord(answer))
	if answer.Outcome == crwire.OutcomeNotrun && !recorded {
		return crrun.NewFailure(crwire.OutcomeNotrun, reasonGone)
	}
	return answer
}

// acquireClaim requests a claim until control returns a final verdict or the
// deadline passes. While control is unavailable, for example during an
// election, it retries only for claimRetryFraction of the remaining time, so
// that enough time is left to run the request.
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

// claimRetryDeadline returns until when a claim is retried while control is
// unavailable.
func claimRetryDeadline(ctx context.Context) time.Time {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		return now
	}
	return now.Add(time.Duration(claimRetryFraction * float64(deadline.Sub(now))))
}

// requestClaim calls the control instances in turn until one returns a verdict.
// The same attempt gets the same verdict from each instance.
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

// settle records an outcome at control and reports whether control accepted it.
// It calls each instance once while the caller waits; if all fail, it continues
// in the background.
func (a *Agent) settle(claim crwire.Claim, record crwire.Record) bool {
	s := crwire.Settle{Service: claim.Service, Key: claim.Key, Attempt: claim.Attempt, Record: record}
	if a.sendSettle(context.Background(), s) {
		return true
	}
	a.loops.Go(func() { a.runSettle(s) })
	return false
}

// runRelease releases the key of a claim that got no response: control may
// have granted the claim and the response may have been lost. It releases the
// key a second time because the claim may still have been in transit at the
// first.
func (a *Agent) runRelease(claim crwire.Claim) {
	s := crwire.Settle{
		Service: claim.Service, Key: claim.Key, Attempt: claim.Attempt,
		Record: crwire.Record{Outcome: crwire.OutcomeNotrun},
	}
	a.runSettle(s)
	crnet.Pause(context.Background(), controlCallTimeout)
	a.runSettle(s)
}

// runSettle sends an outcome to control until an instance accepts it or
// settleTimeout passes.
func (a *Agent) runSettle(s crwire.Settle) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil && !a.sendSettle(ctx, s) {
		crnet.Pause(ctx, settleInterval)
	}
}

// sendSettle sends an outcome to the control instances in turn and reports
// whether one accepted it.
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

// digest returns a hash of the request that a key was used for.
func digest(req *crrun.Request) string {
	h := sha256.New()
	for _, part := range []string{req.Method, "\x00", req.Target, "\x00"} {
		h.Write([]byte(part))
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// newRecord returns the record of an answer. An answer whose body exceeds
// crwire.RecordMax is replaced by a problem document that says so.
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

// recordedAnswer returns the answer recorded for a key.
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
