package crcontrol

import (
	"context"
	"net/http"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// settleResponse is the empty response to a settle call.
type settleResponse struct{}

// serveClaim decides a claim of an idempotency key. Without a quorum it responds
// with 503, so that the claimant tries another instance.
func (c *Control) serveClaim(w http.ResponseWriter, r *http.Request) {
	var claim crwire.Claim
	if !crnet.ReadJSON(w, r, maxBodyBytes, &claim) {
		return
	}
	if !validTexts(claim.Service, claim.Key, claim.Attempt, claim.Digest) {
		http.Error(w, "service, key, digest and attempt: want 1 to 512 bytes each", http.StatusBadRequest)
		return
	}
	resp, err := c.claims.do(r.Context(), claim)
	c.metrics.claims.WithLabelValues(resp.Verdict.String()).Inc()
	c.respond(w, resp, err)
}

// serveSettle records the outcome of an attempt.
func (c *Control) serveSettle(w http.ResponseWriter, r *http.Request) {
	var settle crwire.Settle
	if !crnet.ReadJSON(w, r, maxBodyBytes, &settle) {
		return
	}
	if !validTexts(settle.Service, settle.Key, settle.Attempt) || len(settle.Record.Type) > maxTextBytes {
		http.Error(w, "service, key and attempt: want 1 to 512 bytes each; type: want at most 512 bytes", http.StatusBadRequest)
		return
	}
	resp, err := c.settles.do(r.Context(), settle)
	c.respond(w, resp, err)
}

// serveClaimBatch decides a batch of claims that another instance forwarded.
func (c *Control) serveClaimBatch(w http.ResponseWriter, r *http.Request) {
	serveBatch(c, w, r, c.claimKeysAsLeader)
}

// serveSettleBatch records a batch of outcomes that another instance forwarded.
func (c *Control) serveSettleBatch(w http.ResponseWriter, r *http.Request) {
	serveBatch(c, w, r, c.recordOutcomesAsLeader)
}

// claimKeys decides claims on this instance if it leads, otherwise on the leader.
func (c *Control) claimKeys(ctx context.Context, claims []crwire.Claim) ([]crwire.ClaimResponse, error) {
	return runOnLeader(ctx, c, pathClaimBatch, claims, c.claimKeysAsLeader)
}

// recordOutcomes records outcomes on this instance if it leads, otherwise on the
// leader.
func (c *Control) recordOutcomes(ctx context.Context, settles []crwire.Settle) ([]settleResponse, error) {
	return runOnLeader(ctx, c, pathSettleBatch, settles, c.recordOutcomesAsLeader)
}

// claimKeysAsLeader commits claims on the leader.
func (c *Control) claimKeysAsLeader(ctx context.Context, claims []crwire.Claim) ([]crwire.ClaimResponse, error) {
	reply, err := c.commit(ctx, crstate.Entry{Kind: crwire.KindClaims, Claims: claims})
	return reply.ClaimResults, err
}

// recordOutcomesAsLeader commits outcomes on the leader.
func (c *Control) recordOutcomesAsLeader(ctx context.Context, settles []crwire.Settle) ([]settleResponse, error) {
	_, err := c.commit(ctx, crstate.Entry{Kind: crwire.KindOutcomes, Settles: settles})
	return make([]settleResponse, len(settles)), err
}

// validTexts reports whether each text has 1 to maxTextBytes bytes.
func validTexts(texts ...string) bool {
	for _, text := range texts {
		if text == "" || len(text) > maxTextBytes {
			return false
		}
	}
	return true
}
