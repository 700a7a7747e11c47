package crstate

import (
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// maxServiceClaimBytes bounds the total size of the claims of one service.
	maxServiceClaimBytes = 64 << 20
	// claimOverheadBytes is the size of a claim without its variable fields.
	claimOverheadBytes = 256
	// defaultRetention applies to services whose document sets no keep time.
	defaultRetention = 24 * time.Hour
	// minRetention is the lower bound of the retention of a claim. It is
	// longer than any request may take.
	minRetention = 2 * time.Minute
)

// claim is the stored claim of a request with an idempotency key.
type claim struct {
	Digest  string `json:"digest"`
	Attempt string `json:"attempt"`
	// Released is set when Attempt did not run and released the key.
	Released bool `json:"free,omitempty"`
	// Record is the outcome of the request; nil until it is known.
	Record *crwire.Record `json:"record,omitempty"`
	// ExpiresAt is when the claim is removed, compared with State.Time.
	ExpiresAt time.Time `json:"until"`
	// heapIndex is the position of the claim in State.expiries.
	heapIndex int
}

// size returns the bytes that a claim counts against maxServiceClaimBytes. A
// claim without an outcome reserves space for the largest one.
func (c *claim) size(key string) int {
	n := claimOverheadBytes + len(key) + len(c.Digest) + len(c.Attempt)
	if c.Record == nil {
		return n + crwire.RecordMax
	}
	return n + len(c.Record.Body) + len(c.Record.Type)
}

// applyClaims applies claims in order and returns a result for each.
func (s *State) applyClaims(claims []crwire.Claim) Reply {
	reply := Reply{ClaimResults: make([]crwire.ClaimResponse, len(claims))}
	for i := range claims {
		reply.ClaimResults[i] = s.applyClaim(&claims[i])
	}
	return reply
}

// applyClaim applies one claim. At most one attempt holds a key at a time.
func (s *State) applyClaim(c *crwire.Claim) crwire.ClaimResponse {
	existing := s.Claims[c.Service][c.Key]
	switch {
	case existing == nil || existing.Released && existing.Attempt != c.Attempt:
		return s.grant(c)
	case existing.Released:
		return crwire.ClaimResponse{Verdict: crwire.VerdictUnavailable}
	case existing.Digest != c.Digest:
		return crwire.ClaimResponse{Verdict: crwire.VerdictMismatch}
	case existing.Record != nil:
		return crwire.ClaimResponse{Verdict: crwire.VerdictRecorded, Record: existing.Record}
	case existing.Attempt == c.Attempt:
		return crwire.ClaimResponse{Verdict: crwire.VerdictGranted}
	default:
		return crwire.ClaimResponse{Verdict: crwire.VerdictHeld}
	}
}

// grant assigns a key to an attempt, unless the service is unknown or the claims
// of the service would exceed maxServiceClaimBytes.
func (s *State) grant(c *crwire.Claim) crwire.ClaimResponse {
	next := &claim{Digest: c.Digest, Attempt: c.Attempt, ExpiresAt: s.Time.Add(s.retention(c.Service))}
	bytes := s.claimBytes[c.Service] + next.size(c.Key)
	if released := s.Claims[c.Service][c.Key]; released != nil {
		bytes -= released.size(c.Key)
	}
	if s.Services[c.Service] == nil || bytes > maxServiceClaimBytes {
		// A released claim stays, so that a delayed claim of its attempt is
		// still refused.
		return crwire.ClaimResponse{Verdict: crwire.VerdictUnavailable}
	}
	s.dropClaim(c.Service, c.Key)
	s.putClaim(c.Service, c.Key, next)
	return crwire.ClaimResponse{Verdict: crwire.VerdictGranted}
}

// applySettles records the outcomes of claims that their attempts still hold.
// The first outcome is final, except that OutcomeDone replaces OutcomeUnknown.
func (s *State) applySettles(settles []crwire.Settle) {
	for i := range settles {
		settle := &settles[i]
		existing := s.Claims[settle.Service][settle.Key]
		if existing == nil || existing.Attempt != settle.Attempt || existing.Released {
			continue
		}
		if existing.Record != nil &&
			(existing.Record.Outcome != crwire.OutcomeUnknown || settle.Record.Outcome != crwire.OutcomeDone) {
			continue
		}
		s.recordOutcome(existing, settle)
	}
}

// recordOutcome stores the outcome of a claim and restarts its retention.
func (s *State) recordOutcome(existing *claim, settle *crwire.Settle) {
	next := *existing
	next.ExpiresAt = s.Time.Add(s.retention(settle.Service))
	record := settle.Record
	if len(record.Body) > crwire.RecordMax {
		record.Body = nil
	}
	next.Record = &record
	if record.Outcome == crwire.OutcomeNotrun {
		// The released claim is kept for minRetention, so that a delayed
		// claim of the same attempt is not granted again.
		next.Released, next.Record = true, &crwire.Record{Outcome: crwire.OutcomeNotrun}
		next.ExpiresAt = s.Time.Add(minRetention)
	}
	s.dropClaim(settle.Service, settle.Key)
	s.putClaim(settle.Service, settle.Key, &next)
}

// retention returns how long the claims of a service are kept.
func (s *State) retention(service string) time.Duration {
	doc := s.Services[service]
	if doc == nil || doc.OutcomeRetention <= 0 {
		return defaultRetention
	}
	return max(minRetention, doc.OutcomeRetention.D())
}
