package cropaque

import (
	"slices"
	"time"
)

const (
	// maxRepeatedOffers is how often a flow that no agent takes is offered again to
	// agents that haven't answered its last offer, within maxHold. After that only a
	// late answer or its caller's next copy of the opening packet goes on with it.
	maxRepeatedOffers = 3
	// rejectionRetention is how long a flow whose caller was reset is kept: until
	// the caller's last copy of the opening packet has come, through a full link.
	rejectionRetention = 2 * time.Second
	// lateLoopTTL is how long after a late call packets are handled that arrived
	// before it.
	lateLoopTTL = time.Second
)

// offer is what is known about an agent that got an opening packet.
type offer struct {
	agent *peer
	// number is that of the latest frame with the packet.
	number uint64
	// refused is set when the agent has refused that frame, or has taken the flow
	// by it and given it back: its backend server doesn't hold the flow and won't.
	refused bool
}

// recordOffer numbers an offer to an agent.
func (f *balancerFlow) recordOffer(p *peer) uint64 {
	f.offerCount++
	for i := range f.offers {
		if o := &f.offers[i]; o.agent == p {
			o.number, o.refused = f.offerCount, false
			return f.offerCount
		}
	}
	f.offers = append(f.offers, offer{agent: p, number: f.offerCount})
	return f.offerCount
}

// recordRefusal records that an agent has refused the offer with a number. A refusal
// of an earlier offer says nothing about a later one.
func (f *balancerFlow) recordRefusal(p *peer, number uint64) {
	for i := range f.offers {
		if o := &f.offers[i]; o.agent == p && o.number == number {
			o.refused = true
		}
	}
}

// awaitsLaterAnswer reports whether an agent got an offer after the one with a number.
func (f *balancerFlow) awaitsLaterAnswer(p *peer, number uint64) bool {
	for _, o := range f.offers {
		if o.agent == p {
			return number != 0 && o.number > number
		}
	}
	return false
}

// refusedBy reports whether an agent has refused the offer with a number.
func (f *balancerFlow) refusedBy(p *peer, number uint64) bool {
	for _, o := range f.offers {
		if o.agent == p && o.number == number {
			return o.refused
		}
	}
	return false
}

// unansweredOffer returns an agent that may have taken the flow, nil if there is none:
// its answer or the offer itself may be late or lost. An agent that is lost holds
// nothing.
func (f *balancerFlow) unansweredOffer(now time.Time) *peer {
	for _, o := range f.offers {
		if !o.refused && !o.agent.lost(now) {
			return o.agent
		}
	}
	return nil
}

// offeredAgents returns the agents that got the opening packet.
func (f *balancerFlow) offeredAgents() []*peer {
	list := make([]*peer, 0, len(f.offers))
	for _, o := range f.offers {
		list = append(list, o.agent)
	}
	return list
}

// recordCopy records an opening packet. The caller has sent its first copy by the
// arrival of any copy, less the time after which it sends that copy.
func (f *balancerFlow) recordCopy(now time.Time, p Packet) {
	if !slices.Contains(f.copyAges, p.Age) {
		f.copyAges = append(f.copyAges, p.Age)
	}
	if at := now.Add(-p.Age); f.firstSentBy.IsZero() || at.Before(f.firstSentBy) {
		f.firstSentBy = at
	}
}

// sawAllCopies reports whether all opening packets that the caller can have sent came
// through this balancer. Otherwise the flow may be open at an agent to which another
// balancer has offered it. Packets that came may have waited for as long as delay.
func (f *balancerFlow) sawAllCopies(now time.Time, delay time.Duration) bool {
	sent := 1
	for _, after := range copyDelays {
		if now.Sub(f.firstSentBy)+delay >= after {
			sent++
		}
	}
	return len(f.copyAges) >= sent
}

// copyDelays are the times after its first opening packet at which a caller repeats
// it.
var copyDelays = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// ownDelay returns how long packets may wait at this balancer before they are handled
// or after they are sent: what agents' answers take both ways, and how late the loop
// was.
func (s *Steering) ownDelay(now time.Time) time.Duration {
	delay := s.answers.timeout()
	if now.Sub(s.lateAt) <= lateLoopTTL {
		delay = max(delay, s.lateBy)
	}
	return delay
}

// noteLoopDelay records how late the loop runs.
func (s *Steering) noteLoopDelay(now time.Time) {
	if s.nextTickAt.IsZero() {
		return
	}
	if late := now.Sub(s.nextTickAt); late >= lateTick && (late >= s.lateBy || now.Sub(s.lateAt) > lateLoopTTL) {
		s.lateBy, s.lateAt = late, now
	}
}

// reject ends the opening of a flow that no agent takes. Its caller is reset at once if
// that is proved to break no open flow: every agent that got the opening packet has
// refused it, and no copy went through another balancer. It is made for a balancer
// whose link is full, so that offers or answers are lost, and for callers whose packets
// move to another balancer because of that.
func (s *Steering) reject(now time.Time, f *balancerFlow, d Decision) {
	f.phase, f.owner, f.timerAt, f.rejection = phaseOpening, nil, time.Time{}, d
	p := f.unansweredOffer(now)
	switch {
	case p != nil && f.repeatedOffers < maxRepeatedOffers && now.Sub(f.arrivedAt) < maxHold:
		f.repeatedOffers++
		s.offer(now, f, p)
	case p == nil && f.sawAllCopies(now, s.ownDelay(now)):
		d.Key, d.Age, d.Revision = f.key, now.Sub(f.arrivedAt), s.view.Revision
		s.LogDecision(d)
		f.phase, f.openPacket = phaseRejected, nil
		s.ResetFlow(f.key, 0)
	default:
		s.LogDecision(Decision{Event: "caller isn't reset: its flow may be open", Key: f.key, Age: now.Sub(f.arrivedAt)})
	}
}

// rejected reports whether the opening of a flow was ended and only a late answer or
// another copy of the opening packet can go on with it.
func (f *balancerFlow) rejected() bool {
	return f.phase == phaseOpening && f.owner == nil && f.timerAt.IsZero() && f.rejection.Event != ""
}
