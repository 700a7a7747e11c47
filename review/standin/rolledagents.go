package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// keptFlows is how many clients of each zone keep a flow of the route.
	keptFlows = 150
	// growGap is the time between two hosts that are added.
	growGap = 700 * time.Millisecond
)

func init() { cases["rolled-agents"] = rolledAgents }

// rolledAgents adds hosts to a service, stops and starts all agents in turn, and after
// contactTime two balancers, while clients keep their flows.
func rolledAgents(recordFile string, trouble bool) (int, error) {
	s, err := newSite(recordFile, layout{thin: 1, ledger: [3]int{1, 1, 1}, feed: [3]int{6, 5, 5}})
	if err != nil {
		return exitInvalid, err
	}
	defer s.stop()
	if err := s.ready(); err != nil {
		return exitInvalid, err
	}
	l := s.startLoad(200 * time.Millisecond)
	time.Sleep(2 * time.Second)
	var k kept
	var done sync.WaitGroup
	stop := make(chan struct{})
	for _, c := range s.groups {
		for range keptFlows {
			done.Go(func() {
				time.Sleep(time.Duration(rand.Int64N(int64(2 * askInterval))))
				s.keepFlow(c, stop, &k)
			})
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := s.planWork(); err != nil {
			return exitInvalid, err
		}
	} else {
		time.Sleep(40 * time.Second)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	done.Wait()
	return s.judgeKept(l, &k)
}

// planWork adds hosts and restarts agents and balancers.
func (s *site) planWork() error {
	for _, zone := range []string{"za", "zb", "zc", "za"} {
		if err := s.grow(zone, "feed"); err != nil {
			return err
		}
		time.Sleep(growGap)
	}
	time.Sleep(2 * time.Second)
	for _, m := range s.sides {
		if m.service == "feed" {
			s.record("the agent of %s gets SIGTERM", m.name)
			m.agent.signal(syscall.SIGTERM)
			time.Sleep(rollGap)
		}
	}
	// The last agent waits for its flows for up to 4 s.
	time.Sleep(5*time.Second + contactTime)
	for _, m := range s.fronts[:2] {
		s.record("the balancer of %s gets SIGTERM", m.name)
		m.balancer.signal(syscall.SIGTERM)
		time.Sleep(rollGap)
	}
	time.Sleep(5 * time.Second)
	return nil
}
