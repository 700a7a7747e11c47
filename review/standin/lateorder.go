package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// orderDelay is the time from the cut to the take-back.
	orderDelay = 100 * time.Millisecond
	// cutLength is how long the core is cut.
	cutLength = 4 * time.Second
	// watchTime is how long the zone is watched after all bounds have passed.
	watchTime = 6 * time.Second
)

func init() { cases["late-order"] = lateOrder }

// lateOrder empties a zone, takes it back while a follower is cut from the rest of the
// core, and empties it again before the cut heals.
func lateOrder(recordFile string, trouble bool) (int, error) {
	s, err := newSite(recordFile, layout{proxies: true, ledger: [3]int{2, 2, 2}, feed: [3]int{1, 0, 0}})
	if err != nil {
		return exitInvalid, err
	}
	defer s.stop()
	if err := s.ready(); err != nil {
		return exitInvalid, err
	}
	l := s.startLoad(50 * time.Millisecond)
	o := &operator{s}
	const path = "/-/evacuations/za"
	if _, ok := o.order(http.MethodPost, path, ""); !ok {
		return exitInvalid, fmt.Errorf("the first evacuation wasn't acknowledged")
	}
	time.Sleep(3 * time.Second)
	leader, follower := s.leader()
	if leader == nil || follower == nil {
		return exitInvalid, fmt.Errorf("no leader")
	}
	s.record("%s leads, %s follows", leader.name, follower.name)
	cutAt := time.Now()
	if trouble {
		s.record("the control process of %s is cut from the other ones for %s", follower.name, cutLength)
		s.cut(follower)
		time.AfterFunc(cutLength, func() { s.cut(nil); s.record("the cut has healed") })
	}
	time.Sleep(orderDelay)
	if _, ok := o.order(http.MethodDelete, path, "", follower, leader); !ok {
		return exitInvalid, fmt.Errorf("the take-back wasn't acknowledged")
	}
	time.Sleep(500 * time.Millisecond)
	ackedAt, ok := o.order(http.MethodPost, path, "", leader)
	if !ok || time.Since(cutAt) > cutLength {
		return exitInvalid, fmt.Errorf("the second evacuation wasn't acknowledged during the cut")
	}
	s.record("the second evacuation of za is acknowledged; it isn't taken back from here on")
	limit := ackedAt.Add(evacuateBound + maxStretch)
	time.Sleep(time.Until(limit.Add(watchTime)))
	late := s.runsIn("za", limit, l)
	early := s.runsIn("za", ackedAt.Add(evacuateBound), l)
	summary := fmt.Sprintf("served %d, reset %d, failed %d; hosts of za ran %d requests later than evacuate_ms after the acknowledgement, %d of them also later than max_stretch_ms after that",
		l.served.Load(), l.reset.Load(), l.failed.Load(), len(early), len(late))
	s.record("%s", summary)
	fmt.Println(summary)
	switch {
	case len(s.runs) == 0:
		return exitInvalid, nil
	case len(late) > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}
