package main

import (
	"time"
)

func init() { cases["lostmember"] = lostMember }

// lostMember shows a control instance that stays outside of the group after a partition has
// healed, so that the group doesn't bear the loss of one machine any more.
func lostMember(rec *recorder, trouble bool) bool {
	f := newFleet(rec, "za", "zb", "zc")
	defer f.close()
	var old []*proc
	for i, z := range f.deployZones {
		old = append(old, f.addControl(z, 50+i))
	}
	for _, p := range f.procs {
		p.launch()
	}
	op := newOperator(f, "operator")
	routes := []route{{"r-clock", f.routeHost(1), 8443, "non_idempotent", "ledger"}}
	if _, ok := op.order("version 7", "PUT", "/-/config", configText(7, routes, "ledger"), 15*time.Second, old...); !ok {
		cannotRun("the first configuration wasn't accepted")
	}
	time.Sleep(2 * time.Second)
	frozen, added := replaceWhileFrozen(f, op, old, trouble)
	all := []*proc{frozen, added[0], added[1]}
	time.Sleep(8 * time.Second)
	text := configText(8, routes, "ledger")
	acked, ok := op.order("version 8", "PUT", "/-/config", text, 10*time.Second, added...)
	if !ok {
		cannotRun("version 8 wasn't acknowledged")
	}
	rec.logf("version 8 was acknowledged at %.3f", acked.Sub(rec.start).Seconds())
	time.Sleep(2 * time.Second)
	// One machine of the core is lost for good, and an empty one comes a second later. The
	// deployment bears the loss of one machine.
	lost, n := added[0], f.addSpareControl(added[0].zone, 44)
	rec.logf("LOSS: %s is gone for good", lost.name)
	lost.kill()
	time.Sleep(time.Second)
	rec.logf("%s starts empty at another address", n.name)
	f.nameSeeds(all)
	n.bootstrap = false
	n.launch()
	running := []*proc{all[0], all[2], n}
	start := time.Now()
	// recovery_s is 12.
	for i := 0; time.Since(start) < 30*time.Second; i++ {
		c := running[i%3]
		status, body := op.call("GET", c.ip, "/-/config", "")
		if status == 200 {
			rec.logf("%s answers a read %.1f s after the loss: as acknowledged %t", c.name, time.Since(start).Seconds(), body == text)
			return body == text
		}
		if i%15 == 0 {
			rec.logf("%s answers a read %.1f s after the loss with status %d", c.name, time.Since(start).Seconds(), status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.logf("no read was answered in 30 s, by any of three machines that all run and reach one another")
	return false
}
