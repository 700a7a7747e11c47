package cropaque

import (
	"time"

	"cardamomring.dev/internal/crwire"
)

// Standing is whether an agent gets new flows, and why not.
type Standing int

const (
	// StandingReady means that the agent gets new flows.
	StandingReady Standing = iota
	// StandingInactive means that control doesn't list the agent as active.
	StandingInactive
	// StandingZoneOut means that the agent's availability zone is out of service.
	StandingZoneOut
	// StandingDraining means that the agent announced its stop just now.
	StandingDraining
	// StandingRefused means that the agent refused a flow just now for a reason
	// that lasts.
	StandingRefused
	// StandingSilent means that the agent hasn't answered a frame in time.
	StandingSilent
)

// standing returns whether an agent gets an offer now. With mayQueue the offer may
// be queued.
func (s *Steering) standing(now time.Time, p *peer, mayQueue bool) Standing {
	switch {
	case !p.takesFlows && (p.removed || p.member.State != crwire.MemberActive):
		return StandingInactive
	case !p.takesFlows:
		return StandingZoneOut
	case now.Sub(p.drainingAt) < drainOfferPause:
		return StandingDraining
	case now.Sub(p.refusedAt) < offerRetryInterval && p.refusalLasts(mayQueue):
		return StandingRefused
	case s.silent(now, p):
		// It is tested by a ping, not by a caller's flow.
		return StandingSilent
	}
	return StandingReady
}

// refusalLasts reports whether the reason of an agent's latest refusal holds for
// other flows, too. All but a full backend server do when an offer may be queued.
func (p *peer) refusalLasts(mayQueue bool) bool {
	switch p.refusalReason {
	case ReasonDraining, ReasonAbsent, ReasonSilent:
		return true
	case ReasonNone, ReasonFull:
		return false
	default:
		return mayQueue
	}
}
