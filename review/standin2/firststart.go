package main

import "time"

const (
	// firstCut is how long the first instance is cut off; site files name 5.5 s.
	firstCut = 5500 * time.Millisecond
	// firstOrder is when the operator sends the first configuration.
	firstOrder = 1800 * time.Millisecond
	// darkTime is how long a machine that lost its disk is without power.
	darkTime = time.Second
)

// playFirstStart starts three control instances. The one that founds the group is cut
// off from the other two from the start. It loses its disk right after it has
// acknowledged the first configuration.
func playFirstStart(f *fleet) int {
	var core []*machine
	var proxies []*proxy
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		m := f.addMachine("control", zone, 10+i)
		m.bootstrap = true
		p, err := m.addProxy(m.ip[:len(m.ip)-len("7.10")] + "9." + m.ip[len(m.ip)-2:])
		if err != nil {
			f.note("proxy: %v", err)
			return exitNotRun
		}
		core, proxies = append(core, m), append(proxies, p)
	}
	f.seeds = core
	founder := core[0]
	cut := func(on bool) {
		proxies[0].setCut([]uint64{idOf(core[1].ip), idOf(core[2].ip)}, on)
		proxies[1].setCut([]uint64{idOf(founder.ip)}, on)
		proxies[2].setCut([]uint64{idOf(founder.ip)}, on)
	}
	if f.trouble == "1" {
		cut(true)
		f.note("%s is cut off from the other control instances", founder.name)
	}
	begin := time.Now()
	for _, m := range core {
		if err := m.start(); err != nil {
			f.note("start: %v", err)
			return exitNotRun
		}
	}
	time.Sleep(firstOrder)
	op := &operator{f: f, list: core}
	body := config(1, "non_idempotent")
	taker := op.put(1, body, firstCut+ackTime)
	if taker == nil {
		f.note("the first configuration isn't acknowledged")
		return exitNotRun
	}
	f.note("version 1 is acknowledged by %s", taker.name)
	if f.trouble != "0" {
		// The final fault follows an acknowledgement at once.
		victim := founder
		if taker != founder {
			victim = taker
		}
		if err := victim.wipe(darkTime); err != nil {
			f.note("wipe: %v", err)
			return exitNotRun
		}
	}
	if f.trouble == "1" {
		time.Sleep(time.Until(begin.Add(firstCut)))
		cut(false)
		f.note("the links are joined; connections held meanwhile: %d, %d, %d", proxies[0].held, proxies[1].held, proxies[2].held)
	}
	f.note("all machines run and reach each other")
	return readBack(f, op, 1)
}
