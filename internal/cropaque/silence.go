package cropaque

import (
	"cmp"
	"slices"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// silentAgentTimeout is how long an agent may leave frames unanswered
	// before callers are reset: those of its repeatable flows, or all once it
	// is no longer a member.
	silentAgentTimeout = time.Second
	// slowAnswerFactor is how many times the slowest recent answer of an agent
	// its silence must last, up to maxSilentAgentTimeout, and slowAnswerTTL how
	// long an answer is recent.
	slowAnswerFactor      = 3
	maxSilentAgentTimeout = 4 * time.Second
	slowAnswerTTL         = 10 * time.Second
	// restartTime is how long an agent that has announced its stop may be silent. Its
	// backend server goes on, and it starts again beside it.
	restartTime = 5 * time.Second
	// testInterval is the time between two tests of silent agents. It covers
	// some round trips within a region and ten between zones.
	testInterval = 125 * time.Millisecond
	// minFailedTests is how many tests an agent must fail, less those that
	// most witnesses failed, too, before callers are reset. With a tenth of the
	// pings lost that happens by chance once in some millions.
	minFailedTests = 6
	// witnessCount is how many agents must answer a test.
	witnessCount = 3
)

// silenceTest pings agents that are silent and, after them, agents that answer, the
// witnesses. A silent agent has failed the test only if all witnesses answer before the
// next one: otherwise the pings or the answers may be late or lost at this balancer. It
// is made for a balancer whose link is full of uploads, on which most pings are lost:
// without witnesses it took agents for lost that ran, and reset their flows.
type silenceTest struct {
	// number identifies the test; pings carry it and answers repeat it.
	number uint64
	// startedAt is zero while no test runs.
	startedAt time.Time
	suspects  []*peer
	// witnesses are the agents that must answer; void is set if there are none or
	// if not all could be pinged.
	witnesses []*peer
	void      bool
}

// nextAt returns when a test that runs ends, and whether one runs.
func (t *silenceTest) nextAt() (time.Time, bool) {
	return t.startedAt.Add(testInterval), !t.startedAt.IsZero()
}

// conclude ends a test. Agents that have answered meanwhile have no failed tests. A test
// in which one witness didn't answer proves nothing, and one in which more didn't
// counts against the ones before.
func (t *silenceTest) conclude(now time.Time) {
	missing := 0
	for _, w := range t.witnesses {
		if w.testAnswered != t.number {
			missing++
		}
	}
	for _, p := range t.suspects {
		switch {
		case p.unansweredSince.IsZero():
		case t.void || missing > 1 || now.Sub(t.startedAt) >= 2*testInterval:
			p.failedTests = max(0, p.failedTests-1)
		case missing == 0:
			p.failedTests++
		}
	}
	t.startedAt = time.Time{}
}

// testSilentAgents concludes a test and starts the next while agents that matter to a
// flow or a lookup are silent.
func (s *Steering) testSilentAgents(now time.Time) {
	if at, running := s.test.nextAt(); running {
		if now.Before(at) {
			return
		}
		s.test.conclude(now)
		s.resetFlowsOfLostAgents(now)
	}
	if len(s.suspects) == 0 {
		return
	}
	s.test.suspects, s.test.witnesses, s.test.void = s.test.suspects[:0], s.test.witnesses[:0], false
	s.test.number++
	for _, p := range s.suspects {
		if !p.unansweredSince.IsZero() && s.control.take(now, 1) {
			s.test.suspects = append(s.test.suspects, p)
			s.sendPing(now, p)
		}
	}
	if len(s.test.suspects) == 0 {
		return
	}
	s.test.startedAt = now
	for _, p := range s.pickWitnesses(now) {
		if !s.control.take(now, 1) {
			s.test.void = true
			break
		}
		s.test.witnesses = append(s.test.witnesses, p)
		s.sendPing(now, p)
	}
	s.test.void = s.test.void || len(s.test.witnesses) == 0
}

// pickWitnesses returns agents that answer, those of the own zone first. They differ
// from test to test, so that one that falls silent doesn't void all.
func (s *Steering) pickWitnesses(now time.Time) []*peer {
	var list []*peer
	for _, p := range s.peers {
		if !p.removed && !s.silent(now, p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.member.Num, b.member.Num) })
	var own, others []*peer
	for i := range list {
		p := list[(i+int(s.test.number*witnessCount))%len(list)]
		if p.member.Zone == s.Zone {
			own = append(own, p)
			continue
		}
		others = append(others, p)
	}
	list = append(own, others...)
	return list[:min(witnessCount, len(list))]
}

// recordAnswer updates an agent that has sent a frame.
func (p *peer) recordAnswer(now time.Time, fr *Frame) {
	if !p.unansweredSince.IsZero() {
		if d := now.Sub(p.unansweredSince); d > p.slowestAnswer || now.Sub(p.slowestAt) > slowAnswerTTL {
			p.slowestAnswer, p.slowestAt = d, now
		}
	}
	if fr.Kind == FramePong {
		p.testAnswered = fr.Number
	}
	p.lastFrameAt, p.unansweredSince, p.failedTests = now, time.Time{}, 0
}

// lost reports whether it is proved that an agent answers no frames, and long enough
// for its callers to be reset.
func (p *peer) lost(now time.Time) bool {
	timeout := silentAgentTimeout
	if now.Sub(p.slowestAt) <= slowAnswerTTL {
		timeout = max(timeout, min(maxSilentAgentTimeout, slowAnswerFactor*p.slowestAnswer))
	}
	if p.stops() {
		timeout = max(timeout, restartTime)
	}
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= timeout && p.failedTests >= minFailedTests
}

// stops reports whether the agent fell silent after it had announced its stop, to this
// balancer or to control.
func (p *peer) stops() bool {
	return p.member.State == crwire.MemberDraining || !p.drainingAt.IsZero() && p.unansweredSince.Sub(p.drainingAt) < restartTime
}

// findSuspects finds the silent agents whose loss would matter: owners of flows, and
// former members, which lookups ask until they are lost.
func (s *Steering) findSuspects(now time.Time) {
	owners := map[*peer]bool{}
	for _, f := range s.flows {
		if f.phase == phaseOwned && !f.ended {
			owners[f.owner] = true
		}
	}
	s.suspects = s.suspects[:0]
	for p := range owners {
		if p.removed || s.peers[p.addr] != p {
			// Nothing else may ask it.
			s.ping(now, p)
		}
	}
	for _, p := range s.peers {
		if p.removed && !owners[p] {
			owners[p] = true
		}
	}
	for p := range owners {
		if s.silent(now, p) {
			s.suspects = append(s.suspects, p)
		}
	}
	slices.SortFunc(s.suspects, func(a, b *peer) int { return cmp.Compare(a.member.Num, b.member.Num) })
}

// resetFlowsOfLostAgents resets the callers whose agent is lost, if the agent is no
// longer a member or the caller may repeat its request. Other callers may still get
// their answers, and a reset would not help them.
func (s *Steering) resetFlowsOfLostAgents(now time.Time) {
	if !slices.ContainsFunc(s.suspects, func(p *peer) bool { return p.lost(now) }) {
		return
	}
	for key, f := range s.flows {
		if f.phase != phaseOwned || f.ended || !f.owner.lost(now) {
			continue
		}
		route := s.routes[key.Service]
		event := "caller is reset: its agent is silent"
		switch {
		case f.owner.removed:
			event = "caller is reset: its agent is silent and no member any more"
		case route == nil || !route.Repeatable:
			continue
		}
		s.LogDecision(Decision{Event: event, Key: key, Agent: f.owner.addr, Age: now.Sub(f.owner.lastFrameAt)})
		delete(s.flows, key)
		s.ResetFlow(key, f.callerAck)
	}
}
