package crcontrol

import (
	"context"
	"net/http"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// settled answers a settle.
type settled struct{}

// serveClaim answers a claim. Without a quorum it answers 503, so that the
// claimant tries another instance.
func (c *Control) serveClaim(w http.ResponseWriter, r *http.Request) {
	var claim crwire.Claim
	if !crnet.ReadJSON(w, r, bodyMax, &claim) {
		return
	}
	if !fits(claim.Service, claim.Key, claim.Attempt, claim.Digest) {
		http.Error(w, "service, key, digest and attempt: want 1 to 512 bytes each", http.StatusBadRequest)
		return
	}
	claimed, err := c.claims.do(r.Context(), claim)
	c.metrics.claims.WithLabelValues(claimed.Verdict.String()).Inc()
	c.answer(w, claimed, err)
}

// serveSettle records an outcome.
func (c *Control) serveSettle(w http.ResponseWriter, r *http.Request) {
	var settle crwire.Settle
	if !crnet.ReadJSON(w, r, bodyMax, &settle) {
		return
	}
	if !fits(settle.Service, settle.Key, settle.Attempt) || len(settle.Record.Type) > nameMax {
		http.Error(w, "service, key, attempt and type: want at most 512 bytes each", http.StatusBadRequest)
		return
	}
	answer, err := c.settles.do(r.Context(), settle)
	c.answer(w, answer, err)
}

// serveClaims answers the claims that another instance gathered.
func (c *Control) serveClaims(w http.ResponseWriter, r *http.Request) {
	serveBatch(c, w, r, c.claim)
}

// serveSettles records the outcomes that another instance gathered.
func (c *Control) serveSettles(w http.ResponseWriter, r *http.Request) {
	serveBatch(c, w, r, c.settle)
}

// commitClaims answers claims here or at the leader.
func (c *Control) commitClaims(ctx context.Context, claims []crwire.Claim) ([]crwire.ClaimResponse, error) {
	return carryOut(ctx, c, pathClaims, claims, c.claim)
}

// commitSettles records outcomes here or at the leader.
func (c *Control) commitSettles(ctx context.Context, settles []crwire.Settle) ([]settled, error) {
	return carryOut(ctx, c, pathSettles, settles, c.settle)
}

// claim commits claims as the leader.
func (c *Control) claim(ctx context.Context, claims []crwire.Claim) ([]crwire.ClaimResponse, error) {
	reply, err := c.commit(ctx, crstate.Entry{Kind: crwire.KindClaims, Claims: claims})
	return reply.ClaimResults, err
}

// settle commits outcomes as the leader.
func (c *Control) settle(ctx context.Context, settles []crwire.Settle) ([]settled, error) {
	_, err := c.commit(ctx, crstate.Entry{Kind: crwire.KindOutcomes, Settles: settles})
	return make([]settled, len(settles)), err
}

// fits reports whether each text has 1 to nameMax bytes.
func fits(texts ...string) bool {
	for _, text := range texts {
		if text == "" || len(text) > nameMax {
			return false
		}
	}
	return true
}
