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

// CallerGroup is many callers of one service who send requests one after another,
// each over one long flow. Set the exported fields before Start.
type CallerGroup struct {
	Deployment *Deployment
	Service    string
	// Callers is the number of callers.
	Callers int
	// Pause is the time between an answer and the next request.
	Pause time.Duration
	// NewRequest returns the request with a number that no other has. A request
	// with a key is sent again until its outcome is known.
	NewRequest func(n int) Request

	mu    sync.Mutex
	next  int
	tally CallerStats
	begun time.Time
	stop  context.CancelFunc
	group sync.WaitGroup
}

// CallerStats counts what callers were told.
type CallerStats struct {
	// Requests, Done, Notrun and Unknown count requests by their last outcome.
	Requests, Done, Notrun, Unknown int
	// Reasons counts refusals and unknown outcomes by their reason; it is
	// empty for a flow that broke.
	Reasons map[string]int
	// Latencies holds the time of each answer of a request that has run.
	Latencies []time.Duration
	// BrokenFlows lists the flows that broke under a request.
	BrokenFlows []BrokenFlow
	// FinalOutcomes is the last outcome of each keyed request, by its body.
	FinalOutcomes map[string]crwire.Outcome
	// PerSecond counts by second since the start.
	PerSecond []SecondStats
}

// SecondStats counts the requests of one second.
type SecondStats struct{ Requests, Done int }

// BrokenFlow is a flow that broke.
type BrokenFlow struct {
	// Agent held the flow, as far as its last answer told.
	Agent string
	// DetectedAt is when the break was noticed.
	DetectedAt time.Time
	Err        error
}

// Start lets the callers begin.
func (c *CallerGroup) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	c.stop, c.begun = stop, time.Now()
	c.tally.FinalOutcomes = map[string]crwire.Outcome{}
	c.tally.Reasons = map[string]int{}
	for range c.Callers {
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
func (c *CallerGroup) Stop() CallerStats {
	c.stop()
	c.group.Wait()
	return c.Stats()
}

// Stats returns the counts so far.
func (c *CallerGroup) Stats() CallerStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

// run sends one caller's requests until ctx ends.
func (c *CallerGroup) run(ctx context.Context, flow *Flow) {
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
func (c *CallerGroup) ask(flow *Flow, agent string) string {
	c.mu.Lock()
	req := c.NewRequest(c.next)
	c.next++
	c.mu.Unlock()
	var answer Response
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
func (c *CallerGroup) note(answer Response, agent string) {
	if !answer.Broken {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.BrokenFlows = append(c.tally.BrokenFlows, BrokenFlow{Agent: agent, DetectedAt: time.Now(), Err: answer.Err})
}

// count records a request's last outcome.
func (c *CallerGroup) count(req Request, answer Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.tally
	t.Requests++
	second := int(time.Since(c.begun) / time.Second)
	for len(t.PerSecond) <= second {
		t.PerSecond = append(t.PerSecond, SecondStats{})
	}
	t.PerSecond[second].Requests++
	switch answer.Outcome {
	case crwire.OutcomeDone:
		t.Done++
		t.PerSecond[second].Done++
		t.Latencies = append(t.Latencies, answer.Latency)
	case crwire.OutcomeNotrun:
		t.Notrun++
		t.Reasons[answer.Reason()]++
	default:
		t.Unknown++
		t.Reasons[answer.Reason()]++
	}
	if req.Key != "" {
		t.FinalOutcomes[string(req.Body)] = answer.Outcome
	}
}
