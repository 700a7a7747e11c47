package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// rounds is how often the route is dropped.
	rounds = 7
	// flowsPerZone is how many clients of each zone keep a flow of the route.
	flowsPerZone = 150
	// openSpan and resumeSpan are the times over which these clients open their flows
	// and send their next requests.
	openSpan   = 40 * time.Millisecond
	resumeSpan = 500 * time.Millisecond
	// pause is how long they wait between two requests: longer than idleTimeout.
	pause = 5 * time.Second
	// endsOfFault and machinesOfFault are the limits of the rule: so many ends of
	// processes on so many machines.
	endsOfFault, machinesOfFault = 3, 2
)

func init() { cases["dropped-route"] = droppedRoute }

// droppedRoute drops a route while clients come back to flows that were discarded for
// being idle. Just before they open the flows, one of the service's six hosts is lost for
// good with its machine; another one is added later.
func droppedRoute(recordFile string, trouble bool) (int, error) {
	s, err := newSite(recordFile, layout{ledger: [3]int{1, 1, 1}, feed: [3]int{2, 2, 2}})
	if err != nil {
		return exitInvalid, err
	}
	defer s.stop()
	if err := s.ready(); err != nil {
		return exitInvalid, err
	}
	l := s.startLoad(100 * time.Millisecond)
	time.Sleep(2 * time.Second)
	version := firstVersion
	for range rounds {
		if err := s.dropRoute(&version, trouble); err != nil {
			return exitInvalid, err
		}
	}
	machines := 0
	for _, m := range s.fronts {
		m.balancer.mu.Lock()
		exits := m.balancer.exits
		m.balancer.mu.Unlock()
		s.record("the balancer of %s ended by itself %d times", m.name, exits)
		if exits >= endsOfFault {
			machines++
		}
	}
	summary := fmt.Sprintf("served %d, reset %d, failed %d; on %d machines balancers ended by themselves %d times or more",
		l.served.Load(), l.reset.Load(), l.failed.Load(), machines, endsOfFault)
	s.record("%s", summary)
	fmt.Println(summary)
	switch {
	case l.served.Load() == 0:
		return exitInvalid, nil
	case machines >= machinesOfFault:
		return exitBroken, nil
	}
	return exitHeld, nil
}

// dropRoute plays one round.
func (s *site) dropRoute(version *int, trouble bool) error {
	o := &operator{s}
	lost := s.sides[slices.IndexFunc(s.sides, func(m *machine) bool { return m.service == "feed" })]
	if trouble {
		s.lose(lost)
	}
	var clientsDone sync.WaitGroup
	resumeAt := time.Now().Add(pause)
	for _, c := range s.groups {
		for range flowsPerZone {
			clientsDone.Add(1)
			go func() {
				defer clientsDone.Done()
				time.Sleep(time.Duration(rand.Int64N(int64(openSpan))))
				f := c.newFlow(feedAddr)
				defer f.drop()
				first := fmt.Sprintf("%s-%d-a", c.zone, f.number)
				if f.open() != resultServed || f.ask(first) != resultServed {
					s.record("client %s isn't served", first)
					return
				}
				time.Sleep(time.Until(resumeAt) + time.Duration(rand.Int64N(int64(resumeSpan))))
				res := f.ask(fmt.Sprintf("%s-%d-b", c.zone, f.number))
				s.record("client %s-%d-b: result %d", c.zone, f.number, res)
			}()
		}
	}
	time.Sleep(time.Until(resumeAt.Add(resumeSpan / 2)))
	*version += 2
	if _, ok := o.order(http.MethodPut, "/-/config", configText(*version, false)); !ok {
		return fmt.Errorf("the configuration without the route wasn't acknowledged")
	}
	clientsDone.Wait()
	if trouble {
		if err := s.grow(lost.zone, "feed"); err != nil {
			return err
		}
	}
	*version += 2
	if _, ok := o.order(http.MethodPut, "/-/config", configText(*version, true)); !ok {
		return fmt.Errorf("the configuration with the route wasn't acknowledged")
	}
	time.Sleep(4 * time.Second)
	return nil
}
