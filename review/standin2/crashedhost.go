package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keptFlows is how many clients keep a flow open for several requests.
	keptFlows = 120
	// crashedSides is how many hosts the service has. One that crashes is a share of
	// 0.125; site files name 0.14.
	crashedSides = 8
	// rollAtOnce and rollPause are how many agents are restarted at a time, and the
	// pause between; site files name 4 and 1.3 s.
	rollAtOnce, rollPause = 4, 1300 * time.Millisecond
	// crashTime is how long a crashed host is away; site files name 4.5 s.
	crashTime = 4500 * time.Millisecond
	// idleTime is how long the clients keep their flows without a request. The
	// configuration allows 15 s.
	idleTime = 11 * time.Second
	// longContact is contact_ms of the deployments whose pages name crashes of hosts.
	longContact = 5 * time.Second
)

// side is a host with its agent.
type side struct {
	agent *machine
	host  *host
}

// playCrashedHost keeps flows open at eight hosts. The agents are restarted in turn as
// planned. Then one host crashes, and a balancer is restarted as planned, so that its
// flows move to the other one. Flows of the hosts that live must go on.
func playCrashedHost(f *fleet) int {
	if core, _ := startCore(f); core == nil {
		return exitNotRun
	}
	r := &router{f: f, misses: map[*machine]int{}, inUse: map[*machine]bool{}}
	for i := range 2 {
		b := f.addMachine("balancer", "z-a", 30+i)
		b.bootstrap = true
		r.balancers = append(r.balancers, b)
		if b.start() != nil {
			return exitNotRun
		}
	}
	var sides []*side
	for i := range crashedSides {
		a := f.addMachine("agent", "z-a", 40+i)
		a.bootstrap = true
		s := &side{agent: a, host: newHost(f, a)}
		sides = append(sides, s)
		if err := s.host.start(); err != nil {
			f.note("host: %v", err)
			return exitNotRun
		}
		if a.start() != nil {
			return exitNotRun
		}
		// Machines start within 0.3 s of each other.
		time.Sleep(35 * time.Millisecond)
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
	return playKeptFlows(f, r, c, sides)
}

// playKeptFlows plays the traffic and the disruptions.
func playKeptFlows(f *fleet, r *router, c *clients, sides []*side) int {
	var stop atomic.Bool
	var short sync.WaitGroup
	short.Add(1)
	go func() {
		defer short.Done()
		playShortFlows(f, c, &stop)
	}()
	defer short.Wait()
	defer stop.Store(true)

	kept := openKept(f, c, sides, keptFlows, 10*time.Millisecond)
	begin := time.Now()
	if f.trouble == "1" || f.trouble == "roll" {
		var restarts sync.WaitGroup
		for i, s := range sides {
			if i > 0 && i%rollAtOnce == 0 {
				time.Sleep(rollPause)
			}
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				s.agent.stop()
				_ = s.agent.start()
			}()
		}
		restarts.Wait()
		if time.Until(begin.Add(idleTime)) < longContact {
			f.note("the restarts took too long: the agents aren't in touch when the clients go on")
			return exitNotRun
		}
	}
	time.Sleep(time.Until(begin.Add(idleTime - 2500*time.Millisecond)))
	if f.trouble == "1" || f.trouble == "crash" {
		sides[0].host.crash()
		time.AfterFunc(crashTime, func() { _ = sides[0].host.start() })
	}
	time.Sleep(300 * time.Millisecond)
	if f.trouble != "0" {
		go func() {
			r.balancers[0].stop()
			_ = r.balancers[0].start()
		}()
	}
	time.Sleep(time.Until(begin.Add(idleTime)))
	return judgeKept(f, kept, sides)
}

// keptFlow is a flow that its client keeps, and the host where it is open.
type keptFlow struct {
	*clientFlow
	n    int
	home *side
	via  *machine
}

// openKept opens the kept flows and sends the first request on each.
func openKept(f *fleet, c *clients, sides []*side, count int, pause time.Duration) []*keptFlow {
	var mu sync.Mutex
	var all []*keptFlow
	var wg sync.WaitGroup
	for n := range count {
		wg.Add(1)
		time.Sleep(pause)
		go func() {
			defer wg.Done()
			fl := c.newFlow()
			if !fl.open() || !fl.request(fmt.Sprintf("kept-%d-1", n)) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, s := range sides {
				if s.host.holds(fl.src) {
					all = append(all, &keptFlow{clientFlow: fl, n: n, home: s, via: fl.via})
				}
			}
		}()
	}
	wg.Wait()
	for _, s := range sides {
		n := 0
		for _, k := range all {
			if k.home == s {
				n++
			}
		}
		f.note("%d kept flows are open at the host of %s", n, s.agent.name)
	}
	return all
}

// judgeKept sends the second request on each kept flow and checks FLOW.
func judgeKept(f *fleet, kept []*keptFlow, sides []*side) int {
	var wg sync.WaitGroup
	answered := make([]bool, len(kept))
	for i, k := range kept {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answered[i] = k.request(fmt.Sprintf("kept-%d-2", k.n))
		}()
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	resets, lost, moved, fine := 0, 0, 0, 0
	for i, k := range kept {
		if k.home == sides[0] && f.trouble != "0" && f.trouble != "roll" {
			continue
		}
		if k.clientFlow.via != k.via {
			moved++
		}
		ran := k.home.host.ran(fmt.Sprintf("kept-%d-2", k.n))
		switch {
		case answered[i]:
			fine++
		case !k.resetAt.IsZero() && k.home.host.holds(k.src):
			resets++
			f.note("flow of port %d was reset; its host beside %s lives, holds it open and sent no reset; packets went by %s, then by %s; its second request ran %d times", k.src.Port(), k.home.agent.name, k.via.name, k.clientFlow.via.name, ran)
		default:
			lost++
			f.note("flow of port %d at %s: no answer until the client's deadline, ran %d times", k.src.Port(), k.home.agent.name, ran)
		}
	}
	noteResets(f, kept)
	f.note("of the kept flows at hosts that live: %d answered, %d reset, %d without an answer; %d moved to another balancer", fine, resets, lost, moved)
	if resets > 0 {
		f.note("RULE BROKEN: clients got resets that the flow's host didn't send")
		return exitBroken
	}
	if fine == 0 || moved == 0 && f.trouble != "0" {
		return exitNotRun
	}
	return exitHeld
}

// playShortFlows opens a flow for each request, so that all hosts get work.
func playShortFlows(f *fleet, c *clients, stop *atomic.Bool) {
	var ok, failed atomic.Int64
	var wg sync.WaitGroup
	for n := 0; !stop.Load(); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fl := c.newFlow()
			if fl.open() && fl.request(fmt.Sprintf("short-%d", n)) {
				ok.Add(1)
			} else {
				failed.Add(1)
			}
			fl.close()
		}()
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	f.note("short flows: %d answered, %d not", ok.Load(), failed.Load())
}

// noteResets notes which process logged a reset of the flows that were reset.
func noteResets(f *fleet, kept []*keptFlow) {
	var processes []*machine
	for _, m := range f.machines {
		if m.role != "control" {
			processes = append(processes, m)
		}
	}
	for _, k := range kept {
		if k.resetAt.IsZero() || !k.home.host.holds(k.src) {
			continue
		}
		for _, m := range processes {
			for _, line := range m.logs(k.src.String()) {
				if strings.Contains(line, "reset") {
					f.note("log of %s, the flow is open beside %s: %.260s", m.name, k.home.agent.name, line)
				}
			}
		}
	}
}
