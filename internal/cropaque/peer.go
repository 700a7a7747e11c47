package cropaque

import (
	"net/netip"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// pingInterval is how long a balancer waits for a frame of an agent that
	// it sends to before it pings the agent, and the least time between two
	// pings.
	pingInterval = 100 * time.Millisecond
)

// peer is the state of an agent on a balancer.
type peer struct {
	member crwire.Member
	addr   netip.AddrPort
	load   Load
	// joinedAt is when the agent became a member, zero if the first view had it.
	joinedAt time.Time
	// loadReportedAt is when load was received, lastFrameAt when any frame was
	// received.
	loadReportedAt, lastFrameAt time.Time
	// unansweredSince is when the oldest frame since the last answer was sent,
	// zero if none is unanswered. pingedAt is when the last ping was sent.
	unansweredSince, pingedAt time.Time
	// slowestAnswer is the longest time that a recent answer took, measured at
	// slowestAt.
	slowestAnswer time.Duration
	slowestAt     time.Time
	// testAnswered is the number of the latest test that the agent has answered,
	// failedTests counts the tests that it has failed since its last frame.
	testAnswered uint64
	failedTests  int
	// offersSinceReport counts the offers that load doesn't include yet.
	offersSinceReport int
	// refusedAt is when the agent last refused a flow, refusalReason why. The
	// reason is cleared when the agent takes a flow.
	refusedAt     time.Time
	refusalReason Reason
	// drainingAt is when the agent announced its stop. It may come back under
	// the same name.
	drainingAt time.Time
	// takesFlows is set while the agent is an active member in a zone that is in
	// service.
	takesFlows bool
	// removed is set when the agent is no longer a member. Its flows may still
	// be alive: an agent that is cut off from control alone loses its
	// membership too.
	removed bool
}

// pingIfQuiet pings an agent that gets packets but hasn't sent a frame for a
// while, as agents don't acknowledge carried packets.
func (s *Steering) pingIfQuiet(now time.Time, p *peer) {
	if now.Sub(p.lastFrameAt) >= pingInterval {
		s.ping(now, p)
	}
}

// ping pings an agent, at most once in a pingInterval.
func (s *Steering) ping(now time.Time, p *peer) {
	if now.Sub(p.pingedAt) < pingInterval {
		return
	}
	if !s.control.take(now, 1) {
		return
	}
	s.sendPing(now, p)
}

// sendPing sends a ping, which is part of the test that runs.
func (s *Steering) sendPing(now time.Time, p *peer) {
	p.pingedAt = now
	s.markUnanswered(now, p)
	s.Send(p.addr, &Frame{Kind: FramePing, Number: s.test.number})
}

// markUnanswered records that an agent has a frame to answer.
func (s *Steering) markUnanswered(now time.Time, p *peer) {
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
}

// silent reports whether an agent has not answered a frame in time.
func (s *Steering) silent(now time.Time, p *peer) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= s.answers.timeout()
}

// contains reports whether an agent is in a list of a few.
func contains(list []*peer, p *peer) bool {
	for _, q := range list {
		if q == p {
			return true
		}
	}
	return false
}
