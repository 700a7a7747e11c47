package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// askInterval is the time between two requests on a flow that a client keeps.
	askInterval = time.Second
	// rollGap is the time between two stops of processes in turn.
	rollGap = 1200 * time.Millisecond
)

// kept counts what happens to flows that clients keep.
type kept struct {
	// answered are the requests that were answered, resets the open flows that were
	// reset though their hosts held them, unanswered the requests without an answer.
	answered, resets, unanswered atomic.Int64
}

// judgeKept sums up a case about kept flows.
func (s *site) judgeKept(l *load, k *kept) (int, error) {
	summary := fmt.Sprintf("single requests: served %d, reset %d, failed %d; on kept flows: %d requests answered, %d open flows reset by the system while their hosts held them, %d requests without an answer",
		l.served.Load(), l.reset.Load(), l.failed.Load(), k.answered.Load(), k.resets.Load(), k.unanswered.Load())
	s.record("%s", summary)
	fmt.Println(summary)
	switch {
	case k.answered.Load() == 0:
		return exitInvalid, nil
	case k.resets.Load() > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}

// keepFlow sends requests on one flow until stop or flowMax.
func (s *site) keepFlow(c *clients, stop chan struct{}, k *kept) {
	f := c.newFlow(feedAddr)
	defer f.drop()
	if f.open() != resultServed {
		return
	}
	openedAt := time.Now()
	for n := 0; time.Since(openedAt) < flowMax; n++ {
		id := fmt.Sprintf("%s-%d-%d", c.zone, f.number, n)
		switch f.ask(id) {
		case resultServed:
			k.answered.Add(1)
		case resultReset:
			owner := s.hostOf(f)
			s.record("the flow of client %s from %s is reset; host %s holds it", id, f.src, owner)
			if owner != "" {
				k.resets.Add(1)
			}
			return
		default:
			k.unanswered.Add(1)
			s.record("request %s gets no answer", id)
			return
		}
		select {
		case <-stop:
			f.close()
			return
		case <-time.After(askInterval):
		}
	}
}

// hostOf returns the host that holds a flow open, empty if none does.
func (s *site) hostOf(f *flow) string {
	var hosts []*host
	s.mu.Lock()
	for _, m := range s.sides {
		if m.host != nil {
			hosts = append(hosts, m.host)
		}
	}
	s.mu.Unlock()
	for _, h := range hosts {
		h.mu.Lock()
		held := h.flows[flowKey{client: f.src, service: f.dst}]
		open := held != nil && !held.ended && f.acked-held.isn <= held.next-held.isn
		h.mu.Unlock()
		if open {
			return h.id
		}
	}
	return ""
}
