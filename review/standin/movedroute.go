package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// movedFlows is how many clients of each zone keep a flow of the route.
const movedFlows = 30

func init() { cases["moved-route"] = movedRoute }

// movedRoute lets a configuration send new flows of a route to another service and then
// stops the balancers of a zone in turn, while clients keep the flows that they have.
func movedRoute(recordFile string, trouble bool) (int, error) {
	s, err := newSite(recordFile, layout{thin: 1, ledger: [3]int{2, 1, 1}, feed: [3]int{2, 1, 1}})
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
		for n := range movedFlows {
			done.Go(func() {
				time.Sleep(time.Duration(n) * askInterval / movedFlows)
				s.keepFlow(c, stop, &k)
			})
		}
	}
	time.Sleep(3 * time.Second)
	o := &operator{s}
	if _, ok := o.order(http.MethodPut, "/-/config", movedConfigText(firstVersion+4)); !ok {
		return exitInvalid, fmt.Errorf("the configuration wasn't acknowledged")
	}
	time.Sleep(contactTime)
	if trouble {
		for _, m := range s.fronts[:2] {
			s.record("the balancer of %s gets SIGTERM", m.name)
			m.balancer.signal(syscall.SIGTERM)
			time.Sleep(rollGap)
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	done.Wait()
	return s.judgeKept(l, &k)
}
