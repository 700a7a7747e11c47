package crtrial

import (
	"context"
	"sync"
	"time"

	"cardamomring.dev/internal/crwire"
)

const (
	// maxAttempts is the number of times a keyed request is sent while its
	// outcome is unknown.
	maxAttempts = 20
	// retryDelay is the pause between two attempts.
	retryDelay = 100 * time.Millisecond
	// requestTimeout is the time limit of one attempt.
	requestTimeout = 10 * time.Second
)

// CallerGroup is a group of callers of one service. Each caller has one
// long-lived flow and sends its requests one after another. Set the exported
// fields before Start.
type CallerGroup struct {
	Deployment *Deployment
	Service    string
	Callers    int
	// Pause is the time between a response and the next request.
	Pause time.Duration
	// NewRequest returns request number n; no two requests of the group have
	// the same number. A request with a key is retried while its outcome is
	// unknown.
	NewRequest func(n int) Request

	mu          sync.Mutex
	nextRequest int
	stats       CallerStats
	startedAt   time.Time
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// CallerStats counts the responses that callers received.
type CallerStats struct {
	// Requests, Done, Notrun and Unknown count requests by their final outcome.
	Requests, Done, Notrun, Unknown int
	// Reasons counts refusals and unknown outcomes by reason. The reason is
	// empty when the flow broke.
	Reasons map[string]int
	// Latencies holds the latency of each request with outcome done.
	Latencies []time.Duration
	// BrokenFlows lists the flows that broke during a request.
	BrokenFlows []BrokenFlow
	// FinalOutcomes maps the body of each keyed request to its final outcome.
	FinalOutcomes map[string]crwire.Outcome
	// PerSecond holds the counts of each second since Start.
	PerSecond []SecondStats
}

// SecondStats counts the requests that ended within one second.
type SecondStats struct{ Requests, Done int }

// BrokenFlow describes a flow that broke during a request.
type BrokenFlow struct {
	// Agent is the owner of the flow according to its last response.
	Agent string
	// DetectedAt is when the request failed.
	DetectedAt time.Time
	Err        error
}

// Start connects the callers and starts sending requests.
func (c *CallerGroup) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.startedAt = cancel, time.Now()
	c.stats.FinalOutcomes = map[string]crwire.Outcome{}
	c.stats.Reasons = map[string]int{}
	for range c.Callers {
		flow, err := c.Deployment.NewFlow(c.Service)
		if err != nil {
			cancel()
			return err
		}
		c.wg.Go(func() { c.run(ctx, flow) })
	}
	return nil
}

// Stop stops the callers after their requests in progress and returns the final
// counts.
func (c *CallerGroup) Stop() CallerStats {
	c.cancel()
	c.wg.Wait()
	return c.Stats()
}

// Stats returns the counts so far.
func (c *CallerGroup) Stats() CallerStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// run sends the requests of one caller until ctx is done.
func (c *CallerGroup) run(ctx context.Context, flow *Flow) {
	defer func() { _ = flow.Close() }()
	agent := ""
	for ctx.Err() == nil {
		agent = c.sendWithRetries(flow, agent)
		select {
		case <-time.After(c.Pause):
		case <-ctx.Done():
		}
	}
}

// sendWithRetries sends one request, retries it while its outcome is unknown if
// it has a key, and returns the agent that owns the flow. A request without a
// key is sent once.
func (c *CallerGroup) sendWithRetries(flow *Flow, agent string) string {
	c.mu.Lock()
	req := c.NewRequest(c.nextRequest)
	c.nextRequest++
	c.mu.Unlock()
	var resp Response
	for range maxAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		resp = flow.Do(ctx, req)
		cancel()
		c.recordBrokenFlow(resp, agent)
		if resp.Agent != "" {
			agent = resp.Agent
		}
		if req.Key == "" || !resp.Broken && resp.Outcome != crwire.OutcomeUnknown {
			break
		}
		time.Sleep(retryDelay)
	}
	c.recordOutcome(req, resp)
	return agent
}

// recordBrokenFlow records the flow and its owner if the connection failed.
func (c *CallerGroup) recordBrokenFlow(resp Response, agent string) {
	if !resp.Broken {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.BrokenFlows = append(c.stats.BrokenFlows, BrokenFlow{Agent: agent, DetectedAt: time.Now(), Err: resp.Err})
}

// recordOutcome counts the final outcome of a request.
func (c *CallerGroup) recordOutcome(req Request, resp Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := &c.stats
	stats.Requests++
	sec := int(time.Since(c.startedAt) / time.Second)
	for len(stats.PerSecond) <= sec {
		stats.PerSecond = append(stats.PerSecond, SecondStats{})
	}
	stats.PerSecond[sec].Requests++
	switch resp.Outcome {
	case crwire.OutcomeDone:
		stats.Done++
		stats.PerSecond[sec].Done++
		stats.Latencies = append(stats.Latencies, resp.Latency)
	case crwire.OutcomeNotrun:
		stats.Notrun++
		stats.Reasons[resp.Reason()]++
	default:
		stats.Unknown++
		stats.Reasons[resp.Reason()]++
	}
	if req.Key != "" {
		stats.FinalOutcomes[string(req.Body)] = resp.Outcome
	}
}
