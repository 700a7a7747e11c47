package cropaque

import "time"

const (
	// minAnswerTimeout covers ten round trips between zones of one region.
	// maxAnswerTimeout leaves a caller time for another agent.
	minAnswerTimeout = 40 * time.Millisecond
	maxAnswerTimeout = 400 * time.Millisecond
	// answerTimeFactor is how many times the usual time an agent may take.
	answerTimeFactor = 2
	// slowAnswerShare is the share of answers that take longer than the usual
	// time, and answerTimeStep how fast the usual time follows.
	slowAnswerShare = 0.1
	answerTimeStep  = 0.5
	// initialAnswerTime is the usual time before the first answer.
	initialAnswerTime = 10 * time.Millisecond
)

// answerTime estimates the time that all but a few answers take, from the frame that
// asks until the answer is handled. It is made for a balancer that is itself late,
// because its link or processor is saturated after callers have returned: it then
// sees all agents late. With a fixed timeout it would take them for silent and ask
// others, and that work would keep it late. An agent that really is silent gives no
// sample.
type answerTime struct {
	usual time.Duration
}

// record adds the time that an answer took.
func (a *answerTime) record(d time.Duration) {
	if a.usual == 0 {
		a.usual = initialAnswerTime
	}
	if d > a.usual {
		a.usual = min(d, time.Duration(float64(a.usual)*(1+answerTimeStep*(1-slowAnswerShare))))
		return
	}
	a.usual = max(d, time.Duration(float64(a.usual)*(1-answerTimeStep*slowAnswerShare)))
}

// timeout returns how long an agent may take to answer.
func (a *answerTime) timeout() time.Duration {
	return max(minAnswerTimeout, min(maxAnswerTimeout, answerTimeFactor*a.usual))
}
