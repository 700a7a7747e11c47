package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stalelist"] = staleList }

// staleList shows daemons that a control instance, which is cut off from the others, leads
// back to the former instances: none of these is there any more.
func staleList(rec *recorder, trouble bool) bool {
	f := newFleet(rec, "za", "zb", "zc")
	defer f.close()
	zones := f.deployZones
	var old []*proc
	for i, z := range zones {
		old = append(old, f.addControl(z, 50+i))
	}
	var balancers []*proc
	for i := range 4 {
		balancers = append(balancers, f.addProc("balancer", zones[i%3], 20+i))
	}
	var mu sync.Mutex
	ran := map[string]string{}
	for i := range 6 {
		a := f.addProc("agent", zones[i%3], 30+i)
		a.service = []string{"ledger", "press"}[i/3]
		h := newHost(f, a.ip, a.service, 7, 20*time.Millisecond)
		h.onRun = func(h *host, id, route string, _ time.Time) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = h.service
			rec.logf("%s run by %s at %s, route %s", id, h.service, h.ip, route)
		}
	}
	for _, p := range f.procs {
		p.launch()
	}
	for _, h := range f.hosts {
		h.run()
	}
	op := newOperator(f, "operator")
	routes := []route{{"r-clock", f.routeHost(1), 8443, "non_idempotent", "ledger"}}
	if _, ok := op.order("version 7", "PUT", "/-/config", configText(7, routes, "ledger", "press"), 15*time.Second, old...); !ok {
		cannotRun("the first configuration wasn't accepted")
	}
	// One router for each balancer: like the platform's direct flows to each daemon.
	quit := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(quit)
	var cls []*clients
	for i, b := range balancers {
		r := newRouter(f, b)
		wg.Go(func() { r.loop(quit) })
		cls = append(cls, newClients(f, r, 100+i))
	}
	time.Sleep(3 * time.Second)
	clock, sheet := f.routeAddr(1), f.routeAddr(2)
	// try sends a request through one balancer and returns what came of it.
	try := func(i int, route netip.AddrPort, id string) string {
		fl := cls[i].newFlow(route)
		defer fl.forget()
		if !fl.dial() {
			return "refused"
		}
		_, out := fl.request(id, 1500*time.Millisecond)
		fl.finish()
		return out
	}
	for i := range balancers {
		out := ""
		for n := 0; n < 20 && out != "answered"; n++ {
			out = try(i, clock, fmt.Sprintf("before-%d-%d", i, n))
			time.Sleep(100 * time.Millisecond)
		}
		if out != "answered" {
			cannotRun("balancer %d doesn't serve: %s", i, out)
		}
	}
	_, controls := replaceWhileFrozen(f, op, old, trouble)
	time.Sleep(6 * time.Second)
	// Planned work: the new instances are restarted in turn.
	for _, c := range controls {
		rec.logf("PLAN: %s gets SIGTERM and starts again", c.name)
		c.stop(syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
		c.launch()
		time.Sleep(5 * time.Second)
	}
	// Version 8 moves one route and adds another. All has been calm for more than contact_ms.
	routes = []route{
		{"r-clock", f.routeHost(1), 8443, "non_idempotent", "press"},
		{"r-sheet", f.routeHost(2), 8443, "idempotent", "press"},
	}
	acked, ok := op.order("version 8, which moves r-clock to press and adds r-sheet", "PUT", "/-/config", configText(8, routes, "ledger", "press"), 10*time.Second, controls...)
	if !ok {
		rec.logf("version 8 wasn't acknowledged")
		cannotRun("version 8 wasn't acknowledged")
	}
	rec.logf("version 8 was acknowledged at %.3f", acked.Sub(rec.start).Seconds())
	time.Sleep(4 * time.Second)
	wrong, old7 := 0, 0
	for round := range 5 {
		for i, b := range balancers {
			at := time.Now()
			id := fmt.Sprintf("sheet-%d-%d", round, i)
			out := try(i, sheet, id)
			rec.logf("%s sent to %s %.1f s after the acknowledgement: %s", id, b.name, at.Sub(acked).Seconds(), out)
			if out == "refused" {
				wrong++
			}
			id = fmt.Sprintf("clock-%d-%d", round, i)
			out = try(i, clock, id)
			mu.Lock()
			service := ran[id]
			mu.Unlock()
			rec.logf("%s sent to %s %.1f s after the acknowledgement: %s, run by %q", id, b.name, at.Sub(acked).Seconds(), out, service)
			if service == "ledger" {
				old7++
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
	all := 5 * len(balancers)
	rec.logf("%d of %d requests for the new route were refused; %d of %d requests for the moved route were run by the old service", wrong, all, old7, all)
	return wrong == 0 && old7 == 0
}

// maxFreeze is a little less than the longest node_freeze of a core machine of the site,
// 7.3 s.
const maxFreeze = 7200 * time.Millisecond

// replaceWhileFrozen replaces two of three control instances, the new ones first, while the
// third one is frozen. It returns the one that was frozen and the new ones.
func replaceWhileFrozen(f *fleet, op *operator, old []*proc, trouble bool) (frozen *proc, added []*proc) {
	// The machine that freezes isn't the leader's.
	leader := findLeader(op, old)
	for _, c := range old {
		if c != leader {
			frozen = c
			break
		}
	}
	var leaving []*proc
	for _, c := range old {
		if c != frozen {
			leaving = append(leaving, c)
		}
	}
	var wake func()
	if trouble {
		f.rec.logf("DISRUPTION: %s is frozen", frozen.name)
		start := time.Now()
		frozen.signal(syscall.SIGSTOP)
		wake = sync.OnceFunc(func() {
			frozen.signal(syscall.SIGCONT)
			f.rec.logf("DISRUPTION ends: %s wakes again after %.2f s", frozen.name, time.Since(start).Seconds())
		})
		time.AfterFunc(maxFreeze, wake)
	}
	time.Sleep(2500 * time.Millisecond)
	var work sync.WaitGroup
	for i, c := range leaving {
		n := f.addSpareControl(c.zone, 40+i)
		n.bootstrap = false
		added = append(added, n)
		f.rec.logf("PLAN: %s is added", n.name)
		n.launch()
		work.Go(func() {
			// catch_up_s is 4.
			time.Sleep(4050 * time.Millisecond)
			f.rec.logf("PLAN: %s gets SIGTERM and is taken away", c.name)
			c.stop(syscall.SIGTERM)
			f.rec.logf("%s has ended", c.name)
		})
		time.Sleep(150 * time.Millisecond)
	}
	work.Wait()
	if trouble {
		wake()
	}
	// Settings files that are written from now on name these.
	f.nameSeeds(append([]*proc{frozen}, added...))
	return frozen, added
}
