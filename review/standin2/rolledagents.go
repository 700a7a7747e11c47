package main

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rolledSides is how many hosts the service has, rolledFlows how many clients keep
	// a flow open.
	rolledSides, rolledFlows = 7, 560
	// rolledAtOnce and rolledPause are how many agents are restarted at a time, and the
	// pause between; site files name 4 and 1.2 s.
	rolledAtOnce, rolledPause = 4, 1200 * time.Millisecond
	// thinShare is the share of a core that a thin entry machine has.
	thinShare = 0.088
	// rolledIdle is how long the clients keep their flows without a request. With the
	// time in which the flows are opened and a client's deadline it stays below the
	// 15 s that the configuration allows.
	rolledIdle = 6 * time.Second
	// rolledDeadline is how long the clients wait for an answer; site files name 6 s.
	rolledDeadline = 6 * time.Second
	// reorderTime is flow_reorder_ms, reorderPackets how many packets count.
	reorderTime, reorderPackets = 2 * time.Second, 3
	// copyPause is less than the time between two copies of a packet.
	copyPause = 150 * time.Millisecond
)

// playRolledAgents keeps flows open at seven hosts. The agents are restarted in turn as
// planned, and then one of two balancers, so that its flows move to the other. The
// packets of each flow must reach its own host.
func playRolledAgents(f *fleet) int {
	if core, _ := startCore(f); core == nil {
		return exitNotRun
	}
	r := &router{f: f, misses: map[*machine]int{}, inUse: map[*machine]bool{}}
	for i := range 2 {
		b := f.addMachine("balancer", "z-a", 30+i)
		b.bootstrap, b.cpuShare = true, thinShare
		r.balancers = append(r.balancers, b)
		if b.start() != nil {
			return exitNotRun
		}
	}
	var sides []*side
	for i := range rolledSides {
		a := f.addMachine("agent", "z-a", 40+i)
		a.bootstrap = true
		s := &side{agent: a, host: newHost(f, a)}
		sides = append(sides, s)
		if s.host.start() != nil || a.start() != nil {
			return exitNotRun
		}
	}
	go r.run()
	for begin := time.Now(); r.ready() < 2; time.Sleep(100 * time.Millisecond) {
		if time.Since(begin) > 20*time.Second {
			f.note("the balancers aren't ready")
			return exitNotRun
		}
	}
	time.Sleep(longContact)
	c, err := newClients(f, r)
	if err != nil {
		f.note("clients: %v", err)
		return exitNotRun
	}
	c.deadline = rolledDeadline
	return playRolledFlows(f, r, c, sides)
}

// playRolledFlows plays the traffic and the planned work.
func playRolledFlows(f *fleet, r *router, c *clients, sides []*side) int {
	var stop atomic.Bool
	var short sync.WaitGroup
	short.Add(1)
	go func() {
		defer short.Done()
		playShortFlows(f, c, &stop)
	}()
	defer short.Wait()
	defer stop.Store(true)

	kept := openKept(f, c, sides, rolledFlows, 4*time.Millisecond)
	begin := time.Now()
	if f.trouble == "1" || f.trouble == "agents" {
		var restarts sync.WaitGroup
		for i, s := range sides {
			if i > 0 && i%rolledAtOnce == 0 {
				time.Sleep(rolledPause)
			}
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				s.agent.stop()
				_ = s.agent.start()
			}()
		}
		restarts.Wait()
		if time.Now().After(begin.Add(rolledIdle)) {
			f.note("the restarts took too long")
			return exitNotRun
		}
	}
	time.Sleep(time.Until(begin.Add(rolledIdle - 1500*time.Millisecond)))
	if f.trouble == "1" || f.trouble == "balancer" {
		go func() {
			r.balancers[0].stop()
			_ = r.balancers[0].start()
		}()
	}
	time.Sleep(time.Until(begin.Add(rolledIdle)))
	return judgeRolled(f, kept, sides)
}

// judgeRolled sends the second request on each kept flow and checks FLOW (b).
func judgeRolled(f *fleet, kept []*keptFlow, sides []*side) int {
	asked := time.Now()
	var wg sync.WaitGroup
	var answered, unanswered, resets atomic.Int64
	for _, k := range kept {
		wg.Add(1)
		go func() {
			defer wg.Done()
			switch ok := k.request(fmt.Sprintf("kept-%d-2", k.n)); {
			case ok:
				answered.Add(1)
			case !k.resetAt.IsZero():
				resets.Add(1)
			default:
				unanswered.Add(1)
			}
		}()
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	broken := 0
	for _, k := range kept {
		if n, span := strayed(k, sides, asked); n >= reorderPackets && span >= reorderTime {
			broken++
			f.note("flow of port %d, open beside %s: %d packets in %s reached other hosts and none its own", k.src.Port(), k.home.agent.name, n, span.Round(time.Millisecond))
		}
	}
	noteResets(f, kept)
	f.note("of %d kept flows: %d answered, %d reset, %d without an answer until the deadline; %d whose packets reached other hosts and none their own for %s", len(kept), answered.Load(), resets.Load(), unanswered.Load(), broken, reorderTime)
	switch {
	case broken > 0 || resets.Load() > 0:
		f.note("RULE BROKEN: packets of open flows went to other hosts, or clients were reset")
		return exitBroken
	case answered.Load() == 0:
		return exitNotRun
	}
	return exitHeld
}

// strayed returns how many packets of a flow reached other hosts before any reached its
// own since a time, and the time from the first to the last of them. A packet that a
// balancer tries at several hosts in turn counts once: the client sends its copies more
// than copyPause apart.
func strayed(k *keptFlow, sides []*side, since time.Time) (int, time.Duration) {
	own := time.Now()
	if at := k.home.host.firstSince(k.src, since); !at.IsZero() {
		own = at
	}
	var times []time.Time
	for _, s := range sides {
		if s != k.home {
			times = append(times, s.host.strays(k.src)...)
		}
	}
	times = slices.DeleteFunc(times, func(at time.Time) bool { return at.Before(since) || at.After(own) })
	if len(times) == 0 {
		return 0, 0
	}
	slices.SortFunc(times, time.Time.Compare)
	n, last := 1, times[0]
	for _, at := range times {
		if at.Sub(last) > copyPause {
			n, last = n+1, at
		}
	}
	return n, times[len(times)-1].Sub(times[0])
}

// strays returns when packets of a flow reached this host that doesn't hold it.
func (h *host) strays(src netip.AddrPort) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stray[src]
}

// firstSince returns when the first packet of a flow reached its own host since a time.
func (h *host) firstSince(src netip.AddrPort, since time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.own[src] {
		if !at.Before(since) {
			return at
		}
	}
	return time.Time{}
}
