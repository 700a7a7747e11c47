package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stalechange"] = staleChange }

// run is one run of a request.
type run struct {
	at, opened        time.Time
	id, route, server string
}

// staleChange shows a configuration that was never accepted, in force on machines that
// start in a partitioned zone: it is on the disk of the former leader there.
func staleChange(rec *recorder, trouble bool) bool {
	f := newFleet(rec, "za", "zb", "zc")
	defer f.close()
	f.proxied = true
	c1, c2, c3 := f.addControl("za", 10), f.addControl("zb", 11), f.addControl("zc", 12)
	controls := []*proc{c1, c2, c3}
	b1, b2 := f.addProc("balancer", "za", 20), f.addProc("balancer", "za", 21)
	var mu sync.Mutex
	var runs []run
	for i := range 4 {
		a := f.addProc("agent", "za", 30+i)
		a.service = []string{"ledger", "press"}[i%2]
		h := newHost(f, a.ip, a.service, 7, 20*time.Millisecond)
		h.onRun = func(h *host, id, route string, opened time.Time) {
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, run{time.Now(), opened, id, route, h.service})
			rec.logf("%s run by %s at %s, route %s", id, h.service, h.ip, route)
		}
	}
	for _, p := range f.procs {
		p.launch()
	}
	for _, h := range f.hosts {
		h.run()
	}
	r := newRouter(f, b1, b2)
	quit := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(quit)
	wg.Go(func() { r.loop(quit) })
	op1, op2 := newOperator(f, "operator 1"), newOperator(f, "operator 2")
	routes := func(moved string) []route {
		return []route{
			{"r-clock", f.routeHost(1), 8443, "non_idempotent", "ledger"},
			{"r-sheet", f.routeHost(2), 8443, "idempotent", moved},
		}
	}
	if _, ok := op1.order("version 7", "PUT", "/-/config", configText(7, routes("ledger"), "ledger", "press"), 15*time.Second, controls...); !ok {
		cannotRun("the first configuration wasn't accepted")
	}
	// The hosts' zone is to have the leader: control instances are alike, so others are
	// restarted as planned until it leads.
	leader := findLeader(op1, controls)
	for try := 0; leader != c1; try++ {
		if try == 5 {
			cannotRun("%s doesn't lead", c1.name)
		}
		rec.logf("PLAN: %s is restarted", leader.name)
		leader.stop(syscall.SIGTERM)
		leader.launch()
		time.Sleep(3 * time.Second)
		leader = findLeader(op1, controls)
	}
	rec.logf("%s leads", leader.name)
	others := []*proc{c2, c3}
	cl := newClients(f, r, 100)
	sheet := f.routeAddr(2)
	var n atomic.Int64
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-quit:
					return
				default:
				}
				fl := cl.newFlow(sheet)
				if fl.dial() {
					fl.request(fmt.Sprintf("sheet-%d", n.Add(1)), 1500*time.Millisecond)
					fl.finish()
				} else {
					fl.forget()
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)

	// Two operators change the configuration at once, on equal version numbers: each
	// moves the route of the sheets or leaves it.
	first, second := configText(8, routes("press"), "ledger", "press"), configText(8, routes("ledger"), "ledger", "press")
	if trouble {
		rec.logf("DISRUPTION: zone %s is partitioned from the others", leader.zone)
		f.cutZone(leader.zone)
	}
	var firstAcked, secondAcked time.Time
	var ops sync.WaitGroup
	ops.Go(func() {
		firstAcked, _ = op1.order("version 8 with the sheets moved to press", "PUT", "/-/config", first, 15*time.Second, append([]*proc{leader}, others...)...)
	})
	ops.Go(func() {
		time.Sleep(900 * time.Millisecond)
		secondAcked, _ = op2.order("version 8 with the sheets at ledger", "PUT", "/-/config", second, 15*time.Second, others...)
	})
	if trouble {
		// Four of nine machines: the control instance, a balancer and the hosts' agents of press.
		killed := []*proc{c1, b1}
		for _, p := range f.procs {
			if p.service == "press" {
				killed = append(killed, p)
			}
		}
		time.Sleep(1800 * time.Millisecond)
		var kills, starts []func()
		var names []string
		for _, p := range killed {
			kills, starts, names = append(kills, p.kill), append(starts, p.launch), append(names, p.name)
		}
		rec.logf("DISRUPTION: these processes are killed: %v", names)
		together(kills...)
		time.Sleep(500 * time.Millisecond)
		rec.logf("they are back")
		together(starts...)
		time.Sleep(2500 * time.Millisecond)
		rec.logf("DISRUPTION ends: the partition heals")
		f.cutZone("")
	} else {
		time.Sleep(4800 * time.Millisecond)
	}
	ops.Wait()
	time.Sleep(6 * time.Second)
	_, text := op1.call("GET", others[0].ip, "/-/config", "")
	if text == "" {
		cannotRun("the configuration can't be read back")
	}
	return judgeStaleChange(rec, text, first, second, firstAcked, secondAcked, runs, &mu)
}

// judgeStaleChange checks that no request is run as only the content allows that isn't in
// force under version 8.
func judgeStaleChange(rec *recorder, inForce, first, second string, firstAcked, secondAcked time.Time, runs []run, mu *sync.Mutex) bool {
	held, other, acked := "", "", time.Time{}
	switch inForce {
	case first:
		held, other, acked = "press", "ledger", firstAcked
	case second:
		held, other, acked = "ledger", "press", secondAcked
	default:
		rec.logf("read back neither of the two contents: %s", inForce)
		return false
	}
	rec.logf("read back: the content that leads to %s; it was acknowledged at %.3f", held, acked.Sub(rec.start).Seconds())
	mu.Lock()
	defer mu.Unlock()
	wrong := 0
	for _, r := range runs {
		// Version 7 leads to ledger as well: what press runs, only the refused content allows.
		if r.server == other && other == "press" && r.opened.After(acked) {
			wrong++
			if wrong <= 5 {
				rec.logf("%s was opened at %.3f, after the acknowledgement, and run by %s, as only the other content of version 8 allows", r.id, r.opened.Sub(rec.start).Seconds(), r.server)
			}
		}
	}
	rec.logf("%d of %d requests were run as only the content allows that isn't in force", wrong, len(runs))
	return wrong == 0
}

// findLeader returns the control instance that leads: it alone answers a change that
// another instance has marked as forwarded.
func findLeader(o *operator, controls []*proc) *proc {
	for range 50 {
		for _, c := range controls {
			if leads(o, c) {
				return c
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("no control instance leads")
	return nil
}
