package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// wipeAfter is when the machine loses its disk, counted from the first start, and
	// downTime how long it is down.
	wipeAfter = 150 * time.Millisecond
	downTime  = time.Second
	// leadTime is the time from the start of the machines to that of the traffic,
	// trafficTime how long the traffic lasts.
	leadTime    = 10 * time.Second
	trafficTime = 60 * time.Second
)

func init() { cases["wiped-founder"] = wipedFounder }

// wipedFounder lets the machine of the core with the lowest address lose its disk right
// after the first start of the whole system.
func wipedFounder(recordFile string, trouble bool) (int, error) {
	s, err := newSite(recordFile, layout{ledger: [3]int{1, 1, 1}, feed: [3]int{1, 0, 0}})
	if err != nil {
		return exitInvalid, err
	}
	defer s.stop()
	if trouble {
		time.Sleep(time.Until(s.start.Add(wipeAfter)))
		if err := s.wipe(s.controls[0]); err != nil {
			return exitInvalid, err
		}
	}
	go func() {
		o := &operator{s}
		for acked := false; !acked && s.ctx.Err() == nil; {
			_, acked = o.order(http.MethodPut, "/-/config", configText(firstVersion, true))
		}
	}()
	time.Sleep(time.Until(s.start.Add(leadTime)))
	l := s.startLoad(200 * time.Millisecond)
	time.Sleep(trafficTime)
	summary := fmt.Sprintf("in %s of traffic: served %d, reset %d, failed %d", trafficTime, l.served.Load(), l.reset.Load(), l.failed.Load())
	s.record("%s", summary)
	fmt.Println(summary)
	if l.served.Load() == 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// wipe lets a machine lose power and its disk, and starts it again.
func (s *site) wipe(m *machine) error {
	s.record("%s loses power and its disk", m.name)
	for _, p := range []*process{m.control, m.balancer} {
		p.mu.Lock()
		p.wanted = false
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	if err := os.RemoveAll(filepath.Join(s.dir, m.name, "data")); err != nil {
		return err
	}
	s.record("%s starts again", m.name)
	for _, p := range []*process{m.control, m.balancer} {
		p.bootstrap = false
		if err := p.launch(); err != nil {
			return err
		}
	}
	return nil
}
