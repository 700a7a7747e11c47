package crstate

import (
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// roomMax bounds the room that the claims of one service take, in bytes.
	roomMax = 64 << 20
	// claimCost is the room of a claim beside its texts and body, in bytes.
	claimCost = 256
	// keepDefault is how long a claim is kept when its document says nothing.
	keepDefault = 24 * time.Hour
	// keepMin is the shortest time that a claim is kept. It is longer than
	// any request may take.
	keepMin = 2 * time.Minute
)

// claim is a keyed request as it was claimed.
type claim struct {
	Digest  string `json:"digest"`
	Attempt string `json:"attempt"`
	// Free says that Attempt has not run and gave the key back.
	Free bool `json:"free,omitempty"`
	// Record is the outcome, nil while Attempt holds the claim.
	Record *crwire.Record `json:"record,omitempty"`
	// Until is when the claim is forgotten, by the time of entries.
	Until time.Time `json:"until"`
	// place is the claim's place in the heap of expiries.
	place int
}

// room returns what a claim takes, in bytes. A claim without an outcome has
// the room for the largest one reserved.
func (c *claim) room(key string) int {
	n := claimCost + len(key) + len(c.Digest) + len(c.Attempt)
	if c.Record == nil {
		return n + crwire.RecordMax
	}
	return n + len(c.Record.Body) + len(c.Record.Type)
}

// applyClaims answers each claim in order.
func (s *State) applyClaims(claims []crwire.Claim) Reply {
	reply := Reply{ClaimResults: make([]crwire.ClaimResponse, len(claims))}
	for i := range claims {
		reply.ClaimResults[i] = s.claim(&claims[i])
	}
	return reply
}

// claim answers one claim; at most one attempt of a key is granted.
func (s *State) claim(c *crwire.Claim) crwire.ClaimResponse {
	held := s.Claims[c.Service][c.Key]
	switch {
	case held == nil || held.Free && held.Attempt != c.Attempt:
		return s.grant(c)
	case held.Free:
		return crwire.ClaimResponse{Verdict: crwire.VerdictUnavailable}
	case held.Digest != c.Digest:
		return crwire.ClaimResponse{Verdict: crwire.VerdictMismatch}
	case held.Record != nil:
		return crwire.ClaimResponse{Verdict: crwire.VerdictRecorded, Record: held.Record}
	case held.Attempt == c.Attempt:
		return crwire.ClaimResponse{Verdict: crwire.VerdictGranted}
	default:
		return crwire.ClaimResponse{Verdict: crwire.VerdictHeld}
	}
}

// grant gives a key to an attempt when the service has room for it.
func (s *State) grant(c *crwire.Claim) crwire.ClaimResponse {
	next := &claim{Digest: c.Digest, Attempt: c.Attempt, Until: s.Time.Add(s.keep(c.Service))}
	s.dropClaim(c.Service, c.Key)
	if s.Services[c.Service] == nil || s.sizes[c.Service]+next.room(c.Key) > roomMax {
		return crwire.ClaimResponse{Verdict: crwire.VerdictUnavailable}
	}
	s.putClaim(c.Service, c.Key, next)
	return crwire.ClaimResponse{Verdict: crwire.VerdictGranted}
}

// applySettles records outcomes of claims that their attempts still hold.
// The first outcome stands, but one that is known replaces an unknown one.
func (s *State) applySettles(settles []crwire.Settle) {
	for i := range settles {
		t := &settles[i]
		held := s.Claims[t.Service][t.Key]
		if held == nil || held.Attempt != t.Attempt || held.Free {
			continue
		}
		if held.Record != nil && (held.Record.Outcome != crwire.OutcomeUnknown || t.Record.Outcome != crwire.OutcomeDone) {
			continue
		}
		s.settle(held, t)
	}
}

// settle records an outcome.
func (s *State) settle(held *claim, t *crwire.Settle) {
	next := *held
	next.Until = s.Time.Add(s.keep(t.Service))
	record := t.Record
	if len(record.Body) > crwire.RecordMax {
		record.Body = nil
	}
	next.Record = &record
	if record.Outcome == crwire.OutcomeNotrun {
		// What remains keeps a delayed claim of the same attempt from
		// taking the key again.
		next.Free, next.Record = true, &crwire.Record{Outcome: crwire.OutcomeNotrun}
		next.Until = s.Time.Add(keepMin)
	}
	s.dropClaim(t.Service, t.Key)
	s.putClaim(t.Service, t.Key, &next)
}

// keep returns how long claims of a service are kept.
func (s *State) keep(service string) time.Duration {
	doc := s.Services[service]
	if doc == nil || doc.Keep <= 0 {
		return keepDefault
	}
	return max(keepMin, doc.Keep.D())
}
