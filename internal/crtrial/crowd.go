package crtrial

import (
	"context"
	"sync"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// resends is how often a keyed request is sent again after an outcome
	// that is not known.
	resends = 20
	// resendWait is the pause before it.
	resendWait = 100 * time.Millisecond
	// callerTimeout bounds one request of a caller.
	callerTimeout = 10 * time.Second
)

// Crowd is many callers of one service who send requests one after another,
// each over one long flow. Set the exported fields before Start.
type Crowd struct {
	Deployment *Deployment
	Service    string
	// Flows is the number of callers.
	Flows int
	// Pause is the time between an answer and the next request.
	Pause time.Duration
	// Make returns the request with a number that no other has. A request
	// with a key is sent again until its outcome is known.
	Make func(n int) Request

	mu    sync.Mutex
	next  int
	tally Tally
	begun time.Time
	stop  context.CancelFunc
	group sync.WaitGroup
}

// Tally counts what callers were told.
type Tally struct {
	// Asked, Done, Notrun and Unknown count requests by their last outcome.
	Asked, Done, Notrun, Unknown int
	// Reasons counts refusals and unknown outcomes by their reason; it is
	// empty for a flow that broke.
	Reasons map[string]int
	// Took holds the time of each answer of a request that has run.
	Took []time.Duration
	// Broken lists the flows that broke under a request.
	Broken []Break
	// Final is the last outcome of each keyed request, by its body.
	Final map[string]crwire.Outcome
	// Seconds counts by second since the start.
	Seconds []Second
}

// Second counts the requests of one second.
type Second struct{ Asked, Done int }

// Break is a flow that broke.
type Break struct {
	// Agent held the flow, as far as its last answer told.
	Agent string
	// At is when the break was noticed.
	At  time.Time
	Err error
}

// Start lets the callers begin.
func (c *Crowd) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	c.stop, c.begun = stop, time.Now()
	c.tally.Final = map[string]crwire.Outcome{}
	c.tally.Reasons = map[string]int{}
	for range c.Flows {
		flow, err := c.Deployment.NewFlow(c.Service)
		if err != nil {
			stop()
			return err
		}
		c.group.Go(func() { c.run(ctx, flow) })
	}
	return nil
}

// Stop ends the callers after the requests under way and returns the tally.
func (c *Crowd) Stop() Tally {
	c.stop()
	c.group.Wait()
	return c.Tally()
}

// Tally returns the counts so far.
func (c *Crowd) Tally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

// run sends one caller's requests until ctx ends.
func (c *Crowd) run(ctx context.Context, flow *Flow) {
	defer func() { _ = flow.Close() }()
	agent := ""
	for ctx.Err() == nil {
		agent = c.ask(flow, agent)
		select {
		case <-time.After(c.Pause):
		case <-ctx.Done():
		}
	}
}

// ask sends one request until its outcome is known, and returns the agent
// that holds the flow.
func (c *Crowd) ask(flow *Flow, agent string) string {
	c.mu.Lock()
	req := c.Make(c.next)
	c.next++
	c.mu.Unlock()
	var answer Answer
	for range resends {
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		answer = flow.Do(ctx, req)
		cancel()
		c.note(answer, agent)
		if answer.Agent != "" {
			agent = answer.Agent
		}
		if req.Key == "" || !answer.Broken && answer.Outcome != crwire.OutcomeUnknown {
			break
		}
		time.Sleep(resendWait)
	}
	c.count(req, answer)
	return agent
}

// note records a flow that broke.
func (c *Crowd) note(answer Answer, agent string) {
	if !answer.Broken {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Broken = append(c.tally.Broken, Break{Agent: agent, At: time.Now(), Err: answer.Err})
}

// count records a request's last outcome.
func (c *Crowd) count(req Request, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.tally
	t.Asked++
	second := int(time.Since(c.begun) / time.Second)
	for len(t.Seconds) <= second {
		t.Seconds = append(t.Seconds, Second{})
	}
	t.Seconds[second].Asked++
	switch answer.Outcome {
	case crwire.OutcomeDone:
		t.Done++
		t.Seconds[second].Done++
		t.Took = append(t.Took, answer.Took)
	case crwire.OutcomeNotrun:
		t.Notrun++
		t.Reasons[answer.Reason()]++
	default:
		t.Unknown++
		t.Reasons[answer.Reason()]++
	}
	if req.Key != "" {
		t.Final[string(req.Body)] = answer.Outcome
	}
}
